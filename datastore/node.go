package datastore

import "time"

// Node is one node as it announces itself to the others.
type Node struct {
	Name string
	// Address is where the node listens for other nodes.
	Address string
	Zone    string
	Region  string
	// Cores is the processor time that the node has.
	Cores   float64
	Started time.Time
}

package datastore

import "time"

// Node is a node as it announces itself to the others.
type Node struct {
	Name string
	// Address is where the node listens for other nodes.
	Address string
	Zone    string
	Region  string
	// Cores is the processor time available to the node, in cores.
	Cores   float64
	Started time.Time
}

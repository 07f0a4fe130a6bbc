// Package resume knows at which service and version streams began. A stream can go on
// only at targets of that version, and the caller who takes it up again may reach any
// node, while the one that began it may have failed. Nodes therefore tell some others
// where their streams began, but only while that is ambiguous: while targets of several
// versions, or several services, may have begun the streams of a route.
package resume

import (
	"github.com/cespare/xxhash/v2"
)

// ID identifies a stream on all nodes.
type ID uint64

// Identify returns the ID of the stream whose first event came with an attempt.
func Identify(attempt string) ID { return ID(xxhash.Sum64String(attempt)) }

// Origin is where a stream began.
type Origin struct {
	Service string
	// Version is the software version of the target.
	Version string
}

// Record says where a stream began.
type Record struct {
	ID     ID
	Origin Origin
}

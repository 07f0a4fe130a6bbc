// Package datastore maintains this node's copy of the deployment's state: the
// configuration, the targets and the other nodes. Each is followed through a
// source, or through another node that reads it, and the age of the configuration's
// last proof is tracked.
package datastore

import (
	"context"
	"errors"
	"time"
)

// ErrHistoryGone is returned by Source.Watch when the changes since a revision are
// no longer available; the caller must List again.
var ErrHistoryGone = errors.New("datastore: changes since the revision are no longer available, list again")

// ErrWatchCut is returned by Source.Watch when the watch was cut off while it was waiting.
// The store may have come back from an older copy meanwhile.
var ErrWatchCut = errors.New("datastore: the watch was cut off")

// Change is an item that was added, changed or removed.
type Change[T any] struct {
	Name string
	// Value is the item, or its last state if it was removed; zero if the store told
	// none or if Err is set.
	Value   T
	Removed bool
	// Err is why the item cannot be used; Value is then zero.
	Err error
	// Raw is the item as encoded in the store; of a removed item its last state, nil
	// if that is not known or cannot be used.
	Raw []byte
}

// Source reads items of one kind and waits for their changes.
type Source[T any] interface {
	// Decode decodes an item that another node has read.
	Decode(name string, raw []byte) (T, error)
	// List returns all items and the position they were read at.
	List(ctx context.Context) (items []Change[T], at Position, err error)
	// Watch waits until an item changes after the revision, or until wait has
	// passed; then it returns no changes. It returns ErrHistoryGone if the
	// changes are no longer available, and ErrWatchCut rather than to wait on at a store
	// that may be of another era. If the returned position is of another era than
	// the revision, the changes do not lead from the revision to the position.
	Watch(ctx context.Context, revision uint64, wait time.Duration) (changes []Change[T], at Position, err error)
}

// Package datastore keeps what this node believes of the deployment: the
// configuration, the targets and the other nodes, each followed through a
// source, with the age of that belief.
package datastore

import (
	"context"
	"errors"
	"time"
)

// ErrHistoryGone is returned by Source.Watch when the changes since a revision
// are no longer known; the remedy is a List.
var ErrHistoryGone = errors.New("datastore: history is gone, list again")

// Change is one item that changed.
type Change[T any] struct {
	Name    string
	Value   T
	Removed bool
	// Err says why the item cannot be used; Value is then zero.
	Err error
}

// Source reads items of one kind and waits for their changes.
type Source[T any] interface {
	// List returns all items and the revision they were read at.
	List(ctx context.Context) (items []Change[T], revision uint64, err error)
	// Watch waits until an item changes after the revision, or until wait has
	// passed; then it returns no changes. It returns ErrHistoryGone if the
	// changes are no longer known.
	Watch(ctx context.Context, revision uint64, wait time.Duration) (changes []Change[T], next uint64, err error)
}

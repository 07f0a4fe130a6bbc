// Package objects is the client of the platform's object API: versioned
// objects with conditional updates and watches, and the list of VMs. Store is
// the interface that the other packages use; HTTP calls the service, and Memory
// keeps objects in memory for development and tests.
package objects

import (
	"context"
	"time"
)

// MaxValueBytes is the size of the largest value that the object API accepts.
const MaxValueBytes = 1 << 20

// Version identifies one state of an object. Zero means that the object does
// not exist, so that writing with it creates the object.
type Version uint64

// Object is one stored value.
type Object struct {
	Key     string
	Version Version
	Value   []byte
}

// Changes is the result of a watch.
type Changes struct {
	// Cursor is passed to the next Watch.
	Cursor uint64
	// Objects are the changed objects; a deleted one has Version zero.
	Objects []Object
}

// VMStatus is an element of the platform's list of VMs, which lags behind the
// actual state.
type VMStatus struct {
	Name    string
	Leaving bool
}

// Store reads and writes objects. Errors are *fault.Error of kind conflict
// (the version did not match), not-found, store-unavailable (nothing was
// written), throttled, body-too-large, or unknown-effect (the write may have
// taken effect).
type Store interface {
	Get(ctx context.Context, key string) (Object, error)
	// Put writes the value if the object's version is still expect.
	Put(ctx context.Context, key string, value []byte, expect Version) (Version, error)
	Delete(ctx context.Context, key string, expect Version) error
	// List returns the objects whose keys begin with prefix, in key order.
	List(ctx context.Context, prefix string) ([]Object, error)
	// Watch waits until an object whose key begins with prefix has changed
	// after cursor, or until wait has passed; in the latter case Changes has
	// no objects.
	Watch(ctx context.Context, prefix string, cursor uint64, wait time.Duration) (Changes, error)
	VMs(ctx context.Context) ([]VMStatus, error)
}

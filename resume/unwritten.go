package resume

import (
	"context"
	"time"
)

// maxSettle bounds how long the first event of a stream is held back until the store has
// the record of the stream.
const maxSettle = 200 * time.Millisecond

// unwritten tells which of this node's records the store does not have yet.
type unwritten struct {
	// keeps is set while this node writes its records to the store and can.
	keeps bool
	// versions holds, by stream, the version of its last record.
	versions map[ID]uint64
	// changed is closed and replaced when the store has more records, or keeps changes.
	changed chan struct{}
}

func newUnwritten() unwritten {
	return unwritten{versions: make(map[ID]uint64), changed: make(chan struct{})}
}

func (u *unwritten) add(id ID, version uint64) {
	if u.keeps {
		u.versions[id] = version
	}
}

// SetWritten records that the store has all records up to a version, or that they are not
// to be waited for. keeps says whether later ones are written too.
func (r *Registry) SetWritten(version uint64, keeps bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.keeps = keeps
	for id, v := range r.unwritten.versions {
		if v <= version || !keeps {
			delete(r.unwritten.versions, id)
		}
	}
	close(r.changed)
	r.changed = make(chan struct{})
}

// Settle waits until the record of a stream outlives all nodes, or for maxSettle.
func (r *Registry) Settle(ctx context.Context, id ID) {
	ctx, cancel := context.WithTimeout(ctx, maxSettle)
	defer cancel()
	for {
		r.mu.Lock()
		_, waits := r.unwritten.versions[id]
		changed := r.changed
		r.mu.Unlock()
		if !waits {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

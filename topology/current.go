package topology

import (
	"sync"

	"github.com/primrosemoor/primrosemoor/schema"
)

// Current holds the latest snapshot and notifies waiting readers when it is
// replaced. It is safe for concurrent use.
type Current struct {
	mu       sync.RWMutex
	snapshot *Snapshot
	changed  chan struct{}
}

// NewCurrent returns a Current with an empty snapshot.
func NewCurrent() *Current {
	return &Current{
		snapshot: Build(&schema.Config{}, nil, Options{}),
		changed:  make(chan struct{}),
	}
}

// Load returns the latest snapshot.
func (c *Current) Load() *Snapshot {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.snapshot
}

// LoadAndWatch returns the latest snapshot and a channel that is closed when a
// newer one replaces it.
func (c *Current) LoadAndWatch() (*Snapshot, <-chan struct{}) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.snapshot, c.changed
}

// Store replaces the snapshot and closes the channel that LoadAndWatch returned.
func (c *Current) Store(s *Snapshot) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.snapshot = s
	close(c.changed)
	c.changed = make(chan struct{})
}

// Package control measures what the nodes' agreement costs: claims of the
// ledger against writes of the object API, and the bytes, calls and processor
// time of membership against the number of nodes. Everything runs in one
// process, on an object API in memory that answers after a fixed delay.
package control

import (
	"context"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/primrosemoor/primrosemoor/objects"
)

// storeDelay is the object API's answer time.
const storeDelay = 3 * time.Millisecond

// meter counts the calls and the value bytes of a Store.
type meter struct {
	objects.Store
	reads    atomic.Int64
	writes   atomic.Int64
	received atomic.Int64
	sent     atomic.Int64
}

// usage is a meter's count.
type usage struct {
	reads, writes, received, sent int64
}

func (m *meter) usage() usage {
	return usage{m.reads.Load(), m.writes.Load(), m.received.Load(), m.sent.Load()}
}

func (u usage) since(before usage) usage {
	return usage{u.reads - before.reads, u.writes - before.writes, u.received - before.received, u.sent - before.sent}
}

func newStore() *objects.Memory {
	store := objects.NewMemory()
	store.Inject(func(objects.Operation, string) objects.Fault { return objects.Fault{Delay: storeDelay} })
	return store
}

// Get implements objects.Store.
func (m *meter) Get(ctx context.Context, key string) (objects.Object, error) {
	o, err := m.Store.Get(ctx, key)
	m.reads.Add(1)
	m.received.Add(int64(len(o.Value)))
	return o, err
}

// List implements objects.Store.
func (m *meter) List(ctx context.Context, prefix string) ([]objects.Object, error) {
	objects, err := m.Store.List(ctx, prefix)
	m.reads.Add(1)
	for _, o := range objects {
		m.received.Add(int64(len(o.Value)))
	}
	return objects, err
}

// VMs implements objects.Store.
func (m *meter) VMs(ctx context.Context) ([]objects.VMStatus, error) {
	m.reads.Add(1)
	return m.Store.VMs(ctx)
}

// Put implements objects.Store.
func (m *meter) Put(ctx context.Context, key string, value []byte, expect objects.Version) (objects.Version, error) {
	m.writes.Add(1)
	m.sent.Add(int64(len(value)))
	return m.Store.Put(ctx, key, value, expect)
}

// Delete implements objects.Store.
func (m *meter) Delete(ctx context.Context, key string, expect objects.Version) error {
	m.writes.Add(1)
	return m.Store.Delete(ctx, key, expect)
}

// quantile returns the value below which a share of the sorted values lies.
func quantile(sorted []time.Duration, share float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	i := min(int(share*float64(len(sorted))), len(sorted)-1)
	return float64(sorted[i].Microseconds()) / 1000
}

func sorted(values []time.Duration) []time.Duration {
	slices.Sort(values)
	return values
}

// processorTime returns the time this process has spent on processors.
func processorTime() time.Duration {
	var r syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &r); err != nil {
		return 0
	}
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}

// Package control measures the cost of the control plane: writes of the object
// API by the rate of claims on the ledger, and the bytes, calls and CPU time of
// membership by the number of nodes. Everything runs in one process with an
// in-memory object API of fixed latency.
package control

import (
	"context"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/primrosemoor/primrosemoor/objects"
)

// storeDelay is the latency of the object API.
const storeDelay = 3 * time.Millisecond

// countingStore counts the calls of a Store and the bytes of the values read
// (received) and written (sent).
type countingStore struct {
	objects.Store
	reads    atomic.Int64
	writes   atomic.Int64
	received atomic.Int64
	sent     atomic.Int64
}

// usage is a reading of the counters of a countingStore.
type usage struct {
	reads, writes, received, sent int64
}

func (m *countingStore) usage() usage {
	return usage{m.reads.Load(), m.writes.Load(), m.received.Load(), m.sent.Load()}
}

func (u usage) minus(before usage) usage {
	return usage{u.reads - before.reads, u.writes - before.writes, u.received - before.received, u.sent - before.sent}
}

func newStore() *objects.Memory {
	store := objects.NewMemory()
	store.Inject(func(objects.Operation, string) objects.Fault { return objects.Fault{Delay: storeDelay} })
	return store
}

// Get implements objects.Store.
func (m *countingStore) Get(ctx context.Context, key string) (objects.Object, error) {
	o, err := m.Store.Get(ctx, key)
	m.reads.Add(1)
	m.received.Add(int64(len(o.Value)))
	return o, err
}

// List implements objects.Store.
func (m *countingStore) List(ctx context.Context, prefix string) ([]objects.Object, error) {
	objects, err := m.Store.List(ctx, prefix)
	m.reads.Add(1)
	for _, o := range objects {
		m.received.Add(int64(len(o.Value)))
	}
	return objects, err
}

// VMs implements objects.Store.
func (m *countingStore) VMs(ctx context.Context) ([]objects.VMStatus, error) {
	m.reads.Add(1)
	return m.Store.VMs(ctx)
}

// Put implements objects.Store.
func (m *countingStore) Put(ctx context.Context, key string, value []byte, expect objects.Version) (objects.Version, error) {
	m.writes.Add(1)
	m.sent.Add(int64(len(value)))
	return m.Store.Put(ctx, key, value, expect)
}

// Delete implements objects.Store.
func (m *countingStore) Delete(ctx context.Context, key string, expect objects.Version) error {
	m.writes.Add(1)
	return m.Store.Delete(ctx, key, expect)
}

// quantile returns, in milliseconds, the value below which the given fraction of
// the sorted values lies.
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

// cpuTime returns the user and system CPU time of this process.
func cpuTime() time.Duration {
	var r syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &r); err != nil {
		return 0
	}
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}

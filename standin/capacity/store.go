package capacity

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/primrosemoor/primrosemoor/objects"
)

// storeCounters counts the calls of the object API and the bytes of values.
type storeCounters struct {
	reads  atomic.Int64
	writes atomic.Int64
	bytes  atomic.Int64
}

// storeCounts is a reading of storeCounters.
type storeCounts struct {
	reads  int64
	writes int64
	bytes  int64
}

func (c *storeCounters) read() storeCounts {
	return storeCounts{reads: c.reads.Load(), writes: c.writes.Load(), bytes: c.bytes.Load()}
}

func (c storeCounts) minus(o storeCounts) storeCounts {
	return storeCounts{reads: c.reads - o.reads, writes: c.writes - o.writes, bytes: c.bytes - o.bytes}
}

// countingStore counts the calls of a Store. A watch counts as one read, however
// long it waits.
type countingStore struct {
	objects.Store
	counters *storeCounters
}

func (s countingStore) Get(ctx context.Context, key string) (objects.Object, error) {
	s.counters.reads.Add(1)
	o, err := s.Store.Get(ctx, key)
	s.counters.bytes.Add(int64(len(o.Value)))
	return o, err
}

func (s countingStore) Put(ctx context.Context, key string, value []byte, expect objects.Version) (objects.Version, error) {
	s.counters.writes.Add(1)
	s.counters.bytes.Add(int64(len(value)))
	return s.Store.Put(ctx, key, value, expect)
}

func (s countingStore) Delete(ctx context.Context, key string, expect objects.Version) error {
	s.counters.writes.Add(1)
	return s.Store.Delete(ctx, key, expect)
}

func (s countingStore) List(ctx context.Context, prefix string) ([]objects.Object, error) {
	s.counters.reads.Add(1)
	objects, err := s.Store.List(ctx, prefix)
	s.count(objects)
	return objects, err
}

func (s countingStore) Watch(ctx context.Context, prefix string, cursor uint64, wait time.Duration) (objects.Changes, error) {
	s.counters.reads.Add(1)
	changes, err := s.Store.Watch(ctx, prefix, cursor, wait)
	s.count(changes.Objects)
	return changes, err
}

func (s countingStore) VMs(ctx context.Context) ([]objects.VMStatus, error) {
	s.counters.reads.Add(1)
	return s.Store.VMs(ctx)
}

func (s countingStore) count(objects []objects.Object) {
	for _, o := range objects {
		s.counters.bytes.Add(int64(len(o.Value)))
	}
}

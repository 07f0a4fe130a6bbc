package ledger

import (
	"context"
	"time"

	"github.com/primrosemoor/primrosemoor/fault"
	"github.com/primrosemoor/primrosemoor/objects"
	"github.com/primrosemoor/primrosemoor/schema"
	"github.com/primrosemoor/primrosemoor/topology"
)

type claimEvent struct{ claim *claim }

func (e claimEvent) apply(m *Manager) {
	s, err := m.ownedShard(e.claim.shard, e.claim.request.GetAnyOwner())
	if err != nil {
		e.claim.fail(err)
		return
	}
	s.addClaim(e.claim)
}

type finishEvent struct{ finish *finish }

func (e finishEvent) apply(m *Manager) {
	s, err := m.ownedShard(e.finish.shard, e.finish.request.GetAnyOwner())
	if err != nil {
		e.finish.result <- err
		return
	}
	s.addFinish(e.finish)
}

// wakeEvent retries a shard's deferred claims and starts I/O that is due.
type wakeEvent struct{ shard *shard }

func (e wakeEvent) apply(*Manager) {
	e.shard.wakeAt = time.Time{}
	if e.shard.owned {
		e.shard.retryAwaitingRecord()
		e.shard.schedule()
	}
}

// loadedEvent is the result of a read of the segment.
type loadedEvent struct {
	shard   *shard
	segment *segment
	err     error
}

func (e loadedEvent) apply(m *Manager) {
	s := e.shard
	s.busy = false
	if e.err != nil {
		s.scheduleRetry("ledger_load_failed", e.err)
		return
	}
	s.retry.Reset()
	s.setSegment(e.segment)
	if s.owned {
		s.schedule()
	}
}

// writtenEvent is the result of a write of the segment.
type writtenEvent struct {
	shard   *shard
	segment *segment
	err     error
}

func (e writtenEvent) apply(m *Manager) {
	s := e.shard
	s.busy = false
	s.notBefore = s.lastWrite.Add(m.commitInterval)
	switch {
	case e.err == nil:
		s.retry.Reset()
		m.deleteParts(s.number, s.parts, e.segment.parts)
		s.setSegment(e.segment)
		s.pruneReleases()
	case objects.IsConflict(e.err), objects.IsUnknownEffect(e.err):
		if objects.IsConflict(e.err) {
			m.deleteParts(s.number, e.segment.parts, s.parts)
		}
		s.segment = nil
		s.notBefore = time.Time{}
		s.log("ledger_reload", e.err)
	default:
		s.scheduleRetry("ledger_write_failed", e.err)
		return
	}
	if s.owned {
		s.schedule()
	}
}

// ownedShard returns the shard if this node owns it in the latest topology, or
// if the request accepts any node as the owner.
func (m *Manager) ownedShard(number uint32, anyOwner bool) (*shard, error) {
	if m.topology == nil {
		return nil, errNotOwner(number, "")
	}
	owner := m.topology.ShardOwner(number)
	if owner != m.node && !anyOwner {
		return nil, errNotOwner(number, owner)
	}
	return m.shard(number), nil
}

// shard returns the state of a shard and creates it if necessary.
func (m *Manager) shard(number uint32) *shard {
	s, ok := m.shards[number]
	if !ok {
		s = newShard(m, number)
		s.acquiredAt = m.acquiredAt[number]
		m.shards[number] = s
	}
	return s
}

// updateAcquired records the time for the shards that this node newly owns.
func (m *Manager) updateAcquired(before, after *topology.Snapshot) {
	for number := range m.shardCount {
		owned := before != nil && before.ShardOwner(number) == m.node
		if owned || after.ShardOwner(number) != m.node {
			continue
		}
		m.acquiredAt[number] = time.Now()
		if s, ok := m.shards[number]; ok {
			s.acquiredAt = m.acquiredAt[number]
		}
	}
}

func (m *Manager) setTopology(snapshot *topology.Snapshot) {
	m.updateAcquired(m.topology, snapshot)
	m.topology = snapshot
	for number, s := range m.shards {
		owner := snapshot.ShardOwner(number)
		if owner == m.node {
			continue
		}
		s.relinquish(owner)
		delete(m.shards, number)
	}
}

func (s *shard) load() {
	s.busy = true
	cached := s.parts
	s.manager.startIO(func(ctx context.Context) event {
		segment, err := s.manager.readSegment(ctx, s.number, cached)
		return loadedEvent{shard: s, segment: segment, err: err}
	})
}

func (s *shard) write() {
	s.removeCancelled()
	if !s.needsIO() {
		return
	}
	if s.segment.size() >= maxShardEntries {
		s.rejectWaiting()
	}
	next := s.nextSegment(time.Now())
	s.busy = true
	s.lastWrite = time.Now()
	expect := s.segment.version
	s.manager.startIO(func(ctx context.Context) event {
		err := s.manager.writeSegment(ctx, s.number, next, expect)
		return writtenEvent{shard: s, segment: next, err: err}
	})
}

// startIO runs one read or write in its own goroutine and posts the resulting
// event.
func (m *Manager) startIO(work func(ctx context.Context) event) {
	ctx := m.ctx
	m.ioTasks.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, ioTimeout)
		defer cancel()
		e := work(ctx)
		_ = m.post(context.Background(), e)
	})
}

// scheduleRetry schedules the next attempt after a failed read or write.
func (s *shard) scheduleRetry(name string, err error) {
	s.log(name, err)
	s.notBefore = time.Now().Add(s.retry.NextBackOff())
	if !s.owned {
		return
	}
	s.removeCancelled()
	if fault.KindOf(err) == schema.ErrorKind_ERROR_KIND_STORE_UNAVAILABLE {
		s.runUnclaimed()
	}
	s.schedule()
}

// wakeAfter posts a wake event after a delay, unless an earlier one is pending.
func (s *shard) wakeAfter(delay time.Duration) {
	at := time.Now().Add(delay)
	if !s.wakeAt.IsZero() && !s.wakeAt.After(at) {
		return
	}
	s.wakeAt = at
	m := s.manager
	time.AfterFunc(delay, func() { _ = m.post(m.ctx, wakeEvent{s}) })
}

// prunePending removes done marks that are stored or whose claims are no longer
// in the segment, and unclaimed requests whose claims are now stored.
func (s *shard) prunePending() {
	for key, attempt := range s.doneMarks {
		i, ok := s.segment.index[key]
		if !ok || s.segment.entries[i].attempt != attempt || s.segment.entries[i].done {
			delete(s.doneMarks, key)
		}
	}
	for key := range s.unclaimed {
		if _, ok := s.activeEntry(key); !ok {
			continue
		}
		delete(s.unclaimed, key)
		if rec := s.records.get(key); rec != nil {
			rec.unclaimed = false
		}
	}
}

// pruneReleases removes releases whose claims are no longer stored. It is called
// after a successful write, when no earlier write can take effect any more.
func (s *shard) pruneReleases() {
	for r := range s.pendingReleases {
		e, ok := s.segment.find(r.key)
		if !ok || e.attempt != r.attempt {
			delete(s.pendingReleases, r)
		}
	}
}

func (s *shard) log(name string, err error) {
	s.manager.logger.Warn().Str("event", name).Uint32("shard", s.number).Int("waiting", len(s.waiting)).Err(err).Msg("")
}

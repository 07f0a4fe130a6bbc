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

// wakeEvent looks after a shard when something is due.
type wakeEvent struct{ shard *shard }

func (e wakeEvent) apply(*Manager) {
	e.shard.wake = time.Time{}
	if e.shard.owned {
		e.shard.retryUnsettled()
		e.shard.schedule()
	}
}

// loadedEvent ends a read of the segment.
type loadedEvent struct {
	shard   *shard
	segment *segment
	err     error
}

func (e loadedEvent) apply(m *Manager) {
	s := e.shard
	s.busy = false
	if e.err != nil {
		s.postpone("ledger_load_failed", e.err)
		return
	}
	s.retry.Reset()
	s.setSegment(e.segment)
	if s.owned {
		s.schedule()
	}
}

// writtenEvent ends a write of the segment.
type writtenEvent struct {
	shard   *shard
	segment *segment
	err     error
}

func (e writtenEvent) apply(m *Manager) {
	s := e.shard
	s.busy = false
	s.notBefore = s.lastWrite.Add(m.interval)
	switch {
	case e.err == nil:
		s.retry.Reset()
		m.deleteParts(s.number, s.parts, e.segment.parts)
		s.setSegment(e.segment)
		s.pruneReleased()
	case objects.IsConflict(e.err), objects.IsUnknownEffect(e.err):
		if objects.IsConflict(e.err) {
			m.deleteParts(s.number, e.segment.parts, s.parts)
		}
		s.segment = nil
		s.notBefore = time.Time{}
		s.log("ledger_reload", e.err)
	default:
		s.postpone("ledger_write_failed", e.err)
		return
	}
	if s.owned {
		s.schedule()
	}
}

// ownedShard returns the shard if this node owns it by the latest topology, or
// if any node may answer.
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

// shard returns a shard, loaded or not, that this node answers for.
func (m *Manager) shard(number uint32) *shard {
	s, ok := m.shards[number]
	if !ok {
		s = newShard(m, number)
		s.acquired = m.acquired[number]
		m.shards[number] = s
	}
	return s
}

// noteAcquired notes when this node became the owner of shards.
func (m *Manager) noteAcquired(before, after *topology.Snapshot) {
	for number := range m.shardCount {
		owned := before != nil && before.ShardOwner(number) == m.node
		if owned || after.ShardOwner(number) != m.node {
			continue
		}
		m.acquired[number] = time.Now()
		if s, ok := m.shards[number]; ok {
			s.acquired = m.acquired[number]
		}
	}
}

func (m *Manager) adoptTopology(snapshot *topology.Snapshot) {
	m.noteAcquired(m.topology, snapshot)
	m.topology = snapshot
	for number, s := range m.shards {
		owner := snapshot.ShardOwner(number)
		if owner == m.node {
			continue
		}
		s.drop(owner)
		delete(m.shards, number)
	}
}

func (s *shard) load() {
	s.busy = true
	known := s.parts
	s.manager.start(func(ctx context.Context) event {
		segment, err := s.manager.readSegment(ctx, s.number, known)
		return loadedEvent{shard: s, segment: segment, err: err}
	})
}

func (s *shard) write() {
	s.dropExpired()
	if !s.needsIO() {
		return
	}
	if s.segment.size() >= maxShardEntries {
		s.failFull()
	}
	next := s.next(time.Now())
	s.busy = true
	s.lastWrite = time.Now()
	expect := s.segment.version
	s.manager.start(func(ctx context.Context) event {
		err := s.manager.writeSegment(ctx, s.number, next, expect)
		return writtenEvent{shard: s, segment: next, err: err}
	})
}

// start runs one read or write beside the Run goroutine and posts its event.
func (m *Manager) start(work func(ctx context.Context) event) {
	ctx := m.ctx
	m.io.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, ioTimeout)
		defer cancel()
		e := work(ctx)
		_ = m.post(context.Background(), e)
	})
}

// postpone schedules the next try after a failure.
func (s *shard) postpone(name string, err error) {
	s.log(name, err)
	s.notBefore = time.Now().Add(s.retry.NextBackOff())
	if !s.owned {
		return
	}
	s.dropExpired()
	if fault.KindOf(err) == schema.ErrorKind_ERROR_KIND_STORE_UNAVAILABLE {
		s.runUnclaimed()
	}
	s.schedule()
}

// wakeAfter looks after the shard again after a delay.
func (s *shard) wakeAfter(delay time.Duration) {
	at := time.Now().Add(delay)
	if !s.wake.IsZero() && !s.wake.After(at) {
		return
	}
	s.wake = at
	m := s.manager
	time.AfterFunc(delay, func() { _ = m.post(m.ctx, wakeEvent{s}) })
}

// pruneMarks forgets done marks that are stored or whose claims are gone, and
// unclaimed requests that the segment holds by now.
func (s *shard) pruneMarks() {
	for key, attempt := range s.done {
		i, ok := s.segment.index[key]
		if !ok || s.segment.entries[i].attempt != attempt || s.segment.entries[i].done {
			delete(s.done, key)
		}
	}
	for key := range s.unclaimed {
		if _, ok := s.held(key); !ok {
			continue
		}
		delete(s.unclaimed, key)
		if rec := s.records.get(key); rec != nil {
			rec.unclaimed = false
		}
	}
}

// pruneReleased forgets releases whose claims are gone. It is called after a
// successful write, when no earlier write can take effect any more.
func (s *shard) pruneReleased() {
	for r := range s.released {
		e, ok := s.segment.find(r.key)
		if !ok || e.attempt != r.attempt {
			delete(s.released, r)
		}
	}
}

func (s *shard) log(name string, err error) {
	s.manager.logger.Warn().Str("event", name).Uint32("shard", s.number).Int("waiting", len(s.waiting)).Err(err).Msg("")
}

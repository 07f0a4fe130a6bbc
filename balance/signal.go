package balance

import (
	"maps"
	"sync"
	"time"

	"github.com/primrosemoor/primrosemoor/catalog"
)

const (
	// leavingDrainDivisor divides the drain time to give the time after a target said that
	// it leaves in which requests may still arrive for it. They are sent to it only if all
	// targets leave.
	leavingDrainDivisor = 2
	// leavingRetention is how long a target that is not listed stays known as leaving. A
	// process that leaves has ended by then.
	leavingRetention = 10 * time.Minute
	// pauseRetention is how long a pause that has ended is kept for the request that tries
	// the target.
	pauseRetention = time.Minute
)

// thisNode is the name of this node in Work.Node and among the pauses of a target.
const thisNode = ""

// Signal is what an instance of a target has asked of a node.
type Signal struct {
	Target string
	// Started is when the instance started, in Unix milliseconds; 0 if unknown.
	Started int64
	// Leaving says that it leaves and takes no more requests from any node.
	Leaving bool
	// Pause is how much longer it wants no request from the node; 0 if it asks for none.
	Pause time.Duration
}

// signalRecord holds what the newest known instance of a target has asked of this node.
type signalRecord struct {
	started int64
	leaving bool
	// lastArrival is when the last request arrived that may be sent although the target
	// leaves.
	lastArrival time.Time
	pausedUntil time.Time
}

// holds reports whether a record still matters: the target leaves, or its pause lasts.
func (r signalRecord) holds(now time.Time) bool { return r.leaving || now.Before(r.pausedUntil) }

// signalRecords holds what targets have asked of this node, whether they are listed or
// not. It is safe for concurrent use, so that a request is checked as it is sent, and an
// answer of a target that asks for nothing costs no event.
type signalRecords struct {
	mu       sync.RWMutex
	byTarget map[string]signalRecord
}

// update changes the record of an instance, unless a newer instance is known, and
// reports whether change did.
func (s *signalRecords) update(target string, started int64, change func(*signalRecord) bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.byTarget[target]
	switch {
	case started < r.started:
		return false
	case started > r.started:
		r = signalRecord{started: started}
	}
	if !change(&r) {
		return false
	}
	if s.byTarget == nil {
		s.byTarget = make(map[string]signalRecord)
	}
	s.byTarget[target] = r
	return true
}

// of returns the record that applies to an instance of a target; it is empty if there is
// none. A record applies to earlier instances too, which an old list may name.
func (s *signalRecords) of(t *catalog.Target) signalRecord {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if r := s.byTarget[t.ID]; t.Started <= r.started {
		return r
	}
	return signalRecord{}
}

// list returns the signals that still hold.
func (s *signalRecords) list(now time.Time) (signals []Signal) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	for target, r := range s.byTarget {
		if r.holds(now) {
			signals = append(signals, Signal{Target: target, Started: r.started, Leaving: r.leaving, Pause: max(0, r.pausedUntil.Sub(now))})
		}
	}
	return signals
}

// forget drops records that no longer matter.
func (s *signalRecords) forget(now time.Time, listed func(target string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(s.byTarget, func(target string, r signalRecord) bool {
		gone := now.Sub(r.lastArrival) > leavingRetention && !listed(target)
		return !now.Before(r.pausedUntil) && (!r.leaving || gone)
	})
}

// RecordSignal records what an answer of a target asked of this node. It reports whether
// other nodes that choose targets for this one have to be told.
func (m *Manager) RecordSignal(s Signal) (isNew bool) {
	if s.Pause > 0 {
		until := time.Now().Add(s.Pause)
		// In this order a request that MaySend holds back is not granted the target again.
		m.submit(pauseAsked{thisNode, s, until})
		isNew = m.signals.update(s.Target, s.Started, func(r *signalRecord) bool {
			if !until.After(r.pausedUntil) {
				return false
			}
			r.pausedUntil = until
			return true
		})
	}
	return s.Leaving && m.recordLeaving(s) || isNew
}

// RecordRemoteSignal records what a target asked of another node, for which this one
// chooses targets.
func (m *Manager) RecordRemoteSignal(node string, s Signal) {
	if s.Pause > 0 {
		m.submit(pauseAsked{node, s, time.Now().Add(s.Pause)})
	}
	if s.Leaving {
		m.recordLeaving(s)
	}
}

// recordLeaving reports whether it was not known that the target leaves.
func (m *Manager) recordLeaving(s Signal) bool {
	lastArrival := time.Now().Add(m.options.Drain / leavingDrainDivisor)
	isNew := m.signals.update(s.Target, s.Started, func(r *signalRecord) bool {
		if r.leaving {
			return false
		}
		r.leaving, r.lastArrival = true, lastArrival
		return true
	})
	if isNew {
		m.submit(leavingSaid{s, lastArrival})
	}
	return isNew
}

// Signals returns what targets have asked of this node and what still holds.
func (m *Manager) Signals() []Signal { return m.signals.list(time.Now()) }

// MaySend reports whether this node may send a target a request that arrived at the given
// time. It may not while a pause that the target asked for lasts, nor, once the target
// leaves, if the request arrived too late.
func (m *Manager) MaySend(t *catalog.Target, arrived time.Time) bool {
	r := m.signals.of(t)
	return !time.Now().Before(r.pausedUntil) && (!r.leaving || arrived.Before(r.lastArrival))
}

// Leaves reports whether a target has said that it leaves.
func (m *Manager) Leaves(t *catalog.Target) bool { return m.signals.of(t).leaving }

// leavingSaid means that a target said that it leaves.
type leavingSaid struct {
	signal      Signal
	lastArrival time.Time
}

func (e leavingSaid) apply(m *Manager, _ time.Time) {
	m.options.Logger.Info().Str("event", "target_leaving").Str("target", e.signal.Target).Int64("started", e.signal.Started).Msg("")
	if t, p := m.target(e.signal.Target); t != nil && t.Started <= e.signal.Started {
		t.leaving, t.lastArrival = true, e.lastArrival
		m.markChanged(p)
	}
}

// pauseAsked means that a target wants no request from a node until a time.
type pauseAsked struct {
	node   string
	signal Signal
	until  time.Time
}

func (e pauseAsked) apply(m *Manager, now time.Time) {
	t, p := m.target(e.signal.Target)
	if t == nil || t.Started > e.signal.Started {
		return
	}
	if !t.paused(e.node, now) {
		m.options.Logger.Info().Str("event", "target_asks_pause").Str("target", t.ID).Str("service", p.name).
			Str("of_node", e.node).Dur("for", e.until.Sub(now)).Msg("")
	}
	t.pause(e.node, now, e.until)
	m.markChanged(p)
}

// restoreSignals applies to a target that is new to its pool what it asked for before.
func (m *Manager) restoreSignals(t *target, now time.Time) {
	r := m.signals.of(t.Target)
	t.leaving, t.lastArrival = r.leaving, r.lastArrival
	if now.Before(r.pausedUntil) {
		t.pause(thisNode, now, r.pausedUntil)
	}
}

// forgetSignals drops signals that no longer matter.
func (m *Manager) forgetSignals(now time.Time) {
	m.signals.forget(now, func(id string) bool {
		t, _ := m.target(id)
		return t != nil
	})
	for _, p := range m.pools {
		for _, t := range p.targets {
			t.dropOldPauses(now)
		}
	}
}

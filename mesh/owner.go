package mesh

import (
	"cmp"
	"strings"
	"time"

	"github.com/primrosemoor/primrosemoor/datastore"
)

// candidate is a node that may own its zone.
type candidate struct {
	datastore.Node
	ready, started, leaving bool
}

// compare orders candidates, the better one first: nodes that are not leaving,
// then nodes that are ready, then nodes that have started, then by processor time, most
// first, then by name.
// Nodes that receive the same reports agree on the first.
func (c candidate) compare(other candidate) int {
	if r := falseFirst(c.leaving, other.leaving); r != 0 {
		return r
	}
	if r := falseFirst(!c.ready, !other.ready); r != 0 {
		return r
	}
	if r := falseFirst(!c.started, !other.started); r != 0 {
		return r
	}
	if r := cmp.Compare(other.Cores, c.Cores); r != 0 {
		return r
	}
	return strings.Compare(c.Name, other.Name)
}

// falseFirst orders false before true.
func falseFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// Owner returns the node that chooses targets for this node's zone and reports the
// zone's sums to other zones. It is this node if it receives no reports from a
// better one.
func (m *Manager) Owner() datastore.Node { return *m.owner.Load() }

// SetReady sets whether this node has the configuration and the targets that the
// owner of a zone needs.
func (m *Manager) SetReady(ready bool) {
	m.mu.Lock()
	changed := m.ready != ready
	m.ready = ready
	m.elect()
	m.mu.Unlock()
	if changed {
		m.changed.broadcast()
	}
}

// elect chooses the owner among the nodes that are not silent. There is no vote:
// nodes that receive reports from different nodes have different owners for a
// while, whose choices are less exact. The lock must be held.
func (m *Manager) elect() {
	best := candidate{Node: m.options.Self, ready: m.ready, started: m.hasStarted(), leaving: m.leaving}
	for name, s := range m.nodes {
		n, known := m.peers[name]
		if !known || s.active == nil {
			continue
		}
		if c := (candidate{Node: n, ready: s.ready, started: s.started, leaving: s.leaving}); c.compare(best) < 0 {
			best = c
		}
	}
	if old := m.owner.Load(); old.Name == best.Name && old.Address == best.Address {
		return
	}
	m.changeOwner(m.owner.Load().Name, best.Name)
	m.owner.Store(&best.Node)
	m.changed.broadcast()
	m.options.Logger.Info().Str("event", "owner_changed").Str("zone", best.Zone).Str("owner", best.Name).
		Bool("able", best.ready).Float64("cores", best.Cores).Msg("")
}

// changeOwner prepares this node for becoming the owner, or for ceasing to be it. The
// lock must be held.
func (m *Manager) changeOwner(old, next string) {
	switch self := m.options.Self.Name; {
	case old == self && m.hasStarted():
		m.ownedUntil = time.Now()
	case next == self:
		// The same process goes on reporting for handoverTime.
		if s := m.nodes[old]; s == nil || s.active == nil || s.process != m.informant {
			m.succeeded = m.informedByOwner
		}
	}
}

// reportsForZone reports whether this node reports for its zone to the other zones. The
// lock must be held.
func (m *Manager) reportsForZone() bool {
	return m.ownsZone() && m.hasStarted() || time.Since(m.ownedUntil) < handoverTime
}

// hasStarted reports whether this node is ready or has had time to hear of a better owner.
// Until then it does not report for its zone, of which it knows too little, and nodes that
// have started are preferred as its owner, so that one of them goes on reporting.
// The lock must be held.
func (m *Manager) hasStarted() bool {
	return m.ready || time.Since(m.started) > silenceTimeout
}

// ownsZone reports whether this node owns its zone and is not leaving. The lock
// must be held.
func (m *Manager) ownsZone() bool {
	return m.owner.Load().Name == m.options.Self.Name && !m.leaving
}

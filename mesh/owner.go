package mesh

import (
	"cmp"
	"strings"

	"github.com/primrosemoor/primrosemoor/datastore"
)

// candidate is a node that may own its zone.
type candidate struct {
	datastore.Node
	able, leaving bool
}

// compare orders candidates, the better one first: nodes that stay, then those
// that know what they need, then those with most processor time, then by name.
// Nodes that hear the same agree on the first.
func (c candidate) compare(other candidate) int {
	if r := falseFirst(c.leaving, other.leaving); r != 0 {
		return r
	}
	if r := falseFirst(!c.able, !other.able); r != 0 {
		return r
	}
	if r := cmp.Compare(other.Cores, c.Cores); r != 0 {
		return r
	}
	return strings.Compare(c.Name, other.Name)
}

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

// Owner returns the node that chooses targets for this node's zone and speaks
// for it to other zones. It is this node if it hears no better one.
func (m *Manager) Owner() datastore.Node { return *m.owner.Load() }

// SetAble says whether this node knows what the owner of a zone needs.
func (m *Manager) SetAble(able bool) {
	m.mu.Lock()
	changed := m.able != able
	m.able = able
	m.elect()
	m.mu.Unlock()
	if changed {
		m.changed.raise()
	}
}

// elect finds the owner among the nodes that are heard. There is no vote: nodes
// that hear different ones have different owners for a while, whose choices are
// less exact. The lock must be held.
func (m *Manager) elect() {
	best := candidate{m.options.Self, m.able, m.leaving}
	for name, s := range m.nodes {
		n, known := m.known[name]
		if !known || s.feed == nil {
			continue
		}
		if c := (candidate{n, s.able, s.leaving}); c.compare(best) < 0 {
			best = c
		}
	}
	if old := m.owner.Load(); old.Name == best.Name && old.Address == best.Address {
		return
	}
	m.owner.Store(&best.Node)
	m.options.Logger.Info().Str("event", "owner_changed").Str("zone", best.Zone).Str("owner", best.Name).
		Bool("able", best.able).Float64("cores", best.Cores).Msg("")
}

// owns reports whether this node owns its zone. The lock must be held.
func (m *Manager) owns() bool {
	return m.owner.Load().Name == m.options.Self.Name && !m.leaving
}

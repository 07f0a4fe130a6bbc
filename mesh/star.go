package mesh

import (
	"slices"
	"time"

	"github.com/primrosemoor/primrosemoor/datastore"
)

const (
	// starMinNodes is the number of nodes of a zone from which its nodes report to
	// its hubs only, so that the links and messages of a node do not grow with the
	// zone.
	starMinNodes = 8
	// hubCount is the number of hubs of a zone. One of them owns the zone; the others
	// know all its nodes and can take over at once.
	hubCount = 3
	// memberReportAge is the age from which the last report of a node to a member shows
	// that it has stopped reporting to it.
	memberReportAge = heartbeatInterval + silenceCheckInterval
)

// hubs returns the hubs of a zone among its nodes, and the nodes that would be hubs
// if they had not failed. Nodes that know the same nodes to have failed agree on the
// hubs. A small zone has no hubs: every node reports to every other.
func hubs(zone []candidate, failed func(name string) bool) (working, lost []string) {
	if len(zone) < starMinNodes {
		return nil, nil
	}
	ordered := slices.Clone(zone)
	slices.SortFunc(ordered, candidate.compare)
	for _, c := range ordered {
		if failed(c.Name) {
			lost = append(lost, c.Name)
			continue
		}
		working = append(working, c.Name)
		if len(working) == hubCount {
			break
		}
	}
	return working, lost
}

// updateHubs determines the hubs of this zone and whether this node is one of them.
// The lock must be held.
func (m *Manager) updateHubs() {
	self := m.options.Self
	zone := []candidate{{Node: self, ready: true, leaving: m.leaving}}
	for _, n := range m.peers {
		if n.Zone == self.Zone {
			s := m.nodes[n.Name]
			zone = append(zone, candidate{Node: n, ready: true, leaving: s != nil && s.leaving})
		}
	}
	working, lost := hubs(zone, func(name string) bool {
		l := m.links[name]
		return l != nil && l.failed
	})
	m.hubs = slices.Concat(working, lost)
	member := len(working) > 0 && !slices.Contains(working, self.Name)
	if member != m.member {
		m.member = member
		m.changeRole()
	}
}

// changeRole applies what counts in the new role: the reports of single nodes at a
// hub, the sums of the zone at a member. The lock must be held.
func (m *Manager) changeRole() {
	m.options.Logger.Info().Str("event", "mesh_role_changed").Bool("member", m.member).Strs("hubs", m.hubs).Msg("")
	if !m.member {
		m.markSilent(m.rest)
		m.rest.forget()
	}
	for _, s := range m.nodes {
		if s.active == nil || !m.member && time.Since(s.lastUpdate) > memberReportAge {
			// What it booked while this node was a member was part of the zone's sums.
			s.forget()
			continue
		}
		if m.member {
			m.notify(func(l Listener) { l.SourceSilent(s.name) })
		} else {
			m.notifyReport(s, changes{targets: s.active.targets, queues: s.active.queues, shares: s.active.shares})
		}
		m.sumAgain(s.active)
	}
}

// forget makes the next report of any feed of the source its baseline.
func (s *source) forget() {
	s.active, s.last = nil, nil
	s.applied++
}

// storeReport stores the report of a node of this zone that does not count, because
// the owner's sums of the zone include it. The lock must be held.
func (m *Manager) storeReport(s *source, f *feed, now time.Time, c changes) {
	f.merge(c)
	f.lastUpdate = now
	if s.active == nil {
		m.options.Logger.Info().Str("event", "peer_heard").Str("source", s.name).Msg("")
	}
	s.active, s.last, s.lastUpdate = f, f, now
}

// wantedInZone returns the nodes of this zone to which this node has links. The lock
// must be held.
func (m *Manager) wantedInZone() map[string]datastore.Node {
	wanted := make(map[string]datastore.Node)
	for _, n := range m.peers {
		if n.Zone == m.options.Self.Zone && (!m.member || slices.Contains(m.hubs, n.Name)) {
			wanted[n.Name] = n
		}
	}
	return wanted
}

// isMember reports whether a node of this zone is told of the zone's sums instead of
// each node. The lock must be held.
func (m *Manager) isMember(name string) bool {
	return len(m.hubs) > 0 && !m.member && !slices.Contains(m.hubs, name)
}

// restSince returns the changes after a version of what all nodes of this zone but
// one have booked and queued: the sums of the zone without that node's contribution.
func (m *Manager) restSince(version uint64, name string) changes {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := m.zoneSums.since(version)
	s := m.nodes[name]
	if s == nil {
		return c
	}
	rest := changes{version: c.version, teams: make(map[string]TeamUse, len(c.teams)), queues: make(map[Queue]int, len(c.queues))}
	for team, use := range c.teams {
		use.teamCounts = use.since(s.contributed[team])
		rest.teams[team] = use
	}
	for q, waiting := range c.queues {
		if s.active != nil {
			waiting = max(0, waiting-s.active.queues[q])
		}
		rest.queues[q] = waiting
	}
	return rest
}

package rollout

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// OwnNode and OtherZones are the keys in Report.Sums of the outcomes at the sender's node, and
// of the sum over all zones but the sender's. The others are those of single zones.
const (
	OwnNode    = ""
	OtherZones = "*"
)

// Report is what a node tells another one of an order.
type Report struct {
	Order
	Phase   Phase
	Elapsed time.Duration
	Bad     bool
	// Age is the time since the order was last known to exist.
	Age  time.Duration
	Sums map[string]Tally
}

// Reports is what a node tells another one of all orders.
type Reports struct {
	List []Report
	// Age is the time since the sender knew all orders.
	Age time.Duration
}

// Receiver says where reports go to.
type Receiver uint8

// The receivers of reports. A node of this zone that reports to all others gets the outcomes
// at this node and in each other zone; a hub those at this node; a member of a large zone the
// sums of this zone and of all others; another zone those of this one.
const (
	ToNode Receiver = iota
	ToHub
	ToMember
	ToZone
)

// Version returns a number that changes with the phases.
func (m *Manager) Version() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.version
}

// Reports returns what this node knows of the orders; ok is false if it does not know them.
func (m *Manager) Reports(to Receiver) (reports Reports, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.known {
		return Reports{}, false
	}
	now := m.options.Now()
	reports.Age = now.Sub(m.knownAt)
	for _, s := range m.services {
		r := s.rollout
		if r == nil {
			continue
		}
		report := Report{
			Order: r.Order, Phase: r.phase, Elapsed: now.Sub(r.began), Bad: r.bad, Age: now.Sub(r.heardAt), Sums: make(map[string]Tally),
		}
		if !r.phase.Ended() {
			m.addSums(report.Sums, r, to)
		}
		reports.List = append(reports.List, report)
	}
	slices.SortFunc(reports.List, func(a, b Report) int { return strings.Compare(a.Service, b.Service) })
	return reports, true
}

// addSums adds the outcomes that a receiver gets. The lock must be held.
func (m *Manager) addSums(sums map[string]Tally, r *rollout, to Receiver) {
	if to == ToNode || to == ToHub {
		sums[OwnNode] = maps.Clone(r.own)
	}
	if to == ToMember || to == ToZone {
		sums[m.options.Zone] = m.zoneTotal(r)
	}
	if to == ToMember {
		sums[OtherZones] = m.otherZones(r)
	}
	if to == ToNode {
		for zone, z := range r.zones {
			if zone != m.options.Zone && zone != OtherZones {
				sums[zone] = maps.Clone(z)
			}
		}
	}
}

// Apply applies what a process of a zone has told. Its sums only rise, so that a report that
// is lost or comes late changes nothing in the end.
func (m *Manager) Apply(process, zone string, reports Reports) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.options.Now()
	m.recordKnown(now.Add(-reports.Age))
	for _, report := range reports.List {
		heardAt := now.Add(-report.Age)
		if m.knownAt.Sub(heardAt) > removalDelay {
			continue
		}
		r, _ := m.observe(report.Order, report.Phase, report.Elapsed, report.Bad, heardAt)
		if r == nil {
			continue
		}
		for source, tally := range report.Sums {
			into, key := r.zones, source
			if source == OwnNode {
				into, key = r.nodes, process
			}
			if source == OwnNode && (zone != m.options.Zone || process == m.options.Process) {
				continue
			}
			if into[key] == nil {
				into[key] = make(Tally)
			}
			into[key].raise(tally)
		}
	}
}

// State is what this node knows of a rollout.
type State struct {
	Order
	Phase Phase
	// Bad is set if the outcomes have shown the version to be bad.
	Bad bool
	// Before and After are the outcomes at all nodes, of the other versions and of the new one.
	Before, After Counts
}

// States returns what this node knows of the rollouts.
func (m *Manager) States() (states []State) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, s := range m.services {
		if s.rollout == nil {
			continue
		}
		state := State{Order: s.rollout.Order, Phase: s.rollout.phase, Bad: s.rollout.bad}
		for series, c := range m.total(s.rollout) {
			if series.New {
				state.After = state.After.plus(c)
			} else {
				state.Before = state.Before.plus(c)
			}
		}
		states = append(states, state)
	}
	return states
}

package rollout

import (
	"context"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/phuslu/log"

	"github.com/primrosemoor/primrosemoor/catalog"
	"github.com/primrosemoor/primrosemoor/clock"
)

const (
	// judgeInterval is the time between two comparisons of the outcomes, a small part of the
	// 5 s within which a bad version has to be cut off.
	judgeInterval = 100 * time.Millisecond
	// contactLimit is the age of what a node knows of an order from which it counts as cut
	// off: heartbeats of the mesh come every 250 ms and pass three links at most.
	contactLimit = 2 * time.Second
	// removalDelay is how long an order is kept that the node which follows the store no
	// longer names: what other nodes report of it may be older.
	removalDelay = 5 * time.Second
	// newVersionDelay is how long a version that was not listed before gets no requests while
	// another one serves and no order is known: the order may arrive after its targets.
	newVersionDelay = 1500 * time.Millisecond
)

// Options configures a Manager.
type Options struct {
	// Zone is this node's zone, and Process names this process.
	Zone, Process string
	// Bound is the greatest share of its service's requests that a bad version may get.
	Bound  float64
	Logger *log.Logger
	// Now reads the clock.
	Now func() clock.Instant
	// OnChanged is called when other nodes have to be told of a phase, or of a bad version.
	OnChanged func()
}

// Manager holds what this node knows of the rollouts. Its methods may be called by any
// goroutine.
type Manager struct {
	options Options

	mu sync.Mutex
	// changed is closed when the phase of a rollout changes. version counts these changes.
	changed  chan struct{}
	version  uint64
	services map[string]*service
	// coldUntil holds the targets that were slow after their start when they were listed.
	coldUntil map[instance]clock.Instant
	// known is set once this node knows all orders, of which the latest report was of knownAt.
	known   bool
	knownAt clock.Instant
}

type instance struct {
	id      string
	started int64
}

// service holds the versions of a service's targets, and the order to change them.
type service struct {
	versions map[string]*version
	rollout  *rollout
	// reverted is the version that the last order, which has been replaced or removed, ended
	// without; empty if there is none, or its targets are no longer listed.
	reverted string
}

// version is a version of which targets are listed.
type version struct {
	firstSeen clock.Instant
	// started is when the oldest of its targets started, in Unix milliseconds.
	started int64
	// targets counts those that do not drain.
	targets int
}

// rollout is what this node knows of one order.
type rollout struct {
	Order
	phase      Phase
	phaseSince clock.Instant
	// began is the time of the order; heardAt is when the order was last known to exist.
	began, heardAt clock.Instant
	// tryFrom is when the next request may wait for a target of the version under trial.
	tryFrom clock.Instant
	// bad is set once the outcomes have shown the version to be bad.
	bad bool
	// old are the other versions that served before the end of the rollout.
	old map[string]bool
	// routes counts this node's requests by route.
	routes map[string]*routeCounts
	// own holds the outcomes at this node, nodes those at other processes of the zone, and
	// zones the sums of zones, this one included, as others report them.
	own          Tally
	nodes, zones map[string]Tally
	// usual are the times of the old versions by route, at all nodes.
	usual map[string]usualTimes
	// lastBroken is when a response of a target last broke off.
	lastBroken map[instance]clock.Instant
}

// New returns a manager that knows no orders.
func New(options Options) *Manager {
	return &Manager{
		options: options, changed: make(chan struct{}), services: make(map[string]*service), coldUntil: make(map[instance]clock.Instant),
	}
}

// Run compares the outcomes until ctx ends.
func (m *Manager) Run(ctx context.Context) {
	tick := time.NewTicker(judgeInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			m.judge()
		case <-ctx.Done():
			return
		}
	}
}

// judge cuts off the versions that are bad, and drops the orders that no longer exist.
func (m *Manager) judge() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, s := range m.services {
		r := s.rollout
		switch {
		case r == nil:
		case m.knownAt.Sub(r.heardAt) > removalDelay:
			s.endOrder()
			m.logPhase("rollout_removed", r)
			m.announce()
		case !r.bad && !r.phase.Ended():
			total := m.total(r)
			r.usual = total.usualTimes()
			if total.Bad() {
				m.setBad(r, total)
			}
		}
	}
}

// setBad cuts a version off for its outcomes. The lock must be held.
func (m *Manager) setBad(r *rollout, total Tally) {
	r.bad = true
	for series, c := range total {
		m.options.Logger.Warn().Str("event", "rollout_outcomes").Str("service", r.Service).Str("target", r.Target).Str("route", series.Route).
			Bool("new", series.New).Uint64("responses", c.Responses).Uint64("failures", c.Failures).Uint64("slow", c.Slow).Msg("")
	}
	m.logPhase("rollout_bad", r)
	m.announce()
}

// announce wakes what waits for a change, here and at the mesh. The lock must be held.
func (m *Manager) announce() {
	m.version++
	close(m.changed)
	m.changed = make(chan struct{})
	if m.options.OnChanged != nil {
		m.options.OnChanged()
	}
}

func (m *Manager) logPhase(event string, r *rollout) {
	m.options.Logger.Info().Str("event", event).Str("service", r.Service).Str("target", r.Target).Uint64("order", r.Revision).
		Str("phase", r.phase.String()).Bool("bad", r.bad).Dur("elapsed", m.options.Now().Sub(r.began)).Dur("duration", r.Duration).Msg("")
}

// service returns a service, adding it if it is new. The lock must be held.
func (m *Manager) service(name string) *service {
	s := m.services[name]
	if s == nil {
		s = &service{versions: make(map[string]*version)}
		m.services[name] = s
	}
	return s
}

// UpdateTargets replaces the list of all targets.
func (m *Manager) UpdateTargets(targets []*catalog.Target) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.options.Now()
	for _, s := range m.services {
		for _, v := range s.versions {
			v.targets, v.started = 0, 0
		}
	}
	listed := make(map[instance]bool, len(targets))
	for _, t := range targets {
		i := instance{t.ID, t.Started}
		listed[i] = true
		if _, seen := m.coldUntil[i]; !seen {
			m.coldUntil[i] = now.Add(t.ColdFor)
		}
		if t.Draining {
			continue
		}
		s := m.service(t.Service)
		v := s.versions[t.Version]
		if v == nil {
			v = &version{firstSeen: now}
			s.versions[t.Version] = v
		}
		if v.targets++; v.started == 0 || t.Started < v.started {
			v.started = t.Started
		}
	}
	maps.DeleteFunc(m.coldUntil, func(i instance, _ clock.Instant) bool { return !listed[i] })
	for name, s := range m.services {
		maps.DeleteFunc(s.versions, func(_ string, v *version) bool { return v.targets == 0 })
		if s.versions[s.reverted] == nil {
			s.reverted = ""
		}
		s.recordOld()
		if len(s.versions) == 0 && s.rollout == nil {
			delete(m.services, name)
		}
	}
}

// endOrder drops the order. A version that was reverted gets nothing as long as its targets are
// listed, unless it is ordered again.
func (s *service) endOrder() {
	if s.rollout != nil && s.rollout.stopped() {
		s.reverted = s.rollout.Target
	}
	s.rollout = nil
}

// recordOld records the versions that the rollout replaces.
func (s *service) recordOld() {
	if s.rollout == nil || s.rollout.phase.Ended() {
		return
	}
	for name := range s.versions {
		if name != s.rollout.Target {
			s.rollout.old[name] = true
		}
	}
}

// observe applies what the store or another node says of an order, and reports whether it
// changed the phase. A later order replaces an earlier one. The lock must be held.
func (m *Manager) observe(o Order, phase Phase, elapsed time.Duration, bad bool, heardAt clock.Instant) (r *rollout, changed bool) {
	now := m.options.Now()
	s := m.service(o.Service)
	r = s.rollout
	if r == nil || r.Revision < o.Revision {
		s.endOrder()
		r = &rollout{
			Order: o, phaseSince: now, began: now, old: make(map[string]bool), routes: make(map[string]*routeCounts),
			own: make(Tally), nodes: make(map[string]Tally), zones: make(map[string]Tally), lastBroken: make(map[instance]clock.Instant),
		}
		s.rollout, changed = r, true
	}
	if r.Revision != o.Revision || r.Target != o.Target {
		return nil, false
	}
	r.heardAt, r.began = max(r.heardAt, heardAt), min(r.began, now.Add(-elapsed))
	if phase > r.phase {
		r.phase, r.phaseSince, changed = phase, now, true
	}
	s.recordOld()
	if bad && !r.bad {
		r.bad, changed = true, true
	}
	if changed {
		m.logPhase("rollout_phase", r)
		m.announce()
	}
	return r, changed
}

// total returns the outcomes at all nodes. The lock must be held.
func (m *Manager) total(r *rollout) Tally {
	t := m.zoneTotal(r)
	t.add(m.otherZones(r))
	return t
}

// otherZones returns the outcomes in the other zones: the sum of what is known of each, or
// what a hub has summed up, whichever is more. The lock must be held.
func (m *Manager) otherZones(r *rollout) Tally {
	t := make(Tally)
	for zone, z := range r.zones {
		if zone != m.options.Zone && zone != OtherZones {
			t.add(z)
		}
	}
	t.raise(r.zones[OtherZones])
	return t
}

// zoneTotal returns the outcomes in this zone: the sum of what its nodes report here, or
// what another of its nodes has summed up, whichever is more. The lock must be held.
func (m *Manager) zoneTotal(r *rollout) Tally {
	t := make(Tally)
	t.add(r.own)
	for _, n := range r.nodes {
		t.add(n)
	}
	t.raise(r.zones[m.options.Zone])
	return t
}

// routeCounts are the requests of a route that this node has sent since the order.
type routeCounts struct {
	// sends counts requests, tries those that went to the new version.
	sends, tries uint64
	// start is uniform in [0, 1).
	start float64
}

func (r *rollout) route(name string) *routeCounts {
	c := r.routes[name]
	if c == nil {
		c = &routeCounts{start: rand.Float64()}
		r.routes[name] = c
	}
	return c
}

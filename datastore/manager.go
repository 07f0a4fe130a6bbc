package datastore

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"github.com/primrosemoor/primrosemoor/catalog"
	"github.com/primrosemoor/primrosemoor/clock"
)

const (
	// configWait is how long a watch of the configuration waits. Its answer is
	// the proof that no key was taken away, so it has to come several times
	// within the time of a revocation.
	configWait = 1500 * time.Millisecond
	// sharedWait is how long a node waits that gets proofs from the owner of its
	// zone. Changes end the wait.
	sharedWait = 10 * time.Second
	// lateProof is the age of the proof after which a node no longer relies on
	// others and asks anew: half the time of the shortest revocation in use. It
	// then waits for urgentWait only, since the answer to a watch is the proof.
	lateProof  = 2500 * time.Millisecond
	urgentWait = 100 * time.Millisecond
	// waitSpread is the part of that wait by which the nodes' waits differ, so
	// that they do not all ask at once.
	waitSpread = 0.4
	// sharedProof is how recent another node's proof must be for that: the owner of
	// the zone has a new one after configWait, and tells of it soon.
	sharedProof = 2 * time.Second
	// listWait is how long a watch of the targets waits. A connection that has gone
	// silent, and an outage of the store, are noticed after it.
	listWait = 4 * time.Second
	// targetsPause and nodesPause are left between the changes of a list. A
	// target that leaves must be known within a few seconds; a node that is new
	// says so itself.
	targetsPause = 250 * time.Millisecond
	nodesPause   = 3 * time.Second
	// drainShare of the time in which a target that leaves must get no more
	// requests is the pause of a node that does not choose targets: it only
	// declines what the owner of its zone, which knows sooner, has chosen.
	drainShare = 0.5
	// nodesWait is how long a watch of the nodes waits; a change that is missed
	// costs only the hints of one node.
	nodesWait = 15 * time.Second
	// returnGrace is how long targets that vanished during an outage of the
	// store are kept after its end; entries that had lapsed are back by then.
	returnGrace = 2 * time.Second
)

// Sources are where a Manager reads from.
type Sources struct {
	Configurations Source[*catalog.Config]
	Targets        Source[*catalog.Target]
	Nodes          Source[Node]
}

// Options configures a Manager.
type Options struct {
	Sources Sources
	Relay   Relay
	// Revocation is the time after which a key that was taken away must not
	// work; 0 means that none is promised.
	Revocation time.Duration
	// Drain is the time after which a target that leaves must get no requests.
	Drain time.Duration
	// Owns reports whether this node chooses targets for others, which then ask the
	// store less often; nil if no node does.
	Owns   func() bool
	Logger *log.Logger
	// Now reads the clock; nil means the VM's.
	Now func() clock.Instant
	// OnTargets is called with each new list of targets or configuration.
	OnTargets func(targets []*catalog.Target, services map[string]*catalog.Service)
	// OnNodes is called with each new list of nodes.
	OnNodes func(nodes map[string]Node)
}

// Manager follows the store. Its getters may be called by any goroutine.
type Manager struct {
	options Options
	table   atomic.Pointer[catalog.Table]
	// proven is the latest instant at which the configuration was known to be
	// the newest.
	proven atomic.Int64
	// provenElsewhere is the latest instant of another node's proof.
	provenElsewhere atomic.Int64
	// revocation is a time.Duration.
	revocation atomic.Int64
	ready      atomic.Bool
	// listed is set once the store has told the nodes.
	listed atomic.Bool
	// known are the targets that this node knows, and those that it knows to have
	// left, by id.
	known   atomic.Pointer[map[string]*catalog.Target]
	changes chan func(*beliefs)
	relayed chan relayed
	done    chan struct{}
}

// beliefs is the state that the manager's goroutine owns.
type beliefs struct {
	manager *Manager
	targets map[string]*catalog.Target
	nodes   map[string]Node
	// lapsed are targets that vanished during an outage, kept until heldUntil.
	lapsed    map[string]*catalog.Target
	heldUntil time.Time
	// left are targets that were removed lately, marked as draining.
	left map[string]departed
	// listed is set once the store has told the targets.
	listed bool
	// fetching is set while another node is asked for its configuration.
	fetching bool
}

// departed is a target that was removed at an instant.
type departed struct {
	target *catalog.Target
	at     time.Time
}

// departedTime is how long it is known that a target has left. Whoever chooses
// one later believes in a list that is older than any that is in use.
const departedTime = 30 * time.Second

// NewManager returns a manager that knows nothing yet.
func NewManager(options Options) *Manager {
	if options.Now == nil {
		options.Now = clock.Now
	}
	m := &Manager{
		options: options, changes: make(chan func(*beliefs)), relayed: make(chan relayed, 16), done: make(chan struct{}),
	}
	m.known.Store(&map[string]*catalog.Target{})
	m.SetRevocation(options.Revocation)
	return m
}

// Run follows the store until ctx ends.
func (m *Manager) Run(ctx context.Context) {
	var followers sync.WaitGroup
	config := &Follower[*catalog.Config]{
		Source: m.options.Sources.Configurations, Kind: "configuration", Wait: m.configWait, Logger: m.options.Logger, Now: m.options.Now,
		Apply: func(u Update[*catalog.Config]) { m.submit(func(b *beliefs) { b.applyConfig(u) }) },
	}
	targets := &Follower[*catalog.Target]{
		Source: m.options.Sources.Targets, Kind: "targets", Wait: fixed(listWait), Pause: m.targetsPause, Logger: m.options.Logger, Now: m.options.Now,
		Apply: func(u Update[*catalog.Target]) { m.submit(func(b *beliefs) { b.applyTargets(u) }) },
	}
	nodes := &Follower[Node]{
		Source: m.options.Sources.Nodes, Kind: "nodes", Wait: fixed(nodesWait), Pause: fixed(nodesPause), Logger: m.options.Logger, Now: m.options.Now,
		Apply: func(u Update[Node]) {
			if u.Changed {
				m.listed.Store(true)
				m.submit(func(b *beliefs) { b.nodes = u.Items })
				m.options.OnNodes(u.Items)
			}
		},
	}
	for _, run := range []func(context.Context){config.Run, targets.Run, nodes.Run} {
		followers.Go(func() { run(ctx) })
	}
	m.own(ctx, config)
	close(m.done)
	followers.Wait()
}

func fixed(d time.Duration) func() time.Duration {
	return func() time.Duration { return d }
}

// owns reports whether other nodes rely on this one.
func (m *Manager) owns() bool { return m.options.Owns != nil && m.options.Owns() }

// targetsPause returns how long changes of the targets are let come together.
func (m *Manager) targetsPause() time.Duration {
	if m.owns() {
		return targetsPause
	}
	return max(targetsPause, time.Duration(drainShare*float64(m.options.Drain)))
}

// configWait returns how long the next watch of the configuration waits.
func (m *Manager) configWait() time.Duration {
	if m.table.Load() != nil && m.ProofAge() > lateProof {
		return urgentWait
	}
	if !m.owns() && m.options.Now().Sub(clock.Instant(m.provenElsewhere.Load())) < sharedProof {
		return time.Duration(float64(sharedWait) * (1 - waitSpread*rand.Float64()))
	}
	return configWait
}

// submit hands a change to the goroutine that owns the state.
func (m *Manager) submit(change func(*beliefs)) {
	select {
	case m.changes <- change:
	case <-m.done:
	}
}

func (m *Manager) own(ctx context.Context, config *Follower[*catalog.Config]) {
	b := &beliefs{manager: m, left: make(map[string]departed)}
	tick := time.NewTicker(returnGrace / 4)
	defer tick.Stop()
	for {
		select {
		case change := <-m.changes:
			change(b)
		case r := <-m.relayed:
			b.applyRelayed(ctx, r)
		case now := <-tick.C:
			b.dropLapsed(now)
			if m.ProofAge() > lateProof {
				config.Hurry(configWait)
			}
		case <-ctx.Done():
			return
		}
	}
}

// Table returns the configuration in force, or nil if none is known.
func (m *Manager) Table() *catalog.Table {
	return m.table.Load()
}

// SetRevocation sets the time after which a key that was taken away must not
// work; 0 means that none is promised.
func (m *Manager) SetRevocation(d time.Duration) { m.revocation.Store(int64(d)) }

// KeysProven reports whether no key can have been taken away for longer than
// a revocation may take.
func (m *Manager) KeysProven() bool {
	limit := time.Duration(m.revocation.Load())
	return limit == 0 || m.ProofAge() <= limit
}

// ProofAge returns how long ago the configuration was known to be the newest.
func (m *Manager) ProofAge() time.Duration {
	return m.options.Now().Sub(clock.Instant(m.proven.Load()))
}

// Target returns what this node knows of a target, nil if it never heard of it.
// One that has left counts as draining.
func (m *Manager) Target(id string) *catalog.Target {
	return (*m.known.Load())[id]
}

// Ready reports whether the configuration and the targets are known.
func (m *Manager) Ready() bool {
	return m.table.Load() != nil && m.ready.Load()
}

func (b *beliefs) applyConfig(u Update[*catalog.Config]) {
	m := b.manager
	var newest *catalog.Config
	for _, c := range u.Items {
		newest = c
	}
	if newest == nil || !b.adopt(newest) {
		return
	}
	m.prove(u.Proven)
}

// adopt puts a configuration in force if it is newer than the present one. It
// returns false for an older one.
func (b *beliefs) adopt(config *catalog.Config) bool {
	m := b.manager
	current := m.table.Load()
	if current != nil && config.Version <= current.Config.Version {
		return config.Version == current.Config.Version
	}
	m.table.Store(catalog.NewTable(config))
	m.options.Logger.Info().Str("event", "configuration_in_force").Uint64("version", config.Version).
		Int("routes", len(config.Routes)).Int("teams", len(config.Teams)).Msg("")
	b.publish()
	return true
}

// prove records that the configuration in force was the newest at an instant.
func (m *Manager) prove(at clock.Instant) {
	if int64(at) > m.proven.Load() {
		m.proven.Store(int64(at))
	}
}

func (b *beliefs) applyTargets(u Update[*catalog.Target]) {
	if !u.Changed {
		return
	}
	now := time.Now()
	if u.Regained {
		b.heldUntil = now.Add(returnGrace)
	}
	if now.Before(b.heldUntil) {
		b.hold(u.Items)
	}
	b.listed = true
	b.replace(u.Items)
}

// replace takes over a list of targets.
func (b *beliefs) replace(items map[string]*catalog.Target) {
	b.logChanges(items)
	b.noteLeft(items, time.Now())
	b.targets = items
	b.manager.ready.Store(true)
	b.publish()
}

// noteLeft remembers the targets that are missing from a new list.
func (b *beliefs) noteLeft(items map[string]*catalog.Target, now time.Time) {
	for id, d := range b.left {
		if now.Sub(d.at) > departedTime {
			delete(b.left, id)
		}
	}
	for id, t := range b.targets {
		if _, ok := items[id]; ok {
			continue
		}
		gone := *t
		gone.Draining = true
		b.left[id] = departed{&gone, now}
	}
}

// hold keeps ready targets that are missing from the list that follows an
// outage.
func (b *beliefs) hold(items map[string]*catalog.Target) {
	if b.lapsed == nil {
		b.lapsed = make(map[string]*catalog.Target)
	}
	for id, t := range b.targets {
		if _, ok := items[id]; !ok && !t.Draining {
			b.lapsed[id] = t
		}
	}
}

func (b *beliefs) dropLapsed(now time.Time) {
	if len(b.lapsed) == 0 || now.Before(b.heldUntil) {
		return
	}
	b.lapsed = nil
	b.publish()
}

func (b *beliefs) logChanges(items map[string]*catalog.Target) {
	logger := b.manager.options.Logger
	for id, t := range items {
		old := b.targets[id]
		switch {
		case old == nil:
			logger.Info().Str("event", "target_joined").Str("target", id).Str("service", t.Service).
				Str("address", t.Address).Str("zone", t.Zone).Bool("draining", t.Draining).Msg("")
		case !old.Draining && t.Draining:
			logger.Info().Str("event", "target_draining").Str("target", id).Msg("")
		}
	}
	for id := range b.targets {
		if _, ok := items[id]; !ok {
			logger.Info().Str("event", "target_left").Str("target", id).Msg("")
		}
	}
}

// publish hands on the targets that may be used.
func (b *beliefs) publish() {
	table := b.manager.table.Load()
	if table == nil {
		return
	}
	list := make([]*catalog.Target, 0, len(b.targets)+len(b.lapsed))
	for _, t := range b.targets {
		list = append(list, t)
	}
	for id, t := range b.lapsed {
		if _, ok := b.targets[id]; !ok {
			list = append(list, t)
		}
	}
	known := make(map[string]*catalog.Target, len(list)+len(b.left))
	for id, t := range b.left {
		known[id] = t.target
	}
	for _, t := range list {
		known[t.ID] = t
	}
	b.manager.known.Store(&known)
	b.manager.options.OnTargets(list, table.Config.Services)
}

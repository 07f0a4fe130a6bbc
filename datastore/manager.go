package datastore

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"github.com/primrosemoor/primrosemoor/catalog"
	"github.com/primrosemoor/primrosemoor/clock"
)

// outageGrace is how long targets that disappeared during an outage of the store
// are kept after its end. Targets whose entries expired during the outage have
// registered again by then.
const outageGrace = 2 * time.Second

// Sources are the sources that a Manager reads.
type Sources struct {
	Configurations Source[*catalog.Config]
	Targets        Source[*catalog.Target]
	Nodes          Source[Node]
}

// Options configures a Manager.
type Options struct {
	Sources        Sources
	SnapshotReader SnapshotReader
	// Revocation is the time after which a revoked key must no longer work; 0 means
	// that there is no limit.
	Revocation time.Duration
	// Drain is the time after which a target that leaves must get no requests.
	Drain time.Duration
	// OwnsZone reports whether this node chooses targets for other nodes, which then
	// call the store less often; nil if no node does.
	OwnsZone func() bool
	// ReadsForAll reports whether this node reads the store for all nodes of a
	// deployment of relayMinNodes or more; nil if no node does.
	ReadsForAll func() bool
	// Nodes returns the number of nodes of the deployment; nil if it is one.
	Nodes  func() int
	Logger *log.Logger
	// Now reads the clock; nil means the VM's clock.
	Now func() clock.Instant
	// OnTargets is called with the targets that may be used and the services
	// whenever the targets or the configuration change.
	OnTargets func(targets []*catalog.Target, services map[string]*catalog.Service)
	// OnNodes is called with each new list of nodes.
	OnNodes func(nodes map[string]Node)
}

// Manager follows the store. Its getters may be called by any goroutine.
type Manager struct {
	options Options
	started clock.Instant
	table   atomic.Pointer[catalog.Table]
	// proven is the latest clock.Instant at which the configuration was known to be
	// the newest.
	proven atomic.Int64
	// revocation is a time.Duration.
	revocation atomic.Int64
	ready      atomic.Bool
	// nodesListed is set once the store has listed the nodes.
	nodesListed atomic.Bool
	// targetsByID are the current targets and those that left recently, by id.
	targetsByID   atomic.Pointer[map[string]*catalog.Target]
	configs       *Follower[*catalog.Config]
	targets       *Follower[*catalog.Target]
	nodes         *Follower[Node]
	mutations     chan func(*state)
	relayedProofs chan relayedProof
	done          chan struct{}
}

// state is owned by the manager's goroutine; others change it through submit.
type state struct {
	manager *Manager
	targets map[string]*catalog.Target
	nodes   map[string]Node
	// retained are targets that disappeared during an outage, kept until
	// retainUntil.
	retained    map[string]*catalog.Target
	retainUntil time.Time
	// departed are targets that were removed recently, marked as draining.
	departed map[string]departedTarget
	// targetsListed is set once the store has listed the targets.
	targetsListed bool
	// fetching is set while a snapshot is being fetched from another node.
	fetching bool
}

// departedTarget is a target that was removed, and when.
type departedTarget struct {
	target *catalog.Target
	at     time.Time
}

// departedRetention is how long a removed target stays known as draining. Only a
// node whose list is older than any in use can still choose it after that.
const departedRetention = 30 * time.Second

// NewManager returns a manager without a configuration, targets or nodes.
func NewManager(options Options) *Manager {
	if options.Now == nil {
		options.Now = clock.Now
	}
	m := &Manager{
		options: options, started: options.Now(), mutations: make(chan func(*state)), relayedProofs: make(chan relayedProof, 16), done: make(chan struct{}),
	}
	m.targetsByID.Store(&map[string]*catalog.Target{})
	m.SetRevocation(options.Revocation)
	m.addFollowers()
	return m
}

func (m *Manager) addFollowers() {
	sources := m.options.Sources
	m.configs = NewFollower(sources.Configurations, "configuration", m.options.Logger, m.options.Now)
	m.configs.Wait, m.configs.RelayMaxAge, m.configs.Hold = m.configWatchWait, m.relayedProofMaxAge, m.startHold
	m.configs.Apply = func(u Update[*catalog.Config]) { m.submit(func(s *state) { s.applyConfig(u) }) }

	m.targets = NewFollower(sources.Targets, "targets", m.options.Logger, m.options.Now)
	m.targets.Wait, m.targets.Pause, m.targets.RelayMaxAge = m.targetsWatchWait, m.targetsPause, m.relayedTargetsMaxAge
	m.targets.Hold = m.startHold
	m.targets.Apply = func(u Update[*catalog.Target]) { m.submit(func(s *state) { s.applyTargets(u) }) }

	m.nodes = NewFollower(sources.Nodes, "nodes", m.options.Logger, m.options.Now)
	m.nodes.Wait, m.nodes.Pause, m.nodes.RelayMaxAge = constant(nodesWatchWait), constant(nodesPause), m.relayedNodesMaxAge
	m.nodes.Hold = m.startHold
	m.nodes.Apply = func(u Update[Node]) {
		if u.Changed {
			m.nodesListed.Store(true)
			m.submit(func(s *state) { s.nodes = u.Items })
			m.options.OnNodes(u.Items)
		}
	}
}

// Run follows the store until ctx ends.
func (m *Manager) Run(ctx context.Context) {
	var followers sync.WaitGroup
	for _, run := range []func(context.Context){m.configs.Run, m.targets.Run, m.nodes.Run} {
		followers.Go(func() { run(ctx) })
	}
	m.runLoop(ctx)
	close(m.done)
	followers.Wait()
}

// submit runs a function in the goroutine that owns the state. It drops the
// function if Run has ended.
func (m *Manager) submit(mutate func(*state)) {
	select {
	case m.mutations <- mutate:
	case <-m.done:
	}
}

// runLoop owns the state until ctx ends. It also shortens the watch of the
// configuration when the proof is stale.
func (m *Manager) runLoop(ctx context.Context) {
	s := &state{manager: m, departed: make(map[string]departedTarget)}
	tick := time.NewTicker(outageGrace / 4)
	defer tick.Stop()
	for {
		select {
		case mutate := <-m.mutations:
			mutate(s)
		case r := <-m.relayedProofs:
			s.applyRelayedProof(ctx, r)
		case now := <-tick.C:
			s.dropRetained(now)
			if m.ProofAge() > staleProofAge {
				m.configs.ShortenWatch(configWatchWait)
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

// SetRevocation sets the time after which a revoked key must no longer work; 0
// means that there is no limit.
func (m *Manager) SetRevocation(d time.Duration) { m.revocation.Store(int64(d)) }

// KeysProven reports whether the proof is recent enough that no key can have been
// revoked for longer than the revocation time.
func (m *Manager) KeysProven() bool {
	limit := time.Duration(m.revocation.Load())
	return limit == 0 || m.ProofAge() <= limit
}

// ProofAge returns how long ago the configuration was known to be the newest.
func (m *Manager) ProofAge() time.Duration {
	return m.options.Now().Sub(clock.Instant(m.proven.Load()))
}

// Target returns a target by id, nil if it is unknown. A target that left recently
// is returned as draining.
func (m *Manager) Target(id string) *catalog.Target {
	return (*m.targetsByID.Load())[id]
}

// Ready reports whether the configuration and the targets are known.
func (m *Manager) Ready() bool {
	return m.table.Load() != nil && m.ready.Load()
}

// applyConfig adopts the newest configuration from the store and records its proof.
func (s *state) applyConfig(u Update[*catalog.Config]) {
	m := s.manager
	var newest *catalog.Config
	for _, c := range u.Items {
		newest = c
	}
	if newest == nil || !s.adopt(newest) {
		return
	}
	m.recordProof(u.Proven)
}

// adopt puts a configuration in force if it is newer than the current one. It
// returns false for an older one.
func (s *state) adopt(config *catalog.Config) bool {
	m := s.manager
	current := m.table.Load()
	if current != nil && config.Version <= current.Config.Version {
		return config.Version == current.Config.Version
	}
	m.table.Store(catalog.NewTable(config))
	m.options.Logger.Info().Str("event", "configuration_in_force").Uint64("version", config.Version).
		Int("routes", len(config.Routes)).Int("teams", len(config.Teams)).Msg("")
	s.publish()
	return true
}

// recordProof records that the configuration in force was the newest at an instant.
func (m *Manager) recordProof(at clock.Instant) {
	if int64(at) > m.proven.Load() {
		m.proven.Store(int64(at))
	}
}

// applyTargets replaces the targets with the store's list. After an outage it
// retains missing targets for outageGrace.
func (s *state) applyTargets(u Update[*catalog.Target]) {
	if !u.Changed {
		return
	}
	now := time.Now()
	if u.Recovered {
		s.retainUntil = now.Add(outageGrace)
	}
	if now.Before(s.retainUntil) {
		s.retain(u.Items)
	}
	s.targetsListed = true
	s.replaceTargets(u.Items)
}

// replaceTargets replaces the list of targets and publishes it.
func (s *state) replaceTargets(items map[string]*catalog.Target) {
	s.logChanges(items)
	s.recordDeparted(items, time.Now())
	s.targets = items
	s.manager.ready.Store(true)
	s.publish()
}

// recordDeparted records the targets that are missing from a new list, and forgets
// those recorded longer than departedRetention ago.
func (s *state) recordDeparted(items map[string]*catalog.Target, now time.Time) {
	for id, d := range s.departed {
		if now.Sub(d.at) > departedRetention {
			delete(s.departed, id)
		}
	}
	for id, t := range s.targets {
		if _, ok := items[id]; ok {
			continue
		}
		marked := *t
		marked.Draining = true
		s.departed[id] = departedTarget{&marked, now}
	}
}

// retain keeps targets that are not draining and that are missing from the list
// after an outage.
func (s *state) retain(items map[string]*catalog.Target) {
	if s.retained == nil {
		s.retained = make(map[string]*catalog.Target)
	}
	for id, t := range s.targets {
		if _, ok := items[id]; !ok && !t.Draining {
			s.retained[id] = t
		}
	}
}

// dropRetained drops the retained targets once retainUntil has passed.
func (s *state) dropRetained(now time.Time) {
	if len(s.retained) == 0 || now.Before(s.retainUntil) {
		return
	}
	s.retained = nil
	s.publish()
}

// logChanges logs the targets that joined, started draining or left.
func (s *state) logChanges(items map[string]*catalog.Target) {
	logger := s.manager.options.Logger
	for id, t := range items {
		old := s.targets[id]
		switch {
		case old == nil:
			logger.Info().Str("event", "target_joined").Str("target", id).Str("service", t.Service).
				Str("address", t.Address).Str("zone", t.Zone).Bool("draining", t.Draining).Msg("")
		case !old.Draining && t.Draining:
			logger.Info().Str("event", "target_draining").Str("target", id).Msg("")
		}
	}
	for id := range s.targets {
		if _, ok := items[id]; !ok {
			logger.Info().Str("event", "target_left").Str("target", id).Msg("")
		}
	}
}

// publish updates targetsByID and passes the targets that may be used to OnTargets.
// It does nothing until a configuration is in force.
func (s *state) publish() {
	table := s.manager.table.Load()
	if table == nil {
		return
	}
	list := make([]*catalog.Target, 0, len(s.targets)+len(s.retained))
	for _, t := range s.targets {
		list = append(list, t)
	}
	for id, t := range s.retained {
		if _, ok := s.targets[id]; !ok {
			list = append(list, t)
		}
	}
	targetsByID := make(map[string]*catalog.Target, len(list)+len(s.departed))
	for id, t := range s.departed {
		targetsByID[id] = t.target
	}
	for _, t := range list {
		targetsByID[t.ID] = t
	}
	s.manager.targetsByID.Store(&targetsByID)
	s.manager.options.OnTargets(list, table.Config.Services)
}

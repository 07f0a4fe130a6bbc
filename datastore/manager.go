package datastore

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"github.com/primrosemoor/primrosemoor/catalog"
	"github.com/primrosemoor/primrosemoor/clock"
)

const (
	// outageGrace is how long targets that disappeared during an outage of the store
	// are kept after its end. Targets whose entries expired during the outage have
	// registered again by then.
	outageGrace = 2 * time.Second
	// nodesGrace is how long nodes that a store which came back from an older copy
	// lacks are kept: until they have announced themselves again, and the node that
	// reads for all has read it after its pause.
	nodesGrace = 2 * nodesPause
	// departedRetention is how long a removed target stays known as draining. Only a
	// node whose list is older than any in use can still choose it after that.
	departedRetention = 30 * time.Second
	// peerCheckTime is how long a node that has started waits for another one to name
	// its configuration.
	peerCheckTime = time.Second
)

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
	// Self is the name of this node.
	Self string
	// Revocation is the time after which a revoked key must no longer work; 0 means
	// that there is no limit.
	Revocation time.Duration
	// Drain is the time after which a target that leaves must get no requests.
	Drain time.Duration
	// OwnsZone reports whether this node chooses targets for other nodes, which then
	// call the store less often; nil if no node does.
	OwnsZone func() bool
	// ReadsForAll reports whether this node reads the store for all nodes of a
	// deployment of RelayMinNodes or more; nil if no node does.
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
	// OnUnlisted is called when the store has lost the announcement of this node; nil
	// if the node does not announce itself.
	OnUnlisted func()
}

// Manager follows the store. Its getters may be called by any goroutine.
type Manager struct {
	options Options
	started clock.Instant
	// inForce is nil if no configuration is known.
	inForce atomic.Pointer[inForce]
	// proven is the latest clock.Instant at which the configuration was known to be
	// the newest.
	proven atomic.Int64
	// revocation is a time.Duration.
	revocation atomic.Int64
	ready      atomic.Bool
	// nodesListed is set once the store has listed the nodes, peerHeard once another one has
	// named its configuration.
	nodesListed, peerHeard atomic.Bool
	// targetsByID are the current targets and those that left recently, by id.
	targetsByID   atomic.Pointer[map[string]*catalog.Target]
	configs       *Follower[*catalog.Config]
	targets       *Follower[*catalog.Target]
	nodes         *Follower[Node]
	mutations     chan func(*state)
	relayedProofs chan relayedProof
	done          chan struct{}
	eraMu         sync.Mutex
	// era is the latest era of the store that this node knows; eraByPeer is set if only
	// another node has named it.
	era       uint64
	eraByPeer bool
}

// state is owned by the manager's goroutine; others change it through submit.
type state struct {
	manager *Manager
	targets map[string]*catalog.Target
	// shown are the targets as the store shows them at shownAt. Until doubtUntil they may
	// be those of an older copy; held is set if one of them is taken for that.
	shown      map[string]*catalog.Target
	shownAt    Position
	doubtUntil time.Time
	held       bool
	// retained are targets that disappeared during an outage.
	retained retention[*catalog.Target]
	// departed are targets that were removed recently.
	departed map[string]departedTarget
	// targetsListed is set once the store has listed the targets.
	targetsListed bool
	// nodes are the nodes as listed at nodesAt, with retainedNodes.
	nodes         map[string]Node
	nodesAt       Position
	selfListed    bool
	retainedNodes retention[Node]
	// announced is where the store holds this node's announcement, nil if it does not.
	announced *Position
	// lostEra is the last era for which it was logged that the store shows an older
	// configuration.
	lostEra uint64
	// fetching is set while a snapshot is being fetched from another node.
	fetching bool
}

// NewManager returns a manager without a configuration, targets or nodes.
func NewManager(options Options) *Manager {
	if options.Now == nil {
		options.Now = clock.Now
	}
	m := &Manager{
		options: options, started: options.Now(), done: make(chan struct{}),
		mutations: make(chan func(*state)), relayedProofs: make(chan relayedProof, 16),
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
	m.targets.Hold, m.targets.Grace = m.startHold, outageGrace
	m.targets.Apply = func(u Update[*catalog.Target]) { m.submit(func(s *state) { s.applyTargets(u) }) }

	m.nodes = NewFollower(sources.Nodes, "nodes", m.options.Logger, m.options.Now)
	m.nodes.Wait, m.nodes.Pause, m.nodes.RelayMaxAge = constant(nodesWatchWait), constant(nodesPause), m.relayedNodesMaxAge
	m.nodes.Hold, m.nodes.Grace = m.startHold, nodesGrace
	m.configs.RelistHold, m.targets.RelistHold, m.nodes.RelistHold = m.relistHold, m.relistHold, m.relistHold
	m.configs.RetryLimit, m.targets.RetryLimit, m.nodes.RetryLimit = m.retryLimit, m.retryLimit, m.retryLimit
	noticeEra := func(era uint64) { m.raiseEra(era, false) }
	m.configs.OnEra, m.targets.OnEra, m.nodes.OnEra = noticeEra, noticeEra, noticeEra
	m.configs.OnListed, m.targets.OnListed, m.nodes.OnListed = m.correctEra, m.correctEra, m.correctEra
	m.nodes.Apply = func(u Update[Node]) { m.submit(func(s *state) { s.applyNodes(u) }) }
}

// Targets returns the targets that are known, also those that have left.
func (m *Manager) Targets() []*catalog.Target {
	return slices.Collect(maps.Values(*m.targetsByID.Load()))
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
			s.expire(now)
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
	if current := m.inForce.Load(); current != nil {
		return current.table
	}
	return nil
}

// Announced records where the store holds this node's announcement. OnUnlisted is called
// when a later list of the nodes lacks it.
func (m *Manager) Announced(at Position) {
	m.submit(func(s *state) {
		s.announced = &at
		s.checkListed()
	})
}

// SetRevocation sets the time after which a revoked key must no longer work; 0
// means that there is no limit.
func (m *Manager) SetRevocation(d time.Duration) { m.revocation.Store(int64(d)) }

// KeysProven reports whether the proof is recent enough that no key can have been
// revoked for longer than the revocation time. A node that has just started may have
// read an older copy of the store, in which keys are valid that other nodes know to be
// revoked, so that it asks them first.
func (m *Manager) KeysProven() bool {
	limit := time.Duration(m.revocation.Load())
	return limit == 0 || m.ProofAge() <= limit && m.askedPeers()
}

// askedPeers reports whether another node has named its configuration since the start, or
// had the time to. That the store lists no other one shows nothing: others may start at the
// same time, and an older copy of the store may lack them.
func (m *Manager) askedPeers() bool {
	return m.peerHeard.Load() || m.options.Now().Sub(m.started) >= peerCheckTime
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
	return m.Table() != nil && m.ready.Load()
}

// applyConfig applies the newest configuration from the store and its proof.
func (s *state) applyConfig(u Update[*catalog.Config]) {
	var newest *catalog.Config
	for _, c := range u.Items {
		newest = c
	}
	if current := s.manager.inForce.Load(); current != nil && u.At.Era < current.era {
		// The store itself decides, also against an era that another node named.
		s.manager.inForce.Store(&inForce{current.table, u.At.Era})
	}
	if newest != nil && s.weigh(newest, u.At.Era) != configStale {
		s.manager.recordProof(u.Proven)
	}
}

// weigh applies a configuration of a store of an era: it puts it in force if it is
// newer, and returns what it proves about the one in force.
func (s *state) weigh(config *catalog.Config, era uint64) configVerdict {
	m := s.manager
	current := m.inForce.Load()
	verdict := weighConfig(current, config, era)
	switch verdict {
	case configAdopted:
		m.inForce.Store(&inForce{catalog.NewTable(config), era})
		m.options.Logger.Info().Str("event", "configuration_in_force").Uint64("version", config.Version).
			Int("routes", len(config.Routes)).Int("teams", len(config.Teams)).Msg("")
		s.publish()
	case configConfirmed:
		if era > current.era {
			m.inForce.Store(&inForce{current.table, era})
		}
	case configLost:
		if era > s.lostEra {
			s.lostEra = era
			m.options.Logger.Warn().Str("event", "configuration_lost").Uint64("version", current.table.Config.Version).
				Uint64("shown", config.Version).Uint64("era", era).Msg("")
		}
	}
	return verdict
}

// recordProof records that the configuration in force was the newest at an instant.
func (m *Manager) recordProof(at clock.Instant) {
	if int64(at) > m.proven.Load() {
		m.proven.Store(int64(at))
	}
}

// expire drops what was retained after an outage once its grace has passed, and
// considers targets again that were held to have left.
func (s *state) expire(now time.Time) {
	if s.retained.dropExpired(now) {
		s.publish()
	}
	if s.held && !now.Before(s.doubtUntil) {
		s.replaceTargets(s.currentEntries(now), nil, now)
	}
	if s.retainedNodes.dropExpired(now) {
		s.publishNodes()
	}
}

// applyNodes replaces the nodes with the store's list. After an outage it retains
// missing nodes for its grace, because the number of nodes divides the teams' limits.
func (s *state) applyNodes(u Update[Node]) {
	now := time.Now()
	s.retainedNodes.extend(now, u.Grace)
	if !u.Changed {
		return
	}
	if s.retainedNodes.lasts(now) {
		s.retainedNodes.keep(s.nodes, u.Items, func(Node) bool { return true })
	}
	_, listed := u.Items[s.manager.options.Self]
	s.manager.nodesListed.Store(true)
	s.nodes, s.nodesAt, s.selfListed = u.Items, u.At, listed
	s.publishNodes()
	s.checkListed()
}

// publishNodes passes the nodes, with the retained ones, to OnNodes.
func (s *state) publishNodes() {
	s.manager.options.OnNodes(s.retainedNodes.with(s.nodes))
}

// checkListed calls OnUnlisted if the store has lost this node's announcement.
func (s *state) checkListed() {
	m := s.manager
	if s.announced != nil && !s.selfListed && m.nodesListed.Load() && isLost(*s.announced, s.nodesAt) && m.options.OnUnlisted != nil {
		m.options.OnUnlisted()
	}
}

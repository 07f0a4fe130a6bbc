package datastore

import (
	"context"
	"time"

	"github.com/primrosemoor/primrosemoor/catalog"
	"github.com/primrosemoor/primrosemoor/clock"
)

// Snapshot holds one node's copy of the deployment's state, as encoded in
// the store.
type Snapshot struct {
	Version       uint64
	Configuration []byte
	// Era is the latest era in which the store held the configuration.
	Era uint64
	// Targets holds the targets' entries by id.
	Targets map[string][]byte
	// Nodes are the nodes that the sending node knows, including itself.
	Nodes map[string]Node
	// Age is how long ago the configuration was known to be the newest.
	Age time.Duration
}

// SnapshotReader reads snapshots from other nodes, for a node that cannot reach
// the store.
type SnapshotReader struct {
	// Fetch reads the snapshot of the node at an address, without the targets and the
	// nodes if only the configuration is wanted.
	Fetch        func(ctx context.Context, address string, configOnly bool) (Snapshot, error)
	DecodeConfig func(raw []byte) (*catalog.Config, error)
	DecodeTarget func(id string, raw []byte) (*catalog.Target, error)
}

// fetchTimeout bounds one call of SnapshotReader.Fetch.
const fetchTimeout = time.Second

// ConfigState identifies a configuration in force by its version and the latest era in
// which the store held it.
type ConfigState struct {
	Version, Era uint64
}

// Proof returns the configuration in force and how long ago it was known to be the
// newest; ok is false if no configuration is known.
func (m *Manager) Proof() (c ConfigState, age time.Duration, ok bool) {
	// The instant is read first, so that a newer version that arrives in between
	// makes the proof appear older than it is, never younger.
	proven := clock.Instant(m.proven.Load())
	current := m.inForce.Load()
	if current == nil || proven == 0 {
		return ConfigState{}, 0, false
	}
	return ConfigState{current.table.Config.Version, current.era}, m.options.Now().Sub(proven), true
}

// ApplyProof applies another node's proof that its configuration was the newest at
// the given instant. If the configuration is newer than this node's, the node fetches
// it from the address.
func (m *Manager) ApplyProof(c ConfigState, proven clock.Instant, address string) {
	select {
	case m.relayedProofs <- relayedProof{c, proven, address}:
	default:
		// The queue is full; another proof follows within a fraction of a second.
	}
}

const (
	// unlistedRevision asks for all objects: it is older than any revision of the
	// store.
	unlistedRevision = 1
	// listTime is the time after the start in which the store answers a list. Only a
	// node that still knows nothing then asks another one for all objects: hundreds
	// of nodes that start together would ask the same one at once.
	listTime = 3 * time.Second
)

// Position returns the position of this node's items of a kind, as another node needs
// it to tell what changed since; zero if this node does not ask yet.
func (m *Manager) Position(k Kind) Position {
	at := m.history(k).current()
	if at == (Position{}) && m.options.Now().Sub(m.started) > listTime {
		return Position{Revision: unlistedRevision}
	}
	return at
}

// Changes returns what changed after a state of the store, and how long ago it was known
// to lead to the newest state; ok is false if this node cannot tell.
func (m *Manager) Changes(k Kind, since Position) (d Delta, age time.Duration, ok bool) {
	now := m.options.Now()
	d, proven, ok := m.history(k).since(since)
	return d, now.Sub(proven), ok
}

// ApplyChanges applies what another node has read, which led to the newest state at
// an instant.
func (m *Manager) ApplyChanges(k Kind, d Delta, proven clock.Instant) {
	switch k {
	case KindTargets:
		m.targets.Relay(d, proven)
	case KindNodes:
		m.nodes.Relay(d, proven)
	}
}

func (m *Manager) history(k Kind) *history {
	if k == KindNodes {
		return &m.nodes.history
	}
	return &m.targets.history
}

// relayedProof holds the arguments of a call of ApplyProof.
type relayedProof struct {
	config  ConfigState
	proven  clock.Instant
	address string
}

// applyRelayedProof records a proof of the configuration in force, and fetches one that
// is newer: of a later version, or of the same version as a store of a later era holds it.
func (s *state) applyRelayedProof(ctx context.Context, r relayedProof) {
	m := s.manager
	if current := m.inForce.Load(); current != nil {
		version := current.table.Config.Version
		if r.config.Version <= version {
			m.peerHeard.Store(true)
		}
		if r.config.Version == version && r.config.Era <= current.era {
			m.configs.StandIn(r.proven)
			m.recordProof(r.proven)
			return
		}
		if r.config.Version < version {
			return
		}
	}
	if s.fetching {
		return
	}
	s.fetching = true
	configOnly := s.targetsListed && m.nodesListed.Load()
	go func() { m.fetchFrom(ctx, r.address, configOnly) }()
}

// LoadFromPeer fetches and applies the snapshot of the node at an address, for
// a node that starts while the store is unavailable. It reports whether the
// configuration and the targets are known afterwards.
func (m *Manager) LoadFromPeer(ctx context.Context, address string) bool {
	m.fetchFrom(ctx, address, false)
	return m.Ready()
}

// fetchFrom fetches the snapshot of the node at an address and waits until it is
// applied.
func (m *Manager) fetchFrom(ctx context.Context, address string, configOnly bool) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	requestedAt := m.options.Now()
	snapshot, err := m.options.SnapshotReader.Fetch(ctx, address, configOnly)
	applied := make(chan struct{})
	m.submit(func(s *state) {
		defer close(applied)
		s.applySnapshot(address, snapshot, requestedAt, err)
	})
	select {
	case <-applied:
	case <-ctx.Done():
	}
}

// applySnapshot applies the snapshot that was requested from another node at
// requestedAt: a newer configuration and its proof, and the targets and nodes if the
// store has not listed them yet.
func (s *state) applySnapshot(address string, p Snapshot, requestedAt clock.Instant, err error) {
	m := s.manager
	s.fetching = false
	if err != nil {
		m.options.Logger.Warn().Str("event", "relay_failed").Str("address", address).Err(err).Msg("")
		return
	}
	config, err := m.options.SnapshotReader.DecodeConfig(p.Configuration)
	if err != nil {
		m.options.Logger.Warn().Str("event", "relay_unusable").Str("address", address).Err(err).Msg("")
		return
	}
	m.peerHeard.Store(true)
	m.options.Logger.Info().Str("event", "configuration_relayed").Str("address", address).Uint64("version", config.Version).Msg("")
	if v := s.weigh(config, p.Era); v == configAdopted || v == configConfirmed {
		// The other node computed the age after the request was sent, so counting back
		// from requestedAt never makes the proof younger than it is.
		m.recordProof(requestedAt.Add(-p.Age))
	}
	if !m.nodesListed.Load() && len(p.Nodes) > 0 {
		m.options.OnNodes(p.Nodes)
	}
	if s.targetsListed {
		return
	}
	targets := make(map[string]*catalog.Target, len(p.Targets))
	for id, raw := range p.Targets {
		t, err := m.options.SnapshotReader.DecodeTarget(id, raw)
		if err != nil {
			logUnusable(m.options.Logger, "targets", id, err)
			continue
		}
		targets[id] = t
	}
	s.replaceTargets(targets, nil, time.Now())
}

// Snapshot returns this node's snapshot, to be sent to another node. It is
// empty if no configuration is known.
func (m *Manager) Snapshot(ctx context.Context) Snapshot {
	reply := make(chan Snapshot, 1)
	m.submit(func(s *state) { reply <- s.snapshot() })
	select {
	case p := <-reply:
		return p
	case <-ctx.Done():
		return Snapshot{}
	}
}

// snapshot returns the state as sent to another node.
func (s *state) snapshot() Snapshot {
	table := s.manager.Table()
	if table == nil {
		return Snapshot{}
	}
	c, age, _ := s.manager.Proof()
	p := Snapshot{
		Version: table.Config.Version, Configuration: table.Config.Raw, Era: c.Era, Age: age,
		Targets: make(map[string][]byte, len(s.targets)), Nodes: s.retainedNodes.with(s.nodes),
	}
	for id, t := range s.targets {
		p.Targets[id] = t.Raw
	}
	return p
}

package datastore

import (
	"context"
	"time"

	"github.com/primrosemoor/primrosemoor/catalog"
	"github.com/primrosemoor/primrosemoor/clock"
)

// Passed is what one node knows of the deployment, as the store had it.
type Passed struct {
	Version       uint64
	Configuration []byte
	// Targets holds the targets' entries by id.
	Targets map[string][]byte
	// Nodes are the nodes that the other one knows, itself among them.
	Nodes map[string]Node
	// Age is how long ago the configuration was known to be the newest.
	Age time.Duration
}

// Relay reads what other nodes know, for a node that the store does not answer.
type Relay struct {
	// Fetch asks the node at an address.
	Fetch        func(ctx context.Context, address string) (Passed, error)
	DecodeConfig func(raw []byte) (*catalog.Config, error)
	DecodeTarget func(id string, raw []byte) (*catalog.Target, error)
}

// fetchTimeout bounds one question to another node.
const fetchTimeout = time.Second

// Proof returns the version in force and how long ago it was known to be the
// newest; ok is false if no configuration is known.
func (m *Manager) Proof() (version uint64, age time.Duration, ok bool) {
	// The instant is read first: a newer version that comes in between makes
	// the proof older than it is, and never younger.
	proven := clock.Instant(m.proven.Load())
	table := m.table.Load()
	if table == nil || proven == 0 {
		return 0, 0, false
	}
	return table.Config.Version, m.options.Now().Sub(proven), true
}

// Relayed takes over another node's proof: at the instant, the version was the
// newest one. If this node does not have the version, it asks the node at the
// address for it.
func (m *Manager) Relayed(version uint64, proven clock.Instant, address string) {
	select {
	case m.relayed <- relayed{version, proven, address}:
	default:
		// Another proof follows within a fraction of a second.
	}
}

type relayed struct {
	version uint64
	proven  clock.Instant
	address string
}

func (b *beliefs) applyRelayed(ctx context.Context, r relayed) {
	m := b.manager
	table := m.table.Load()
	if table != nil && table.Config.Version == r.version {
		m.provenElsewhere.Store(max(m.provenElsewhere.Load(), int64(r.proven)))
		m.prove(r.proven)
		return
	}
	if table != nil && table.Config.Version > r.version || b.fetching {
		return
	}
	b.fetching = true
	go func() { m.ask(ctx, r.address) }()
}

// AskPeer takes over what the node at an address knows, for a node that starts
// while the store does not answer. It reports whether the configuration and the
// targets are known afterwards.
func (m *Manager) AskPeer(ctx context.Context, address string) bool {
	m.ask(ctx, address)
	return m.Ready()
}

func (m *Manager) ask(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	began := m.options.Now()
	passed, err := m.options.Relay.Fetch(ctx, address)
	applied := make(chan struct{})
	m.submit(func(b *beliefs) {
		defer close(applied)
		b.applyPassed(address, passed, began, err)
	})
	select {
	case <-applied:
	case <-ctx.Done():
	}
}

// applyPassed takes over what another node was asked for at an instant: a newer
// configuration and its proof, and the targets and nodes if the store has not
// told them yet.
func (b *beliefs) applyPassed(address string, p Passed, asked clock.Instant, err error) {
	m := b.manager
	b.fetching = false
	if err != nil {
		m.options.Logger.Warn().Str("event", "relay_failed").Str("address", address).Err(err).Msg("")
		return
	}
	config, err := m.options.Relay.DecodeConfig(p.Configuration)
	if err != nil {
		m.options.Logger.Warn().Str("event", "relay_unusable").Str("address", address).Err(err).Msg("")
		return
	}
	m.options.Logger.Info().Str("event", "configuration_relayed").Str("address", address).Uint64("version", config.Version).Msg("")
	if b.adopt(config) {
		// The other node answered after it was asked.
		m.prove(asked.Add(-p.Age))
	}
	if !m.listed.Load() && len(p.Nodes) > 0 {
		m.options.OnNodes(p.Nodes)
	}
	if b.listed {
		return
	}
	targets := make(map[string]*catalog.Target, len(p.Targets))
	for id, raw := range p.Targets {
		t, err := m.options.Relay.DecodeTarget(id, raw)
		if err != nil {
			m.options.Logger.Warn().Str("event", "object_unusable").Str("kind", "targets").Str("name", id).Err(err).Msg("")
			continue
		}
		targets[id] = t
	}
	b.replace(targets)
}

// Pass returns what this node knows, for another node.
func (m *Manager) Pass(ctx context.Context) Passed {
	reply := make(chan Passed, 1)
	m.submit(func(b *beliefs) { reply <- b.pass() })
	select {
	case p := <-reply:
		return p
	case <-ctx.Done():
		return Passed{}
	}
}

func (b *beliefs) pass() Passed {
	table := b.manager.table.Load()
	if table == nil {
		return Passed{}
	}
	_, age, _ := b.manager.Proof()
	p := Passed{
		Version: table.Config.Version, Configuration: table.Config.Raw, Age: age,
		Targets: make(map[string][]byte, len(b.targets)), Nodes: b.nodes,
	}
	for id, t := range b.targets {
		p.Targets[id] = t.Raw
	}
	return p
}

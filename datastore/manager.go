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

const (
	// configWait is how long a watch of the configuration waits. Its answer is
	// the proof that no key was taken away, so it has to come several times
	// within the time of a revocation.
	configWait = 1500 * time.Millisecond
	// listWait is how long the other watches wait. A connection that has gone
	// silent is noticed after it.
	listWait = 4 * time.Second
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
	// Revocation is the time after which a key that was taken away must not
	// work; 0 means that none is promised.
	Revocation time.Duration
	Logger     *log.Logger
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
	proven  atomic.Int64
	ready   atomic.Bool
	changes chan func(*beliefs)
}

// beliefs is the state that the manager's goroutine owns.
type beliefs struct {
	manager *Manager
	targets map[string]*catalog.Target
	// lapsed are targets that vanished during an outage, kept until heldUntil.
	lapsed    map[string]*catalog.Target
	heldUntil time.Time
}

// NewManager returns a manager that knows nothing yet.
func NewManager(options Options) *Manager {
	return &Manager{options: options, changes: make(chan func(*beliefs), 16)}
}

// Run follows the store until ctx ends.
func (m *Manager) Run(ctx context.Context) {
	var followers sync.WaitGroup
	config := Follower[*catalog.Config]{
		Source: m.options.Sources.Configurations, Kind: "configuration", Wait: configWait, Logger: m.options.Logger,
		Apply: func(u Update[*catalog.Config]) { m.changes <- func(b *beliefs) { b.applyConfig(u) } },
	}
	targets := Follower[*catalog.Target]{
		Source: m.options.Sources.Targets, Kind: "targets", Wait: listWait, Logger: m.options.Logger,
		Apply: func(u Update[*catalog.Target]) { m.changes <- func(b *beliefs) { b.applyTargets(u) } },
	}
	nodes := Follower[Node]{
		Source: m.options.Sources.Nodes, Kind: "nodes", Wait: listWait, Logger: m.options.Logger,
		Apply: func(u Update[Node]) {
			if u.Changed {
				m.options.OnNodes(u.Items)
			}
		},
	}
	for _, run := range []func(context.Context){config.Run, targets.Run, nodes.Run} {
		followers.Go(func() { run(ctx) })
	}
	m.own(ctx)
	// A follower may still be handing over its last update.
	go func() {
		for range m.changes {
		}
	}()
	followers.Wait()
	close(m.changes)
}

func (m *Manager) own(ctx context.Context) {
	b := &beliefs{manager: m}
	tick := time.NewTicker(returnGrace / 4)
	defer tick.Stop()
	for {
		select {
		case change := <-m.changes:
			change(b)
		case now := <-tick.C:
			b.dropLapsed(now)
		case <-ctx.Done():
			return
		}
	}
}

// Table returns the configuration in force, or nil if none is known.
func (m *Manager) Table() *catalog.Table {
	return m.table.Load()
}

// KeysProven reports whether no key can have been taken away for longer than
// a revocation may take.
func (m *Manager) KeysProven() bool {
	limit := m.options.Revocation
	return limit == 0 || m.ProofAge() <= limit
}

// ProofAge returns how long ago the configuration was known to be the newest.
func (m *Manager) ProofAge() time.Duration {
	return clock.Since(clock.Instant(m.proven.Load()))
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
	current := m.table.Load()
	if newest == nil || current != nil && newest.Version < current.Config.Version {
		return
	}
	if current == nil || newest.Version > current.Config.Version {
		m.table.Store(catalog.NewTable(newest))
		m.options.Logger.Info().Str("event", "configuration_in_force").Uint64("version", newest.Version).
			Int("routes", len(newest.Routes)).Int("teams", len(newest.Teams)).Msg("")
		b.publish()
	}
	if int64(u.Proven) > m.proven.Load() {
		m.proven.Store(int64(u.Proven))
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
	b.logChanges(u.Items)
	b.targets = u.Items
	b.manager.ready.Store(true)
	b.publish()
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
	b.manager.options.OnTargets(list, table.Config.Services)
}

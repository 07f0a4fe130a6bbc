// Package mesh tells the other nodes what this node has outstanding at each
// target and has booked against each team's limit, and learns the same of
// them. Within an availability zone every node tells every other one at once;
// between zones the owner of each zone tells the sums of its zone to one node of
// each other zone, which passes them on. What is told is a hint: a node that
// hears nothing decides alone.
package mesh

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"github.com/primrosemoor/primrosemoor/clock"
	"github.com/primrosemoor/primrosemoor/datastore"
	"github.com/primrosemoor/primrosemoor/peer"
)

const (
	// zoneInterval is the shortest time between two updates on one of a few links
	// within a zone, where bytes cost nothing.
	zoneInterval = 3 * time.Millisecond
	// fewLinks is how many links within a zone are served at zoneInterval. Each
	// further one adds linkInterval, so that the updates of a node in a large
	// zone stay near 100 a second, whatever the number of its neighbours.
	fewLinks     = 2
	linkInterval = 10 * time.Millisecond
	// regionInterval is the shortest time between two updates to another zone:
	// about the way there and back, below which an update is old on arrival.
	regionInterval = 40 * time.Millisecond
	// beatInterval is the longest time between two updates.
	beatInterval = 250 * time.Millisecond
	// silentAfter is the time without an update after which a node or zone
	// counts as silent: three beats.
	silentAfter = 750 * time.Millisecond
	// checkInterval is how often silence is looked for.
	checkInterval = 100 * time.Millisecond
)

// Listener is told what other nodes have outstanding and have booked. Its
// methods are called by one goroutine.
type Listener interface {
	// Load is the latest load of a target by a source, a node or a zone.
	Load(source, target string, use TargetUse)
	// Lost says that a source is silent; its loads no longer count.
	Lost(source string)
	// Booked says that a team booked an amount elsewhere, where the level is
	// believed to be as given; it is nil if that is not known.
	Booked(team string, amount float64, level *int64)
	// Waiting is how many requests wait at a source.
	Waiting(source string, q Queue, waiting int)
	// Silent says which part of the deployment's nodes is not heard of, and how
	// many nodes there are.
	Silent(share float64, nodes int)
}

// Prover knows how fresh the configuration is.
type Prover interface {
	// Proof returns the version in force and the age of its proof; ok is false
	// if no configuration is known.
	Proof() (version uint64, age time.Duration, ok bool)
	// Relayed takes over a peer's proof: at the instant, the version was the
	// newest. address is where the peer can be asked for its content.
	Relayed(version uint64, proven clock.Instant, address string)
}

// Options configures a Manager.
type Options struct {
	Self     datastore.Node
	Pool     *peer.Pool
	Listener Listener
	Prover   Prover
	Logger   *log.Logger
}

// Manager keeps the links to other nodes. Its methods may be called by any
// goroutine.
type Manager struct {
	options Options
	// own is this node's use, zone the sum over the nodes of its zone.
	own, zone *sums
	changed   signal

	mu sync.Mutex
	// nodes are the other nodes of this zone, zones the other zones, by name.
	nodes map[string]*source
	zones map[string]*source
	known map[string]datastore.Node
	// introduced are nodes that made themselves known before the store told of
	// them.
	introduced map[string]datastore.Node
	// listed is set once the list of nodes is known.
	listed bool
	links  map[string]*link
	// leaving is set when this node stops, able when it can own its zone.
	leaving, able bool
	// owner is the node that owns this zone, this one if it knows no other.
	owner atomic.Pointer[datastore.Node]
	share float64
	all   int
	// news is what the listener has not been told yet, in order.
	news []func(Listener)
	told chan struct{}
}

// source is a node of this zone, or another zone, that tells its use.
type source struct {
	name string
	// feed is the stream that is believed; nil if the source is silent. What a
	// silent source books is reserved for it.
	feed    *feed
	last    time.Time
	leaving bool
	// able is whether a node says that it can own its zone.
	able bool
	// passed holds what is passed on within the zone; nil for nodes.
	passed *sums
	// direct is when the source was last heard of without another node between,
	// by is the node that told then.
	direct time.Time
	by     string
}

// New returns a manager without links.
func New(options Options) *Manager {
	m := &Manager{
		options: options,
		own:     newSums(),
		zone:    newSums(),
		changed: newSignal(),
		nodes:   make(map[string]*source),
		zones:   make(map[string]*source),
		known:   make(map[string]datastore.Node),
		links:   make(map[string]*link),

		introduced: make(map[string]datastore.Node),
		share:      -1,
		told:       make(chan struct{}, 1),
	}
	m.owner.Store(&options.Self)
	return m
}

// Run keeps links until ctx ends.
func (m *Manager) Run(ctx context.Context) {
	var running sync.WaitGroup
	defer running.Wait()
	running.Go(func() { m.deliver(ctx) })
	tick := time.NewTicker(checkInterval)
	defer tick.Stop()
	for {
		select {
		case now := <-tick.C:
			m.check(now)
			m.keepLinks(ctx, &running)
		case <-ctx.Done():
			return
		}
	}
}

// tell queues news for the listener. The manager's lock must be held; the
// listener is called without it, because it may publish to the manager.
func (m *Manager) tell(news func(Listener)) {
	m.news = append(m.news, news)
	select {
	case m.told <- struct{}{}:
	default:
	}
}

// deliver calls the listener, in order, until ctx ends.
func (m *Manager) deliver(ctx context.Context) {
	for {
		select {
		case <-m.told:
		case <-ctx.Done():
			return
		}
		m.mu.Lock()
		news := m.news
		m.news = nil
		m.mu.Unlock()
		for _, n := range news {
			n(m.options.Listener)
		}
	}
}

// SetNodes takes over the list of all nodes.
func (m *Manager) SetNodes(nodes map[string]datastore.Node) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.known, m.listed = maps.Clone(nodes), true
	for name, n := range m.introduced {
		if _, ok := m.known[name]; ok {
			delete(m.introduced, name)
		} else {
			m.known[name] = n
		}
	}
	delete(m.known, m.options.Self.Name)
	for _, n := range m.known {
		if n.Zone == m.options.Self.Zone {
			m.member(m.nodes, n.Name)
		} else {
			m.member(m.zones, n.Zone).ensurePassed()
		}
	}
	for name := range m.nodes {
		if _, ok := m.known[name]; !ok {
			m.drop(m.nodes, name)
		}
	}
	m.elect()
	m.tellShare()
}

// Hears reports whether a node, or the zone that it stands in, is heard of.
func (m *Manager) Hears(n datastore.Node) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.source(n)
	return s != nil && s.feed != nil
}

// source returns what tells of a node: itself in this zone, or else its zone; nil
// if neither is known. The lock must be held.
func (m *Manager) source(n datastore.Node) *source {
	if n.Zone == m.options.Self.Zone {
		return m.nodes[n.Name]
	}
	return m.zones[n.Zone]
}

// neighbours returns the number of other nodes in this zone.
func (m *Manager) neighbours() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.nodes)
}

// member returns a source; one that is new counts as silent.
func (m *Manager) member(sources map[string]*source, name string) *source {
	s := sources[name]
	if s == nil {
		s = &source{name: name}
		sources[name] = s
	}
	return s
}

func (s *source) ensurePassed() {
	if s.passed == nil {
		s.passed = newSums()
	}
}

func (m *Manager) drop(sources map[string]*source, name string) {
	m.silence(sources[name])
	delete(sources, name)
}

// SetTarget publishes this node's use of a target.
func (m *Manager) SetTarget(id string, use TargetUse) {
	m.own.setTarget(id, use)
	m.mu.Lock()
	m.sumTarget(id)
	m.mu.Unlock()
	m.changed.raise()
}

// Book publishes that this node booked an amount for a team.
// level is what it believes to be left, nil if it does not know.
func (m *Manager) Book(team string, amount float64, level *int64) {
	m.own.addTeam(team, uint64(amount), level)
	m.zone.addTeam(team, uint64(amount), level)
	m.changed.raise()
}

// SetQueue publishes how many requests wait at this node.
func (m *Manager) SetQueue(q Queue, waiting int) {
	m.own.setQueue(q, waiting)
	m.mu.Lock()
	m.sumQueue(q)
	m.mu.Unlock()
	m.changed.raise()
}

// Leave tells the others that this node stops.
func (m *Manager) Leave() {
	m.mu.Lock()
	m.leaving = true
	m.elect()
	m.mu.Unlock()
	m.changed.raise()
}

// sumTarget sums a target's use over this zone.
func (m *Manager) sumTarget(id string) {
	m.own.mu.Lock()
	total := m.own.targets[id].value
	m.own.mu.Unlock()
	for _, s := range m.nodes {
		if s.feed == nil {
			continue
		}
		u := s.feed.targets[id]
		total.Requests += u.Requests
		total.PromptTokens += u.PromptTokens
		total.StepMicros = max(total.StepMicros, u.StepMicros)
	}
	m.zone.setTarget(id, total)
}

// sumQueue sums a queue over this zone.
func (m *Manager) sumQueue(q Queue) {
	m.own.mu.Lock()
	total := m.own.queues[q].value
	m.own.mu.Unlock()
	for _, s := range m.nodes {
		if s.feed != nil {
			total += s.feed.queues[q]
		}
	}
	m.zone.setQueue(q, total)
}

// check looks for sources that fell silent and tells what part is not heard.
func (m *Manager) check(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, sources := range []map[string]*source{m.nodes, m.zones} {
		for _, s := range sources {
			if s.feed != nil && now.Sub(s.last) > silentAfter {
				m.silence(s)
			}
		}
	}
	m.elect()
	if m.listed {
		m.tellShare()
	}
}

// silence stops counting what a source has outstanding.
func (m *Manager) silence(s *source) {
	if s.feed == nil {
		return
	}
	old := s.feed
	s.feed = nil
	m.options.Logger.Info().Str("event", "peer_lost").Str("source", s.name).Bool("leaving", s.leaving).Msg("")
	m.tell(func(l Listener) { l.Lost(s.name) })
	if s.passed != nil {
		return
	}
	for id := range old.targets {
		m.sumTarget(id)
	}
	for q := range old.queues {
		m.sumQueue(q)
	}
}

// tellShare tells the listener which part of the nodes is silent.
func (m *Manager) tellShare() {
	silent, all := 0, 1
	for _, n := range m.known {
		s := m.source(n)
		if s != nil && s.leaving {
			continue
		}
		all++
		if s == nil || s.feed == nil {
			silent++
		}
	}
	share := float64(silent) / float64(all)
	if share != m.share || all != m.all {
		m.share, m.all = share, all
		m.options.Logger.Info().Str("event", "silent_share").Float64("share", share).Int("nodes", all).Msg("")
		m.tell(func(l Listener) { l.Silent(share, all) })
	}
}

// foreign returns the nodes of another zone in the order in which they are
// tried: those that are likely to own it first.
func (m *Manager) foreign(zone string) []datastore.Node {
	var list []datastore.Node
	for _, n := range m.known {
		if n.Zone == zone {
			list = append(list, n)
		}
	}
	slices.SortFunc(list, func(a, b datastore.Node) int { return candidate{Node: a}.compare(candidate{Node: b}) })
	return list
}

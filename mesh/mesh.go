// Package mesh exchanges load reports between nodes: what each node has
// outstanding at each target, has queued, and has booked against each team's
// limit. Within a small availability zone every node reports directly to every
// other node; within a larger one, to its hubs. Between zones the owner of each
// zone reports its zone's sums to one node of each other zone, which forwards them
// within its zone. Changes of the store and proofs of the configuration travel with
// the acknowledgements. Reports are hints: a node that receives none decides alone.
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
	// zoneUpdateInterval is the minimum time between two updates on a link within
	// a zone, where traffic is free, if the node has at most baseLinks such links.
	zoneUpdateInterval = 3 * time.Millisecond
	// baseLinks is the number of links within a zone up to which
	// zoneUpdateInterval applies. Each further link adds extraLinkInterval, so that
	// a node in a large zone sends about 100 updates a second, whatever the number
	// of its peers.
	baseLinks         = 2
	extraLinkInterval = 10 * time.Millisecond
	// interZoneInterval is the minimum time between two updates to another zone.
	// It is about one round trip; updates sent more often are outdated on arrival.
	interZoneInterval = 40 * time.Millisecond
	// heartbeatInterval is the maximum time between two updates.
	heartbeatInterval = 250 * time.Millisecond
	// silenceTimeout is the time without an update after which a node or zone
	// counts as silent: three heartbeats.
	silenceTimeout = 750 * time.Millisecond
	// silenceCheckInterval is the time between two checks for silent sources.
	silenceCheckInterval = 100 * time.Millisecond
)

// Listener receives what other nodes have outstanding, queued and booked. Its
// methods are called by one goroutine.
type Listener interface {
	// TargetLoad reports the latest load that a source, which is a node or a zone,
	// puts on a target.
	TargetLoad(source, target string, use TargetUse)
	// SourceSilent reports that a source is silent; its loads no longer count.
	SourceSilent(source string)
	// Booked reports that another node booked an amount for a team. level is the
	// remaining amount as that node estimates it, or nil if unknown. over is the time
	// in which it was booked, if the node was silent for that time, or 0.
	Booked(team string, amount float64, level *int64, over time.Duration)
	// Returned reports that another node refunded an amount that it had booked for a
	// team, in the mean some time before. level is as for Booked.
	Returned(team string, amount float64, delay time.Duration, level *int64)
	// QueueLength reports how many requests are queued at a source.
	QueueLength(source string, q Queue, waiting int)
	// ShareReported reports the work of a team at a source.
	ShareReported(source string, k ShareKey, share Share)
	// SilentShare reports the fraction of the deployment's nodes that are silent,
	// and the total number of nodes.
	SilentShare(share float64, nodes int)
}

// ProofRelay reports how recently the configuration was proven to be the
// newest, and accepts such proofs from peers.
type ProofRelay interface {
	// Proof returns the configuration in force and the age of its proof; ok is false
	// if no configuration is known.
	Proof() (c datastore.ConfigState, age time.Duration, ok bool)
	// ApplyProof applies a peer's proof that its configuration was the newest at the
	// given instant. address is the peer's address, from which its content can be
	// fetched.
	ApplyProof(c datastore.ConfigState, proven clock.Instant, address string)
}

// ObjectRelay passes on what this node has read from the store, and accepts what
// another node has read.
type ObjectRelay interface {
	// Era returns the latest era of the store that this node knows, 0 if none.
	Era() uint64
	// ApplyEra applies the latest era that a peer knows.
	ApplyEra(era uint64)
	// Position returns the position of this node's items of a kind in the store.
	Position(k datastore.Kind) datastore.Position
	// Changes returns what changed after a state of the store, and how long ago it was
	// known to lead to the newest state; ok is false if this node cannot tell.
	Changes(k datastore.Kind, since datastore.Position) (d datastore.Delta, age time.Duration, ok bool)
	// ApplyChanges applies what a peer has read, which led to the newest state at the
	// given instant.
	ApplyChanges(k datastore.Kind, d datastore.Delta, proven clock.Instant)
}

// Options configures a Manager.
type Options struct {
	Self       datastore.Node
	Pool       *peer.Pool
	Listener   Listener
	ProofRelay ProofRelay
	// ObjectRelay is nil if objects are not passed on.
	ObjectRelay ObjectRelay
	// CrashRelay is nil if no evidence on crashes is exchanged.
	CrashRelay CrashRelay
	// StreamRelay is nil if nodes do not tell each other where streams began.
	StreamRelay StreamRelay
	// RolloutRelay is nil if rollouts are not followed.
	RolloutRelay RolloutRelay
	Logger       *log.Logger
}

// Manager maintains the links to other nodes. Its methods may be called by any
// goroutine.
type Manager struct {
	options Options
	// nodeSums is this node's use, zoneSums the sum over the nodes of its zone.
	nodeSums, zoneSums *sums
	changed            signal

	mu sync.Mutex
	// nodes are the other nodes of this zone and zones the other zones, by name.
	nodes map[string]*source
	zones map[string]*source
	// hubs are the hubs of this zone, and the nodes that would be if they had not
	// failed; empty in a small zone. member is set if this node reports to them.
	hubs   []string
	member bool
	// rest holds what the other nodes of this zone use, as the zone's owner reports
	// it to a member.
	rest *source
	// peers are the other nodes of all zones by name, from the store or announced.
	peers map[string]datastore.Node
	// announced are nodes that announced themselves over a link before the store
	// listed them.
	announced map[string]datastore.Node
	// listed is set once the list of nodes is known.
	listed bool
	links  map[string]*link
	// leaving is set when this node stops. ready is set while it has the
	// configuration and the targets that the owner of a zone needs.
	leaving, ready bool
	// owner is the node that owns this zone; it is this node if no better one is
	// known.
	owner atomic.Pointer[datastore.Node]
	// started is when this node started, and ownedUntil when it last ceased to own its
	// zone.
	started, ownedUntil time.Time
	// informed are the totals of this zone that each other zone was last told by this
	// node, and informedByOwner by the owner of this zone, the process informant.
	// succeeded are the latter as of when this node succeeded a process that had ended or
	// fallen silent.
	informed                   map[string]totals
	informedByOwner, succeeded totals
	informant                  peer.Identity

	silentShare float64
	nodeCount   int
	// pending are the notifications that the listener has not received yet, in
	// order; wake signals that there are some.
	pending []func(Listener)
	wake    chan struct{}
}

// source is a node of this zone, or another zone, that reports its use.
type source struct {
	name string
	// active is the feed whose reports count, nil if the source is silent. last is the
	// one that counted last.
	active, last *feed
	// applied is how many reports have counted.
	applied    uint64
	lastUpdate time.Time
	leaving    bool
	// process is the process of a node of this zone that was last heard.
	process peer.Identity
	// ready and started are whether a node reports that it can own its zone, and that it
	// has had time to hear of a better owner.
	ready, started bool
	// forwarded holds another zone's sums, which this node forwards within its own
	// zone; nil if the source is a node.
	forwarded *sums
	// before are the totals of forwarded when the active feed took over from another one.
	before totals
	// lastDirect is when a node of the source's zone, if that is another zone, last
	// reported the zone's sums to this node directly; directPeer is that node.
	lastDirect time.Time
	directPeer string
	// contributed is what a node of this zone has added to the zone's bookings.
	contributed map[string]teamCounts
	// silentNodes is how many nodes of a zone its reporting node does not hear of.
	silentNodes int
}

// New returns a manager without links.
func New(options Options) *Manager {
	m := &Manager{
		options:  options,
		started:  time.Now(),
		nodeSums: newSums(),
		zoneSums: newSums(),
		changed:  newSignal(),
		nodes:    make(map[string]*source),
		zones:    make(map[string]*source),
		peers:    make(map[string]datastore.Node),
		links:    make(map[string]*link),

		informed:    make(map[string]totals),
		announced:   make(map[string]datastore.Node),
		rest:        &source{name: options.Self.Zone},
		silentShare: -1,
		wake:        make(chan struct{}, 1),
	}
	m.owner.Store(&options.Self)
	return m
}

// Run maintains the links and notifies the listener until ctx ends.
func (m *Manager) Run(ctx context.Context) {
	var running sync.WaitGroup
	defer running.Wait()
	running.Go(func() { m.deliver(ctx) })
	tick := time.NewTicker(silenceCheckInterval)
	defer tick.Stop()
	for {
		select {
		case now := <-tick.C:
			m.checkSilence(now)
			m.reconcileLinks(ctx, &running)
		case <-ctx.Done():
			return
		}
	}
}

// notify queues a notification for the listener. The manager's lock must be held;
// the listener is called without it, because it may call the manager.
func (m *Manager) notify(notification func(Listener)) {
	m.pending = append(m.pending, notification)
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// deliver passes the pending notifications to the listener, in order, until ctx
// ends.
func (m *Manager) deliver(ctx context.Context) {
	for {
		select {
		case <-m.wake:
		case <-ctx.Done():
			return
		}
		m.mu.Lock()
		pending := m.pending
		m.pending = nil
		m.mu.Unlock()
		for _, n := range pending {
			n(m.options.Listener)
		}
	}
}

// SetNodes replaces the list of all nodes. Nodes that announced themselves and are
// not in the list yet are kept.
func (m *Manager) SetNodes(nodes map[string]datastore.Node) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.peers, m.listed = maps.Clone(nodes), true
	for name, n := range m.announced {
		if _, ok := m.peers[name]; ok {
			delete(m.announced, name)
		} else {
			m.peers[name] = n
		}
	}
	delete(m.peers, m.options.Self.Name)
	for _, n := range m.peers {
		if n.Zone == m.options.Self.Zone {
			m.getOrAddSource(m.nodes, n.Name)
		} else {
			m.getOrAddSource(m.zones, n.Zone).ensureForwarded()
		}
	}
	for name := range m.nodes {
		if _, ok := m.peers[name]; !ok {
			m.removeSource(m.nodes, name)
		}
	}
	m.elect()
	m.notifySilentShare()
}

// IsReporting reports whether a node, or its zone if that is another one, is
// sending updates.
func (m *Manager) IsReporting(n datastore.Node) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.source(n)
	return s != nil && s.active != nil
}

// source returns the source that covers a node: the node itself if it is in this
// zone, or the rest of the zone if this node is a member of it; else the node's zone.
// It returns nil if there is none. The lock must be held.
func (m *Manager) source(n datastore.Node) *source {
	switch {
	case n.Zone != m.options.Self.Zone:
		return m.zones[n.Zone]
	case m.member && !slices.Contains(m.hubs, n.Name):
		return m.rest
	default:
		return m.nodes[n.Name]
	}
}

// zoneNodes returns the number of other nodes in this zone.
func (m *Manager) zoneNodes() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.nodes)
}

// Links returns the number of links to other nodes that this node keeps open.
func (m *Manager) Links() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.links)
}

// getOrAddSource returns a source, adding it if it is new; a new source counts as
// silent.
func (m *Manager) getOrAddSource(sources map[string]*source, name string) *source {
	s := sources[name]
	if s == nil {
		s = &source{name: name}
		sources[name] = s
	}
	return s
}

func (s *source) ensureForwarded() {
	if s.forwarded == nil {
		s.forwarded = newSums()
	}
}

func (m *Manager) removeSource(sources map[string]*source, name string) {
	m.markSilent(sources[name])
	delete(sources, name)
}

// Leave announces to the other nodes that this node is stopping.
func (m *Manager) Leave() {
	m.mu.Lock()
	m.leaving = true
	m.elect()
	m.mu.Unlock()
	m.changed.broadcast()
}

// candidatesInZone returns the nodes of another zone in the order in which links
// to them are tried: the likely owners first.
func (m *Manager) candidatesInZone(zone string) []datastore.Node {
	var list []datastore.Node
	for _, n := range m.peers {
		if n.Zone == zone {
			list = append(list, n)
		}
	}
	slices.SortFunc(list, func(a, b datastore.Node) int { return candidate{Node: a}.compare(candidate{Node: b}) })
	return list
}

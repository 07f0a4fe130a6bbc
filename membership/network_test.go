package membership_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/primrosemoor/primrosemoor/membership"
	"github.com/primrosemoor/primrosemoor/objects"
	"github.com/primrosemoor/primrosemoor/peer"
	"github.com/primrosemoor/primrosemoor/schema"
)

const (
	heartbeatInterval = 300 * time.Millisecond
	suspectAfter      = time.Second
	reportInterval    = 500 * time.Millisecond
	isolatedAfter     = 5 * time.Second
	// settleTime is longer than any view needs to become stable.
	settleTime = 20 * time.Second
)

var errCut = errors.New("link is cut")

// network delivers heartbeats between the nodes of a test and provides their
// object API.
type network struct {
	t     *testing.T
	store *objects.Memory
	seeds []string

	mu    sync.Mutex
	nodes map[string]*node
	// cut reports whether the link between two nodes, or between a node and the
	// object API (to is nil), is down.
	cut   func(from, to *node) bool
	bytes int
}

type node struct {
	*membership.Manager
	name string
	zone string
	stop context.CancelFunc
	// changes counts the calls of the subscriber.
	changes int
}

func newNetwork(t *testing.T) *network {
	return &network{t: t, store: objects.NewMemory(), nodes: make(map[string]*node)}
}

// join starts a node and returns it.
func (n *network) join(name, zone string) *node {
	joined := &node{name: name, zone: zone}
	joined.Manager = membership.New(membership.Options{
		Self: &schema.Member{
			Node: name, AvailabilityZone: zone, PeerAddress: name,
			State: schema.MemberState_MEMBER_STATE_ACTIVE, ConfigRevision: 1,
		},
		Store: nodeStore{n.store, n, joined},
		Peers: nodePeers{n, joined},
		Seeds: n.seeds,
		Settings: &schema.MembershipSettings{
			HeartbeatInterval: durationpb.New(heartbeatInterval),
			SuspectAfter:      durationpb.New(suspectAfter),
			ReportInterval:    durationpb.New(reportInterval),
			IsolatedAfter:     durationpb.New(isolatedAfter),
		},
	})
	joined.Subscribe(func([]*schema.Member) { joined.changes++ })
	ctx, cancel := context.WithCancel(n.t.Context())
	joined.stop = func() {
		n.mu.Lock()
		delete(n.nodes, name)
		n.mu.Unlock()
		cancel()
	}
	n.mu.Lock()
	n.nodes[name] = joined
	n.mu.Unlock()
	go func() { _ = joined.Run(ctx) }()
	return joined
}

// joinAll starts count nodes in each zone and waits until the views settle.
func (n *network) joinAll(count int, zones ...string) []*node {
	var nodes []*node
	for i := range count {
		for _, zone := range zones {
			nodes = append(nodes, n.join(fmt.Sprintf("%s%02d", zone, i), zone))
		}
	}
	time.Sleep(settleTime)
	return nodes
}

func (n *network) setCut(cut func(from, to *node) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = cut
}

func (n *network) isCut(from, to *node) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut != nil && n.cut(from, to)
}

func (n *network) find(address string) *node {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.nodes[address]
}

// nodePeers implements membership.Peers for one node.
type nodePeers struct {
	network *network
	from    *node
}

func (p nodePeers) Heartbeat(ctx context.Context, address string, h *schema.Heartbeat) (*schema.HeartbeatReply, error) {
	to := p.network.find(address)
	if to == nil {
		return nil, errCut
	}
	if p.network.isCut(p.from, to) {
		<-ctx.Done()
		return nil, errCut
	}
	reply, err := to.HandleHeartbeat(ctx, peer.Identity{Node: p.from.name, AvailabilityZone: p.from.zone}, proto.CloneOf(h))
	if err != nil {
		return nil, err
	}
	p.network.mu.Lock()
	p.network.bytes += proto.Size(h) + proto.Size(reply)
	p.network.mu.Unlock()
	return proto.CloneOf(reply), nil
}

// nodeStore is the object API as seen by one node; its calls fail while the
// node's link to it is down.
type nodeStore struct {
	objects.Store
	network *network
	from    *node
}

func (s nodeStore) List(ctx context.Context, prefix string) ([]objects.Object, error) {
	if s.network.isCut(s.from, nil) {
		return nil, errCut
	}
	return s.Store.List(ctx, prefix)
}

func (s nodeStore) Get(ctx context.Context, key string) (objects.Object, error) {
	if s.network.isCut(s.from, nil) {
		return objects.Object{}, errCut
	}
	return s.Store.Get(ctx, key)
}

func (s nodeStore) Put(ctx context.Context, key string, value []byte, expect objects.Version) (objects.Version, error) {
	if s.network.isCut(s.from, nil) {
		return 0, errCut
	}
	return s.Store.Put(ctx, key, value, expect)
}

// names returns the names of the members in the node's view.
func (n *node) names() []string {
	var names []string
	for _, m := range n.Members() {
		names = append(names, m.GetNode())
	}
	return names
}

// waitFor waits until every node satisfies ok and returns how long that took. It
// fails the test after limit.
func waitFor(t *testing.T, nodes []*node, limit time.Duration, ok func(*node) bool) time.Duration {
	t.Helper()
	begin := time.Now()
	for time.Since(begin) <= limit {
		if !slices.ContainsFunc(nodes, func(n *node) bool { return !ok(n) }) {
			return time.Since(begin)
		}
		time.Sleep(10 * time.Millisecond)
	}
	for _, n := range nodes {
		t.Logf("%s sees %v, reporter %s", n.name, n.names(), n.Reporter())
	}
	t.Fatalf("views differ after %s", limit)
	return 0
}

// bytesSentDuring waits for d and returns the size of the heartbeats and replies
// sent meanwhile.
func (n *network) bytesSentDuring(d time.Duration) int {
	n.mu.Lock()
	before := n.bytes
	n.mu.Unlock()
	time.Sleep(d)
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.bytes - before
}

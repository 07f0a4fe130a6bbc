package owner_test

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/primrosemoor/primrosemoor/balance"
	"github.com/primrosemoor/primrosemoor/catalog"
	"github.com/primrosemoor/primrosemoor/datastore"
	"github.com/primrosemoor/primrosemoor/loadreport"
	"github.com/primrosemoor/primrosemoor/logging"
	"github.com/primrosemoor/primrosemoor/owner"
	"github.com/primrosemoor/primrosemoor/peer"
	"github.com/primrosemoor/primrosemoor/schema"
)

// eventuallyTimeout bounds the wait for conditions that normally hold within
// fractions of a second.
const eventuallyTimeout = 10 * time.Second

func newWork(id string) *balance.Work {
	now := time.Now()
	return &balance.Work{
		ID: id, Service: "s", Tier: 1, Rank: 2, Arrived: now,
		Goal: now.Add(time.Second), Patience: now.Add(4 * time.Second), End: now.Add(8 * time.Second),
	}
}

// cluster is a set of nodes of one zone, connected over loopback.
type cluster struct {
	t     *testing.T
	nodes map[string]*node
}

type node struct {
	self     datastore.Node
	balancer *fakeBalancer
	manager  *owner.Manager
	targets  sync.Map
	owner    atomic.Pointer[datastore.Node]
	stop     func()
}

// Owner implements owner.Members.
func (n *node) Owner() datastore.Node { return *n.owner.Load() }

// IsReporting implements owner.Members.
func (n *node) IsReporting(datastore.Node) bool { return true }

// Target implements owner.Targets.
func (n *node) Target(id string) *catalog.Target {
	t, ok := n.targets.Load(id)
	if !ok {
		return nil
	}
	return t.(*catalog.Target)
}

func newCluster(t *testing.T, names ...string) *cluster {
	t.Helper()
	c := &cluster{t: t, nodes: make(map[string]*node)}
	for _, name := range names {
		c.nodes[name] = c.start(name)
	}
	return c
}

func (c *cluster) start(name string) *node {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		c.t.Fatal(err)
	}
	n := &node{
		self:     datastore.Node{Name: name, Zone: "a", Address: l.Addr().String()},
		balancer: newFakeBalancer(name + "-target"),
	}
	n.owner.Store(&n.self)
	id := peer.Identity{Cluster: "test", Node: name, AvailabilityZone: "a", Incarnation: 1}
	pool := peer.NewPool(peer.PoolOptions{Identity: id, Meter: peer.NopMeter{}, DialTimeout: time.Second, CallTimeout: time.Second})
	server := peer.NewServer(id, peer.NopMeter{}, nil)
	n.manager = owner.NewManager(owner.Options{
		Self: name, Balancer: n.balancer, Members: n, Targets: n, Pool: pool, Logger: logging.Discard(),
	})
	server.HandleStream(schema.Method_METHOD_OWNER, n.manager.Serve)
	var running sync.WaitGroup
	ctx, cancel := context.WithCancel(context.Background())
	running.Go(func() { server.Serve(l) })
	running.Go(func() { n.manager.Run(ctx) })
	var once sync.Once
	n.stop = func() {
		once.Do(func() {
			cancel()
			pool.Close()
			server.Close()
			running.Wait()
		})
	}
	c.t.Cleanup(n.stop)
	return n
}

// setOwner makes a node the owner of the zone in the view of all nodes.
func (c *cluster) setOwner(name string) {
	for _, n := range c.nodes {
		n.owner.Store(&c.nodes[name].self)
	}
}

// setSilentOwner gives a node an owner that accepts streams and never replies.
func (c *cluster) setSilentOwner(name string) {
	c.t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		c.t.Fatal(err)
	}
	id := peer.Identity{Cluster: "test", Node: "silent", AvailabilityZone: "a", Incarnation: 1}
	server := peer.NewServer(id, peer.NopMeter{}, nil)
	server.HandleStream(schema.Method_METHOD_OWNER, func(_ context.Context, _ peer.Identity, s *peer.Stream) error {
		call := &schema.OwnerCall{}
		for {
			if err := s.Receive(call); err != nil {
				return err
			}
		}
	})
	go server.Serve(l)
	c.t.Cleanup(server.Close)
	c.nodes[name].owner.Store(&datastore.Node{Name: "silent", Zone: "a", Address: l.Addr().String()})
}

// waitUntilLinked waits until a node has a link to its owner.
func (c *cluster) waitUntilLinked(name string) {
	c.t.Helper()
	c.eventually(c.nodes[name].manager.Linked)
}

func (c *cluster) eventually(condition func() bool) {
	c.t.Helper()
	for deadline := time.Now().Add(eventuallyTimeout); !condition(); {
		if time.Now().After(deadline) {
			c.t.Fatal("condition not met before the timeout")
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// nextRemoteSignal returns the next signal of another node that reaches a node.
func (c *cluster) nextRemoteSignal(name string) remoteSignal {
	c.t.Helper()
	select {
	case s := <-c.nodes[name].balancer.remoteSignals:
		return s
	case <-time.After(eventuallyTimeout):
		c.t.Fatalf("%s got no signal", name)
		return remoteSignal{}
	}
}

// fakeBalancer always grants the same target. It refuses all requests if refusal
// is set, and lets them wait until they are cancelled if full is set.
type fakeBalancer struct {
	acquires  chan *balance.Work
	adopted   chan string
	reports   chan report
	withdrawn atomic.Int32
	// remoteSignals holds what targets asked of other nodes.
	remoteSignals chan remoteSignal
	// forgiven are the nodes whose failures were dropped.
	forgiven chan string
	// loads holds the loads that targets reported.
	loads chan reportedTarget

	mu      sync.Mutex
	target  string
	started int64
	refusal *balance.Refusal
	full    bool
	// unwanted targets have asked to get no request, signals are what they asked for.
	unwanted map[string]bool
	signals  []balance.Signal
}

// report records one call of a balance.Reporter method.
type report struct {
	method string
	result balance.Result
	sample balance.Sample
}

func newFakeBalancer(target string) *fakeBalancer {
	return &fakeBalancer{
		acquires: make(chan *balance.Work, 16), adopted: make(chan string, 16), reports: make(chan report, 16), target: target,
		remoteSignals: make(chan remoteSignal, 16), forgiven: make(chan string, 16),
		loads: make(chan reportedTarget, 16),
	}
}

func (b *fakeBalancer) configure(change func(*fakeBalancer)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	change(b)
}

// Acquire implements owner.Balancer.
func (b *fakeBalancer) Acquire(ctx context.Context, w *balance.Work) (*balance.Grant, error) {
	b.acquires <- w
	b.mu.Lock()
	target, started, refusal, full := b.target, b.started, b.refusal, b.full
	b.mu.Unlock()
	switch {
	case refusal != nil:
		return nil, refusal
	case full:
		<-ctx.Done()
		b.withdrawn.Add(1)
		return nil, context.Cause(ctx)
	}
	for _, tried := range w.Tried {
		if tried == target {
			return nil, &balance.Refusal{Reason: balance.ReasonNoTarget}
		}
	}
	return balance.NewGrant(&catalog.Target{ID: target, Started: started}, balance.Prediction{}, b), nil
}

// Adopt implements owner.Balancer.
func (b *fakeBalancer) Adopt(_ *balance.Work, target string, _ bool) balance.Reporter {
	b.adopted <- target
	return b
}

// ForgiveFailures implements owner.Balancer.
func (b *fakeBalancer) ForgiveFailures(node, service string) { b.forgiven <- node + " " + service }

// reportedTarget is the load that a target reported.
type reportedTarget struct {
	target string
	load   loadreport.Load
}

// RecordLoad implements owner.Balancer.
func (b *fakeBalancer) RecordLoad(target string, l loadreport.Load) {
	b.loads <- reportedTarget{target, l}
}

// remoteSignal is what a target asked of another node.
type remoteSignal struct {
	node   string
	signal balance.Signal
}

// RecordSignal implements owner.Balancer.
func (b *fakeBalancer) RecordSignal(s balance.Signal) bool {
	b.configure(func(b *fakeBalancer) { b.signals = append(b.signals, s) })
	return true
}

// RecordRemoteSignal implements owner.Balancer.
func (b *fakeBalancer) RecordRemoteSignal(node string, s balance.Signal) {
	b.remoteSignals <- remoteSignal{node, s}
}

// Signals implements owner.Balancer.
func (b *fakeBalancer) Signals() []balance.Signal {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.signals
}

// MaySend implements owner.Balancer.
func (b *fakeBalancer) MaySend(t *catalog.Target, _ time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.unwanted[t.ID]
}

// Leaves implements owner.Balancer.
func (b *fakeBalancer) Leaves(t *catalog.Target) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.unwanted[t.ID]
}

// FirstEvent implements balance.Reporter.
func (b *fakeBalancer) FirstEvent(time.Duration) { b.reports <- report{method: "first"} }

// SpeedSampled implements balance.Reporter.
func (b *fakeBalancer) SpeedSampled(s balance.Sample) {
	b.reports <- report{method: "paced", sample: s}
}

// Ended implements balance.Reporter.
func (b *fakeBalancer) Ended(r balance.Result, s balance.Sample) {
	b.reports <- report{"ended", r, s}
}

package mesh_test

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/primrosemoor/primrosemoor/clock"
	"github.com/primrosemoor/primrosemoor/culprit"
	"github.com/primrosemoor/primrosemoor/datastore"
	"github.com/primrosemoor/primrosemoor/logging"
	"github.com/primrosemoor/primrosemoor/mesh"
	"github.com/primrosemoor/primrosemoor/peer"
	"github.com/primrosemoor/primrosemoor/resume"
	"github.com/primrosemoor/primrosemoor/rollout"
	"github.com/primrosemoor/primrosemoor/schema"
)

// waitLimit bounds waits for conditions that normally hold within a second.
const waitLimit = 10 * time.Second

// node is one manager with its links over loopback. It records what its listener
// receives.
type node struct {
	self    datastore.Node
	manager *mesh.Manager
	server  *peer.Server
	pool    *peer.Pool
	stop    func()

	mu      sync.Mutex
	loads   map[string]map[string]mesh.TargetUse
	booked  map[string]float64
	waiting map[string]map[mesh.Queue]int
	shares  map[string]map[mesh.ShareKey]mesh.Share
	silent  float64
	proof   clock.Instant
	// version and age are the proof that this node sends to others.
	version uint64
	age     time.Duration
	// read is the revision that this node has read, or was told of, and era its era.
	read, era uint64
	// proofEra and storeEra are the eras of a peer's proof and of the store that it knows.
	proofEra, storeEra uint64
	// content is an object that this node has read.
	content  []byte
	culprits *culprit.Manager
	streams  *resume.Registry
	rollouts *rollout.Manager
}

func (n *node) Era() uint64 { return locked(n, func() uint64 { return max(n.era, n.storeEra) }) }

func (n *node) ApplyEra(era uint64) {
	locked(n, func() uint64 { n.storeEra = max(n.storeEra, era); return n.storeEra })
}

func (n *node) Position(datastore.Kind) datastore.Position {
	return locked(n, func() datastore.Position { return datastore.Position{Era: n.era, Revision: max(n.read, 1)} })
}

func (n *node) Changes(_ datastore.Kind, since datastore.Position) (datastore.Delta, time.Duration, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	at := datastore.Position{Era: n.era, Revision: n.read}
	d := datastore.Delta{From: since, Position: at, Complete: since.Compare(at) < 0}
	if n.content != nil {
		d.Objects = []datastore.Object{{Name: "object", Content: n.content}}
	}
	return d, n.age, n.read > 0
}

func (n *node) ApplyChanges(_ datastore.Kind, d datastore.Delta, _ clock.Instant) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if d.Position.Compare(datastore.Position{Era: n.era, Revision: n.read}) > 0 {
		n.era, n.read = d.Position.Era, d.Position.Revision
	}
}

func (n *node) TargetLoad(source, target string, use mesh.TargetUse) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.loads[source] == nil {
		n.loads[source] = make(map[string]mesh.TargetUse)
	}
	n.loads[source][target] = use
}

func (n *node) SourceSilent(source string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.loads, source)
	delete(n.waiting, source)
	delete(n.shares, source)
}

func (n *node) Returned(string, float64, time.Duration, *int64) {}

func (n *node) Booked(team string, amount float64, _ *int64, _ time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.booked[team] += amount
}

func (n *node) ShareReported(source string, k mesh.ShareKey, share mesh.Share) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.shares[source] == nil {
		n.shares[source] = make(map[mesh.ShareKey]mesh.Share)
	}
	n.shares[source][k] = share
}

func (n *node) QueueLength(source string, q mesh.Queue, waiting int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.waiting[source] == nil {
		n.waiting[source] = make(map[mesh.Queue]int)
	}
	n.waiting[source][q] = waiting
}

func (n *node) SilentShare(share float64, _ int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.silent = share
}

func (n *node) Proof() (datastore.ConfigState, time.Duration, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return datastore.ConfigState{Version: n.version, Era: n.era}, n.age, n.version > 0
}

func (n *node) ApplyProof(c datastore.ConfigState, proven clock.Instant, _ string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if c.Version == 7 {
		n.proof, n.proofEra = proven, c.Era
	}
}

// locked reads the node's state under its lock.
func locked[T any](n *node, f func() T) T {
	n.mu.Lock()
	defer n.mu.Unlock()
	return f()
}

func (n *node) requests(source, target string) int {
	return locked(n, func() int { return n.loads[source][target].Requests })
}

func startNode(t *testing.T, name, zone string) *node {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	n := &node{
		self:  datastore.Node{Name: name, Zone: zone, Address: l.Addr().String()},
		loads: make(map[string]map[string]mesh.TargetUse), booked: make(map[string]float64),
		waiting: make(map[string]map[mesh.Queue]int), shares: make(map[string]map[mesh.ShareKey]mesh.Share), silent: -1,
	}
	id := peer.Identity{Cluster: "test", Node: name, AvailabilityZone: zone, Incarnation: uint64(time.Now().UnixNano())}
	n.pool = peer.NewPool(peer.PoolOptions{Identity: id, Meter: peer.NopMeter{}, DialTimeout: time.Second, CallTimeout: time.Second})
	n.server = peer.NewServer(id, peer.NopMeter{}, nil)
	n.culprits = culprit.New(func() { n.manager.CrashesChanged() }, logging.Discard())
	n.streams = resume.NewRegistry(func() { n.manager.StreamsChanged() })
	n.rollouts = rollout.New(rollout.Options{
		Zone: zone, Process: mesh.ProcessName(id), Bound: 0.1, Logger: logging.Discard(), Now: clock.Now, OnChanged: func() { n.manager.RolloutsChanged() },
	})
	n.manager = mesh.New(mesh.Options{
		Self: n.self, Pool: n.pool, Listener: n, ProofRelay: n, ObjectRelay: n, CrashRelay: n.culprits, StreamRelay: n.streams, RolloutRelay: n.rollouts,
		Logger: logging.Discard(),
	})
	n.server.HandleStream(schema.Method_METHOD_MESH, n.manager.Serve)
	go n.server.Serve(l)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		n.manager.Run(ctx)
		close(done)
	}()
	var once sync.Once
	n.stop = func() {
		once.Do(func() {
			cancel()
			n.server.Close()
			n.pool.Close()
			<-done
		})
	}
	t.Cleanup(n.stop)
	return n
}

// setNodes sets the list of all nodes at each node, as the store would.
func setNodes(nodes ...*node) {
	list := make(map[string]datastore.Node)
	for _, n := range nodes {
		list[n.self.Name] = n.self
	}
	for _, n := range nodes {
		n.manager.SetNodes(list)
	}
}

func waitUntil(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for limit := time.Now().Add(waitLimit); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(limit) {
			t.Fatalf("not within %v: %s", waitLimit, what)
		}
	}
}

func waitForAll(t *testing.T, nodes ...*node) {
	t.Helper()
	for _, n := range nodes {
		waitUntil(t, n.self.Name+" receives reports of all nodes", func() bool { return locked(n, func() float64 { return n.silent }) == 0 })
	}
}

func TestLoadsAreReportedWithinAndBetweenZones(t *testing.T) {
	is := is.New(t)
	a1, a2 := startNode(t, "a1", "a"), startNode(t, "a2", "a")
	b1, b2 := startNode(t, "b1", "b"), startNode(t, "b2", "b")
	setNodes(a1, a2, b1, b2)
	waitForAll(t, a1, a2, b1, b2)
	a1.manager.SetTarget("i-1", mesh.TargetUse{Requests: 3, PromptTokens: 700, StepMicros: 2100})
	a2.manager.SetTarget("i-1", mesh.TargetUse{Requests: 2})
	a2.manager.SetQueue(mesh.Queue{Service: "s", Tier: 1}, 4)
	waitUntil(t, "a2 receives the load of a1", func() bool { return a2.requests("a1", "i-1") == 3 })
	waitUntil(t, "b2 receives the sum of zone a", func() bool { return b2.requests("a", "i-1") == 5 })
	waitUntil(t, "b1 receives the queue length of zone a", func() bool {
		return locked(b1, func() int { return b1.waiting["a"][mesh.Queue{Service: "s", Tier: 1}] }) == 4
	})
	is.Equal(locked(b2, func() int { return b2.loads["a"]["i-1"].StepMicros }), 2100)
	a1.manager.SetTarget("i-1", mesh.TargetUse{})
	waitUntil(t, "b2 receives the end of the requests of a1", func() bool { return b2.requests("a", "i-1") == 2 })
}

// The work of a team counts over all zones: a team could otherwise take a share in each.
func TestSharesAreSummedByZone(t *testing.T) {
	a1, a2, b1 := startNode(t, "a1", "a"), startNode(t, "a2", "a"), startNode(t, "b1", "b")
	setNodes(a1, a2, b1)
	waitForAll(t, a1, a2, b1)
	large, small := mesh.ShareKey{Service: "s", Team: "large", Tier: 1}, mesh.ShareKey{Service: "s", Team: "small", Tier: 1}
	share := func(n *node, source string, k mesh.ShareKey) mesh.Share {
		return locked(n, func() mesh.Share { return n.shares[source][k] })
	}
	a1.manager.SetShare(large, mesh.Share{GrantedMillis: 3000, WaitingMillis: 500})
	a2.manager.SetShare(large, mesh.Share{GrantedMillis: 1000})
	a2.manager.SetShare(small, mesh.Share{WaitingMillis: 20})
	waitUntil(t, "a1 receives the work at a2", func() bool { return share(a1, "a2", large) == mesh.Share{GrantedMillis: 1000} })
	waitUntil(t, "b1 receives the sums of zone a", func() bool {
		return share(b1, "a", large) == mesh.Share{GrantedMillis: 4000, WaitingMillis: 500} && share(b1, "a", small) == mesh.Share{WaitingMillis: 20}
	})
	a2.stop()
	waitUntil(t, "b1 receives the sum without a2", func() bool { return share(b1, "a", large) == mesh.Share{GrantedMillis: 3000, WaitingMillis: 500} })
}

func TestSilentNodeIsLostAndItsSuccessorReports(t *testing.T) {
	is := is.New(t)
	a1, a2, b1 := startNode(t, "a1", "a"), startNode(t, "a2", "a"), startNode(t, "b1", "b")
	setNodes(a1, a2, b1)
	waitForAll(t, a1, a2, b1)
	a1.manager.SetTarget("i-1", mesh.TargetUse{Requests: 3})
	a2.manager.SetTarget("i-1", mesh.TargetUse{Requests: 1})
	waitUntil(t, "b1 receives the sum of zone a", func() bool { return b1.requests("a", "i-1") == 4 })
	a1.stop()
	waitUntil(t, "b1 receives the load of a2 only", func() bool { return b1.requests("a", "i-1") == 1 })
	waitUntil(t, "a2 counts a1 as silent", func() bool { return locked(a2, func() float64 { return a2.silent }) > 0.3 })
	is.Equal(a2.requests("a1", "i-1"), 0)
}

// While nodes join and become owners of their zones, each booking is counted at
// most once at every other node. Guards against counting a counter's history again
// when a new stream reports it.
func TestBookingsAreCountedOnce(t *testing.T) {
	a2, b1 := startNode(t, "a2", "a"), startNode(t, "b1", "b")
	setNodes(a2, b1)
	waitForAll(t, a2, b1)
	book := func(n *node, times int) {
		for range times {
			n.manager.Book("t", 10, nil)
			time.Sleep(time.Millisecond)
		}
	}
	book(a2, 50)
	waitUntil(t, "b1 receives the bookings", func() bool { return locked(b1, func() float64 { return b1.booked["t"] }) == 500 })
	// a1 becomes the owner of its zone, b0 that of the other one.
	a1, b0 := startNode(t, "a1", "a"), startNode(t, "b0", "b")
	setNodes(a1, a2, b0, b1)
	for range 10 {
		book(a2, 5)
		book(a1, 5)
		book(b0, 5)
	}
	waitForAll(t, a1, a2, b0, b1)
	book(a2, 20)
	total := map[*node]float64{a1: 500, a2: 500 + 500 + 200, b0: 500, b1: 0}
	checkNoneTwice := func() {
		t.Helper()
		for n := range total {
			others := 0.0
			for m, amount := range total {
				if m != n {
					others += amount
				}
			}
			if got := n.bookedBy("t"); got > others {
				t.Errorf("%s counts %.0f, the others booked %.0f", n.self.Name, got, others)
			}
		}
	}
	time.Sleep(time.Second) // Long enough to send all updates and several heartbeats.
	checkNoneTwice()
	// Once the new owners alone report for their zones, no booking is lost either.
	waitUntil(t, "only a1 and b0 report for their zones", onlyReporters(map[string]string{"a": "a1", "b": "b0"}, a1, a2, b0, b1))
	waitUntil(t, "b1 counts the next booking", countsNext(a2, b1, "first"))
	waitUntil(t, "b1 has all earlier bookings", countsNext(a2, b1, "second"))
	before := b1.bookedBy("t")
	book(a2, 10)
	waitUntil(t, "b1 receives the later bookings", func() bool { return b1.bookedBy("t") == before+100 })
	total[a2] += 100
	checkNoneTwice()
}

// onlyReporters returns a condition that the owners of the zones alone report for them.
func onlyReporters(owners map[string]string, nodes ...*node) func() bool {
	var managers []*mesh.Manager
	for _, n := range nodes {
		managers = append(managers, n.manager)
	}
	return func() bool { return mesh.OnlyReport(owners, managers...) }
}

// countsNext returns a condition that books for a team until another node counts it.
func countsNext(from, to *node, team string) func() bool {
	return func() bool {
		from.manager.Book(team, 1, nil)
		return to.bookedBy(team) > 0
	}
}

func TestNewNodeAnnouncesItself(t *testing.T) {
	a1 := startNode(t, "a1", "a")
	setNodes(a1)
	a2 := startNode(t, "a2", "a")
	a2.manager.SetNodes(map[string]datastore.Node{"a1": a1.self})
	a2.manager.SetTarget("i-1", mesh.TargetUse{Requests: 2})
	a1.manager.SetTarget("i-1", mesh.TargetUse{Requests: 1})
	waitUntil(t, "a1 receives the load of a2", func() bool { return a1.requests("a2", "i-1") == 2 })
	waitUntil(t, "a2 receives the load of a1", func() bool { return a2.requests("a1", "i-1") == 1 })
}

func TestProofsAreRelayedWithTheirAge(t *testing.T) {
	is := is.New(t)
	a1, b1 := startNode(t, "a1", "a"), startNode(t, "b1", "b")
	b1.version, b1.age = 7, 2*time.Second
	setNodes(a1, b1)
	waitUntil(t, "a1 gets the proof", func() bool { return locked(a1, func() clock.Instant { return a1.proof }) != 0 })
	// The proof is never younger than it was at the node that sent it.
	for range 20 {
		proof := locked(a1, func() clock.Instant { return a1.proof })
		is.True(clock.Since(proof) >= 2*time.Second)
		time.Sleep(20 * time.Millisecond)
	}
}

func TestLeavingNodeReservesNoShare(t *testing.T) {
	a1, a2, a3 := startNode(t, "a1", "a"), startNode(t, "a2", "a"), startNode(t, "a3", "a")
	setNodes(a1, a2, a3)
	waitForAll(t, a1, a2, a3)
	a3.manager.Leave()
	time.Sleep(300 * time.Millisecond) // Long enough to send the update.
	a3.stop()
	time.Sleep(1500 * time.Millisecond) // Longer than silenceTimeout.
	for _, n := range []*node{a1, a2} {
		if silent := locked(n, func() float64 { return n.silent }); silent != 0 {
			t.Errorf("%s reserves %.2f for a node that left", n.self.Name, silent)
		}
	}
}

package mesh_test

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/primrosemoor/primrosemoor/clock"
	"github.com/primrosemoor/primrosemoor/datastore"
	"github.com/primrosemoor/primrosemoor/logging"
	"github.com/primrosemoor/primrosemoor/mesh"
	"github.com/primrosemoor/primrosemoor/peer"
	"github.com/primrosemoor/primrosemoor/schema"
)

// waitLimit bounds what takes fractions of a second.
const waitLimit = 10 * time.Second

// node is one manager with its links over loopback.
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
	silent  float64
	proof   clock.Instant
	// version and age are what this node proves to others.
	version uint64
	age     time.Duration
}

func (n *node) Load(source, target string, use mesh.TargetUse) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.loads[source] == nil {
		n.loads[source] = make(map[string]mesh.TargetUse)
	}
	n.loads[source][target] = use
}

func (n *node) Lost(source string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.loads, source)
	delete(n.waiting, source)
}

func (n *node) Booked(team string, amount float64, _ *int64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.booked[team] += amount
}

func (n *node) Waiting(source string, q mesh.Queue, waiting int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.waiting[source] == nil {
		n.waiting[source] = make(map[mesh.Queue]int)
	}
	n.waiting[source][q] = waiting
}

func (n *node) Silent(share float64, _ int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.silent = share
}

func (n *node) Proof() (uint64, time.Duration, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.version, n.age, n.version > 0
}

func (n *node) Relayed(version uint64, proven clock.Instant, _ string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if version == 7 {
		n.proof = proven
	}
}

// get reads the node's state under its lock.
func get[T any](n *node, f func() T) T {
	n.mu.Lock()
	defer n.mu.Unlock()
	return f()
}

func (n *node) requests(source, target string) int {
	return get(n, func() int { return n.loads[source][target].Requests })
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
		waiting: make(map[string]map[mesh.Queue]int), silent: -1,
	}
	id := peer.Identity{Cluster: "test", Node: name, AvailabilityZone: zone, Incarnation: uint64(time.Now().UnixNano())}
	n.pool = peer.NewPool(peer.PoolOptions{Identity: id, Meter: peer.NopMeter{}, DialTimeout: time.Second, CallTimeout: time.Second})
	n.server = peer.NewServer(id, peer.NopMeter{}, nil)
	n.manager = mesh.New(mesh.Options{Self: n.self, Pool: n.pool, Listener: n, Prover: n, Logger: logging.Discard()})
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

// introduce tells nodes of all nodes, as the store would.
func introduce(nodes ...*node) {
	list := make(map[string]datastore.Node)
	for _, n := range nodes {
		list[n.self.Name] = n.self
	}
	for _, n := range nodes {
		n.manager.SetNodes(list)
	}
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for limit := time.Now().Add(waitLimit); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(limit) {
			t.Fatalf("not in %v: %s", waitLimit, what)
		}
	}
}

func allHeard(t *testing.T, nodes ...*node) {
	t.Helper()
	for _, n := range nodes {
		eventually(t, n.self.Name+" hears all", func() bool { return get(n, func() float64 { return n.silent }) == 0 })
	}
}

func TestLoadsAreToldWithinAndBetweenZones(t *testing.T) {
	is := is.New(t)
	a1, a2 := startNode(t, "a1", "a"), startNode(t, "a2", "a")
	b1, b2 := startNode(t, "b1", "b"), startNode(t, "b2", "b")
	introduce(a1, a2, b1, b2)
	allHeard(t, a1, a2, b1, b2)
	a1.manager.SetTarget("i-1", mesh.TargetUse{Requests: 3, PromptTokens: 700, StepMicros: 2100})
	a2.manager.SetTarget("i-1", mesh.TargetUse{Requests: 2})
	a2.manager.SetQueue(mesh.Queue{Service: "s", Tier: 1}, 4)
	eventually(t, "a2 hears of a1", func() bool { return a2.requests("a1", "i-1") == 3 })
	eventually(t, "b2 hears the sum of a", func() bool { return b2.requests("a", "i-1") == 5 })
	eventually(t, "b1 hears what waits in a", func() bool {
		return get(b1, func() int { return b1.waiting["a"][mesh.Queue{Service: "s", Tier: 1}] }) == 4
	})
	is.Equal(get(b2, func() int { return b2.loads["a"]["i-1"].StepMicros }), 2100)
	a1.manager.SetTarget("i-1", mesh.TargetUse{})
	eventually(t, "b2 hears of the end", func() bool { return b2.requests("a", "i-1") == 2 })
}

func TestASilentNodeIsLostAndItsSuccessorSpeaks(t *testing.T) {
	is := is.New(t)
	a1, a2, b1 := startNode(t, "a1", "a"), startNode(t, "a2", "a"), startNode(t, "b1", "b")
	introduce(a1, a2, b1)
	allHeard(t, a1, a2, b1)
	a1.manager.SetTarget("i-1", mesh.TargetUse{Requests: 3})
	a2.manager.SetTarget("i-1", mesh.TargetUse{Requests: 1})
	eventually(t, "b1 hears the sum", func() bool { return b1.requests("a", "i-1") == 4 })
	a1.stop()
	eventually(t, "b1 hears only of a2", func() bool { return b1.requests("a", "i-1") == 1 })
	eventually(t, "a2 counts a1 as silent", func() bool { return get(a2, func() float64 { return a2.silent }) > 0.3 })
	is.Equal(a2.requests("a1", "i-1"), 0)
}

// While nodes join, leave and speak in turn, each booking is counted at most
// once at every other node. Counting a counter's history anew is caught.
func TestBookingsAreCountedOnce(t *testing.T) {
	a2, b1 := startNode(t, "a2", "a"), startNode(t, "b1", "b")
	introduce(a2, b1)
	allHeard(t, a2, b1)
	book := func(n *node, times int) {
		for range times {
			n.manager.Book("t", 10, nil)
			time.Sleep(time.Millisecond)
		}
	}
	book(a2, 50)
	eventually(t, "b1 hears the bookings", func() bool { return get(b1, func() float64 { return b1.booked["t"] }) == 500 })
	// a1 becomes the speaker of its zone, b0 that of the other one.
	a1, b0 := startNode(t, "a1", "a"), startNode(t, "b0", "b")
	introduce(a1, a2, b0, b1)
	for range 10 {
		book(a2, 5)
		book(a1, 5)
		book(b0, 5)
	}
	allHeard(t, a1, a2, b0, b1)
	book(a2, 20)
	total := map[*node]float64{a1: 500, a2: 500 + 500 + 200, b0: 500, b1: 0}
	time.Sleep(time.Second) // Lets everything be told, and beats pass.
	for _, n := range []*node{a1, a2, b0, b1} {
		others := 0.0
		for m, amount := range total {
			if m != n {
				others += amount
			}
		}
		got := get(n, func() float64 { return n.booked["t"] })
		if got > others {
			t.Errorf("%s counts %.0f, the others booked %.0f", n.self.Name, got, others)
		}
	}
	// After the change of speakers nothing is lost either.
	before := get(b1, func() float64 { return b1.booked["t"] })
	book(a2, 10)
	eventually(t, "b1 hears of it", func() bool { return get(b1, func() float64 { return b1.booked["t"] }) == before+100 })
}

func TestANewNodeIntroducesItself(t *testing.T) {
	a1 := startNode(t, "a1", "a")
	introduce(a1)
	a2 := startNode(t, "a2", "a")
	a2.manager.SetNodes(map[string]datastore.Node{"a1": a1.self})
	a2.manager.SetTarget("i-1", mesh.TargetUse{Requests: 2})
	a1.manager.SetTarget("i-1", mesh.TargetUse{Requests: 1})
	eventually(t, "a1 hears of a2", func() bool { return a1.requests("a2", "i-1") == 2 })
	eventually(t, "a2 hears of a1", func() bool { return a2.requests("a1", "i-1") == 1 })
}

func TestProofsAreRelayedWithTheirAge(t *testing.T) {
	is := is.New(t)
	a1, b1 := startNode(t, "a1", "a"), startNode(t, "b1", "b")
	b1.version, b1.age = 7, 2*time.Second
	introduce(a1, b1)
	eventually(t, "a1 gets the proof", func() bool { return get(a1, func() clock.Instant { return a1.proof }) != 0 })
	// The proof is never younger than it was at the node that gave it.
	for range 20 {
		proof := get(a1, func() clock.Instant { return a1.proof })
		is.True(clock.Since(proof) >= 2*time.Second)
		time.Sleep(20 * time.Millisecond)
	}
}

func TestALeavingNodeReservesNoShare(t *testing.T) {
	a1, a2, a3 := startNode(t, "a1", "a"), startNode(t, "a2", "a"), startNode(t, "a3", "a")
	introduce(a1, a2, a3)
	allHeard(t, a1, a2, a3)
	a3.manager.Leave()
	time.Sleep(300 * time.Millisecond) // Lets it be told.
	a3.stop()
	time.Sleep(1500 * time.Millisecond) // Longer than it takes to count as silent.
	for _, n := range []*node{a1, a2} {
		if silent := get(n, func() float64 { return n.silent }); silent != 0 {
			t.Errorf("%s reserves %.2f for a node that left", n.self.Name, silent)
		}
	}
}

package entrytest

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/fx"

	"github.com/primrosemoor/primrosemoor/schema"
	"github.com/primrosemoor/primrosemoor/standin/worker"
	"github.com/primrosemoor/primrosemoor/upstream"
)

// cutMode is what happens to the connections between a node and all workers.
type cutMode string

const (
	// linked connections work. Those of a reset cut are reset, at the latest when they are
	// used, and new ones refused; those of a silent cut hang; those of a half cut live on
	// while new ones are refused.
	linked cutMode = "linked"
	reset  cutMode = "reset"
	silent cutMode = "silent"
	half   cutMode = "half"
)

// nodeLinks are the connections of one node to all workers.
type nodeLinks struct {
	mu    sync.Mutex
	mode  cutMode
	conns map[*nodeLink]bool
	// only holds the addresses of the workers that are cut off, nil for all.
	only map[string]bool
	// healed is closed when a cut ends.
	healed chan struct{}
}

func newNodeLinks() *nodeLinks {
	return &nodeLinks{mode: linked, conns: make(map[*nodeLink]bool), healed: make(chan struct{})}
}

// option makes a node use these connections.
func (l *nodeLinks) option() fx.Option {
	return fx.Decorate(func(dial upstream.DialFunc) upstream.DialFunc {
		return func(ctx context.Context, network, address string) (net.Conn, error) {
			switch mode, _ := l.stateOf(address); mode {
			case reset, half:
				return nil, &net.OpError{Op: "dial", Net: network, Err: syscall.ECONNREFUSED}
			case silent:
				ctx, cancel := context.WithTimeout(ctx, time.Second) // As the dialer's own timeout.
				defer cancel()
				<-ctx.Done()
				return nil, ctx.Err()
			}
			c, err := dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			link := &nodeLink{TCPConn: c.(*net.TCPConn), links: l, address: address, closed: make(chan struct{})}
			l.mu.Lock()
			l.conns[link] = true
			l.mu.Unlock()
			return link, nil
		}
	})
}

// stateOf returns the mode of the connections to a worker, and a channel that is closed
// when a cut ends.
func (l *nodeLinks) stateOf(address string) (cutMode, chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.only != nil && !l.only[address] {
		return linked, l.healed
	}
	return l.mode, l.healed
}

// cutOff cuts the connections to some workers.
func (l *nodeLinks) cutOff(mode cutMode, addresses map[string]bool) {
	l.mu.Lock()
	l.only = addresses
	l.mu.Unlock()
	l.set(mode)
}

func (l *nodeLinks) set(mode cutMode) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mode = mode
	for c := range l.conns {
		if mode == reset && c.reading.Load() && (l.only == nil || l.only[c.address]) {
			c.TCPConn.SetReadDeadline(time.Now())
		}
	}
	if mode == linked {
		close(l.healed)
		l.healed = make(chan struct{})
	}
}

// nodeLink is one connection to a worker.
type nodeLink struct {
	*net.TCPConn
	links   *nodeLinks
	address string
	reading atomic.Bool
	once    sync.Once
	closed  chan struct{}
}

// await returns once the connection works, or is closed.
func (c *nodeLink) await() {
	for {
		mode, healed := c.links.stateOf(c.address)
		if mode != silent {
			return
		}
		select {
		case <-healed:
		case <-c.closed:
			return
		}
	}
}

func (c *nodeLink) Read(p []byte) (int, error) {
	c.reading.Store(true)
	defer c.reading.Store(false)
	if mode, _ := c.links.stateOf(c.address); mode == reset {
		return 0, syscall.ECONNRESET
	}
	n, err := c.TCPConn.Read(p)
	c.await()
	if mode, _ := c.links.stateOf(c.address); mode == reset {
		return 0, syscall.ECONNRESET
	}
	return n, err
}

func (c *nodeLink) Write(p []byte) (int, error) {
	if mode, _ := c.links.stateOf(c.address); mode == silent {
		go func() {
			c.await()
			c.TCPConn.Write(p)
		}()
		return len(p), nil
	}
	return c.TCPConn.Write(p)
}

func (c *nodeLink) Close() error {
	c.once.Do(func() { close(c.closed) })
	c.links.mu.Lock()
	delete(c.links.conns, c)
	c.links.mu.Unlock()
	return c.TCPConn.Close()
}

// linkedNode is a node with its connections to workers.
type linkedNode struct {
	*node
	links *nodeLinks
	// tried and served count first tries.
	tried, served atomic.Int64
}

// loads holds those tests that send requests at a rate, of which few run side by side: they
// check which share is served, which a machine short of processor time lowers.
var loads = make(chan struct{}, 4)

// waitForLoad waits until the test may send requests at a rate.
func (env *testEnv) waitForLoad() {
	loads <- struct{}{}
	env.t.Cleanup(func() { <-loads })
}

// startLinkedNodes starts nodes 1 to count, those after the first ones in a second zone.
func (env *testEnv) startLinkedNodes(first, count int) []*linkedNode {
	env.t.Helper()
	env.waitForLoad()
	var nodes []*linkedNode
	for i := range count {
		n := &linkedNode{links: newNodeLinks()}
		s := env.settings(i + 1)
		s.Zones = append(s.Zones, &schema.GatewayZone{Name: "b", Region: "r"})
		if i >= first {
			s.Node.AvailabilityZone = "b"
		}
		n.node = env.startNodeWith(i+1, s, n.links.option())
		nodes = append(nodes, n)
	}
	for _, n := range nodes {
		env.waitReady(n.node)
	}
	return nodes
}

// startLinkWorkers starts three workers of each service, one of each in the second zone.
func (env *testEnv) startLinkWorkers() {
	for i := range 3 {
		env.startWorker(fmt.Sprint("i-app", i), "app", 0)
		env.startWorker(fmt.Sprint("i-llm", i), "llm", 6)
	}
}

// loadInterval is the time between two requests of one kind at one node.
const loadInterval = 50 * time.Millisecond

// load sends requests to all nodes for a time, whether earlier ones have ended or not, and
// counts those that are served. All share a part of their prompt.
func (env *testEnv) load(nodes []*linkedNode, phase string, lasts time.Duration) {
	var running sync.WaitGroup
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100}}
	defer client.CloseIdleConnections()
	for k := range int(lasts / loadInterval) {
		for i, n := range nodes {
			for _, route := range []string{"book", "look", "chat"} {
				running.Go(func() {
					got := n.postPrompt(client, route, fmt.Sprint(phase, "-", i, "-", route, "-", k), fmt.Sprintf("aa:60,%d%d:9", i, k))
					n.tried.Add(1)
					if got.err == nil && got.status == 200 {
						n.served.Add(1)
						return
					}
					env.t.Logf("%s at %s, request %d: %d %q %v", route, n.ip, k, got.status, got.body, got.err)
				})
			}
		}
		time.Sleep(loadInterval)
	}
	running.Wait()
}

// count sums over nodes and forgets.
func count(nodes []*linkedNode) (tried, served int64) {
	for _, n := range nodes {
		tried += n.tried.Swap(0)
		served += n.served.Swap(0)
	}
	return tried, served
}

// adaptTime is the time from a cut after which nodes must have adapted to it.
const adaptTime = 4 * time.Second

// tolerable reports whether the requests that were not served are no more than the rule
// allows for nodes without links.
func tolerable(tried, served int64) bool { return tried-served <= 10+tried/50 }

// cutCase is a deployment of two zones, and the nodes that are cut off from all workers.
type cutCase struct {
	name         string
	newEnv       func(*testing.T) *testEnv
	mode         cutMode
	first, count int
	cut          []int
	// cutService is the service whose workers they are cut off from, empty for all.
	cutService string
}

var cutCases = []cutCase{
	{"a member, reset", newTestEnv, reset, 3, 3, []int{1}, ""},
	{"a member, silent", newTestEnv, silent, 3, 3, []int{1}, ""},
	{"the owner of the zone, reset", newTestEnv, reset, 3, 3, []int{0}, ""},
	{"two of three, reset", newTestEnv, reset, 3, 3, []int{0, 1}, ""},
	{"two of three, half", newTestEnv, half, 3, 3, []int{0, 1}, ""},
	{"all of a zone, reset", newTestEnv, reset, 3, 5, []int{0, 1, 2}, ""},
	{"all of a zone, silent", newTestEnv, silent, 3, 5, []int{0, 1, 2}, ""},
	{"most of a zone with hubs, reset", newLoneTestEnv, reset, 9, 11, []int{0, 1, 2, 3, 5, 7, 8}, ""},
}

// run cuts nodes off while all serve, and returns them and the others once they have had
// time to adapt.
func (c cutCase) run(t *testing.T) (env *testEnv, cut, others []*linkedNode) {
	env = c.newEnv(t)
	env.startLinkWorkers()
	nodes := env.startLinkedNodes(c.first, c.count)
	env.load(nodes, "before", time.Second)
	if tried, served := count(nodes); served != tried {
		t.Fatalf("served %d of %d before the cut", served, tried)
	}
	for i, n := range nodes {
		if slices.Contains(c.cut, i) {
			n.links.cutOff(c.mode, env.addressesOf(c.cutService))
			cut = append(cut, n)
		} else {
			others = append(others, n)
		}
	}
	env.load(nodes, "adapting", adaptTime)
	count(nodes)
	return env, cut, others
}

// addressesOf returns the addresses of the workers of a service, nil if it is empty.
func (env *testEnv) addressesOf(service string) map[string]bool {
	if service == "" {
		return nil
	}
	addresses := make(map[string]bool)
	for _, w := range env.workers {
		if w.Service == service {
			addresses[w.Address()] = true
		}
	}
	return addresses
}

func TestNodesWithLinksServeWhileOthersHaveNone(t *testing.T) {
	for _, c := range cutCases {
		t.Run(c.name, func(t *testing.T) {
			env, cut, others := c.run(t)
			env.load(slices.Concat(cut, others), "cut", 2*time.Second)
			if tried, served := count(others); !tolerable(tried, served) {
				t.Errorf("served %d of %d", served, tried)
			}
		})
	}
}

func TestNodesWithoutLinksToTargetsServeThroughOthers(t *testing.T) {
	for _, c := range cutCases {
		t.Run(c.name, func(t *testing.T) {
			env, cut, others := c.run(t)
			nodes := slices.Concat(cut, others)
			env.load(nodes, "cut", 2*time.Second)
			if tried, served := count(cut); !tolerable(tried, served) {
				t.Errorf("served %d of %d", served, tried)
			}
			for _, n := range cut {
				n.links.set(linked)
			}
			env.load(nodes, "healing", adaptTime)
			count(nodes)
			env.load(nodes, "healed", time.Second)
			if tried, served := count(nodes); !tolerable(tried, served) {
				t.Errorf("served %d of %d after the cut", served, tried)
			}
			for id, w := range env.workers {
				for request, runs := range w.RunCounts() {
					if runs > 1 && strings.Contains(request, "book") {
						t.Errorf("%s ran %s %d times", id, request, runs)
					}
				}
			}
		})
	}
}

func TestNodesWithoutLinksToOneServiceServeThroughOthers(t *testing.T) {
	for _, c := range []struct {
		cutCase
		service string
	}{
		{cutCase{name: "a member, reset", newEnv: newTestEnv, mode: reset, first: 3, count: 3, cut: []int{1}}, "app"},
		{cutCase{name: "two of three, silent", newEnv: newTestEnv, mode: silent, first: 3, count: 3, cut: []int{0, 1}}, "app"},
		{cutCase{name: "all of a zone, half", newEnv: newTestEnv, mode: half, first: 3, count: 5, cut: []int{0, 1, 2}}, "llm"},
		{cutCase{name: "all of a zone, silent", newEnv: newTestEnv, mode: silent, first: 3, count: 5, cut: []int{0, 1, 2}}, "app"},
		{cutCase{name: "most of a zone with hubs, silent", newEnv: newLoneTestEnv, mode: silent, first: 9, count: 11, cut: []int{0, 1, 2, 3, 5, 7, 8}}, "llm"},
	} {
		t.Run(c.name+", "+c.service, func(t *testing.T) {
			c.cutService = c.service
			env, cut, others := c.run(t)
			env.load(slices.Concat(cut, others), "cut", 2*time.Second)
			for name, nodes := range map[string][]*linkedNode{"cut off": cut, "others": others} {
				if tried, served := count(nodes); !tolerable(tried, served) {
					t.Errorf("%s: served %d of %d", name, served, tried)
				}
			}
		})
	}
}

// Targets that only one node cannot reach have not crashed.
func TestNodeWithoutLinksDoesNotTakeSoundTargetsForCrashed(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(t)
	for i := range 8 {
		env.startWorkerAs(&worker.Worker{ID: fmt.Sprint("i-", i), Service: "llm", Events: 6, ServiceTime: 20 * time.Millisecond})
	}
	nodes := env.startLinkedNodes(2, 2)
	client := &http.Client{Transport: &http.Transport{}}
	var running sync.WaitGroup
	for i := range 48 {
		running.Go(func() {
			nodes[0].postPrompt(client, "chat", fmt.Sprint("before-", i), fmt.Sprintf("aa:60,b%d:9", i))
		})
	}
	running.Wait()
	nodes[0].links.set(reset)
	for i := range 6 {
		nodes[0].postPrompt(client, "chat", fmt.Sprint("cut-", i), fmt.Sprintf("bb:60,c%d:9", i))
		time.Sleep(150 * time.Millisecond)
	}
	time.Sleep(500 * time.Millisecond) // The other node hears what was concluded.
	for i := range 5 {
		got := nodes[1].postPrompt(client, "chat", fmt.Sprint("sound-", i), fmt.Sprintf("bb:60,d%d:9", i))
		is.NoErr(got.err)
		is.Equal(got.status, 200) // Refused for crashes that did not happen.
	}
}

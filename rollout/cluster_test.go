package rollout

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/phuslu/log"

	"github.com/primrosemoor/primrosemoor/balance"
	"github.com/primrosemoor/primrosemoor/catalog"
	"github.com/primrosemoor/primrosemoor/clock"
)

// behaviour is how a version serves a request of a route, a time after the order.
type behaviour func(route string, elapsed time.Duration) (balance.Result, time.Duration)

func sound(string, time.Duration) (balance.Result, time.Duration) {
	return balance.Answered, time.Duration(20+rand.IntN(20)) * time.Millisecond
}

func failing(share float64) behaviour {
	return func(route string, elapsed time.Duration) (balance.Result, time.Duration) {
		if rand.Float64() < share {
			return balance.Failed, 5 * time.Millisecond
		}
		return sound(route, elapsed)
	}
}

// cluster is a deployment with a service "s" that has targets of versions v1 and v2.
type cluster struct {
	t       *testing.T
	store   *fakeStore
	nodes   []*clusterNode
	after   behaviour
	ordered time.Time
	// versions is the number of versions of which targets are listed.
	versions int

	// running are the goroutines of the nodes and requests.
	running sync.WaitGroup

	mu sync.Mutex
	// requests counts all since the order, sent those that went to v2, and bad those that it
	// served badly. lastSent is when the last one was sent.
	requests, sent, bad int
	fiftieth, lastSent  time.Time
}

type clusterNode struct {
	*cluster
	name, zone string
	manager    *Manager
	balancer   *Balancer
	stop       context.CancelFunc
	// cutOff separates it from the other nodes.
	cutOff bool
}

// targetsOf returns targets of the versions v1 to vN.
func targetsOf(versions int) (list []*catalog.Target) {
	for i := range 2 * versions {
		list = append(list, &catalog.Target{ID: fmt.Sprint("i-", i), Service: "s", Version: fmt.Sprint("v", 1+i/2), Started: int64(1 + i/2)})
	}
	return list
}

// Acquire stands for the choice of a target.
func (n *clusterNode) Acquire(_ context.Context, w *balance.Work) (*balance.Grant, error) {
	targets := targetsOf(n.versions)
	rand.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
	for _, target := range targets {
		if w.Allows(target) {
			return balance.NewGrant(target, balance.Prediction{}, noReporter{}), nil
		}
	}
	return nil, &balance.Refusal{Reason: balance.ReasonNoVersion}
}

type noReporter struct{}

func (noReporter) FirstEvent(time.Duration)             {}
func (noReporter) SpeedSampled(balance.Sample)          {}
func (noReporter) Ended(balance.Result, balance.Sample) {}

func virtualNow() clock.Instant { return clock.Instant(time.Now().UnixNano()) }

// start runs a node; the first one that runs reads the store for all.
func (c *cluster) start(i, zones int) *clusterNode {
	name := fmt.Sprintf("n%d.%d", i, time.Now().UnixNano())
	n := &clusterNode{cluster: c, name: name, zone: fmt.Sprint("z", i%zones)}
	logger := &log.Logger{Level: log.PanicLevel}
	n.manager = New(Options{Zone: n.zone, Process: name, Bound: bound, Logger: logger, Now: virtualNow})
	n.balancer = &Balancer{Manager: n.manager, Next: n}
	n.manager.UpdateTargets(targetsOf(c.versions))
	ctx, stop := context.WithCancel(c.t.Context())
	n.stop = stop
	d := &Decider{
		Manager: n.manager, Source: c.store, Write: c.store.write, Logger: logger, Running: func(string, string) int { return 0 },
		Reads: func() bool { return c.reader() == n },
	}
	c.running.Go(func() { n.manager.Run(ctx) })
	c.running.Go(func() { d.Run(ctx) })
	c.mu.Lock()
	defer c.mu.Unlock()
	if i < len(c.nodes) {
		c.nodes[i] = n
	} else {
		c.nodes = append(c.nodes, n)
	}
	return n
}

func (c *cluster) reader() *clusterNode {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, n := range c.nodes {
		if n != nil && !n.cutOff {
			return n
		}
	}
	return nil
}

// gossip exchanges reports: between the nodes of a zone, and between the first ones of the
// zones.
func (c *cluster) gossip() {
	c.mu.Lock()
	nodes := make([]*clusterNode, 0, len(c.nodes))
	first := make(map[string]*clusterNode)
	for _, n := range c.nodes {
		if n != nil && !n.cutOff {
			nodes = append(nodes, n)
			if first[n.zone] == nil {
				first[n.zone] = n
			}
		}
	}
	c.mu.Unlock()
	tell := func(from, to *clusterNode, as Receiver) {
		if reports, ok := from.manager.Reports(as); ok {
			to.manager.Apply(from.name, from.zone, reports)
		}
	}
	for _, from := range nodes {
		for _, to := range nodes {
			switch {
			case from == to:
			case from.zone == to.zone:
				tell(from, to, ToNode)
			case first[from.zone] == from && first[to.zone] == to:
				tell(from, to, ToZone)
			}
		}
	}
}

// request sends one request of a route and returns the version that served it.
func (n *clusterNode) request(route string) string {
	grant, err := n.balancer.Acquire(n.t.Context(), &balance.Work{Service: "s", Route: route})
	if err != nil {
		return ""
	}
	c := n.cluster
	isNew, elapsed := grant.Target.Version == "v2", time.Since(c.ordered)
	result, takes := sound(route, elapsed)
	if isNew {
		result, takes = c.after(route, elapsed)
	}
	c.mu.Lock()
	c.requests++
	if isNew {
		c.sent++
		c.lastSent = time.Now()
	}
	c.mu.Unlock()
	c.running.Go(func() {
		time.Sleep(takes)
		grant.Done(result)
		if isNew && (result != balance.Answered || takes > 100*time.Millisecond) {
			c.mu.Lock()
			defer c.mu.Unlock()
			if c.bad++; c.bad == 50 {
				c.fiftieth = time.Now()
			}
		}
	})
	return grant.Target.Version
}

// listNew lists targets of the new version.
func (c *cluster) listNew() {
	c.versions = 2
	for _, n := range c.nodes {
		n.manager.UpdateTargets(targetsOf(c.versions))
	}
}

// order writes the order, and run plays requests for a time.
func (c *cluster) order(duration time.Duration) {
	c.store.mu.Lock()
	c.store.put(Object{Order: Order{Service: "s", Target: "v2", Duration: duration}})
	c.store.mu.Unlock()
	c.ordered = time.Now()
	c.listNew()
}

const clusterRequests = 4 // of each node in 20 ms

func (c *cluster) run(d time.Duration, each func()) {
	routes := []string{"chat", "book", "look"}
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for _, n := range c.nodes {
			for range clusterRequests {
				if n != nil {
					n.request(routes[rand.IntN(len(routes))])
				}
			}
		}
		c.gossip()
		if each != nil {
			each()
		}
	}
}

func newCluster(t *testing.T, after behaviour) *cluster {
	c := &cluster{t: t, store: newFakeStore(), after: after, versions: 1}
	t.Cleanup(func() {
		for _, n := range c.nodes {
			if n != nil {
				n.stop()
			}
		}
		c.running.Wait()
	})
	return c
}

// playRollout runs a cluster in virtual time until its rollout has ended.
func playRollout(t *testing.T, after behaviour, during func(c *cluster, elapsed time.Duration)) *cluster {
	c := newCluster(t, after)
	for i := range 6 {
		c.start(i, 3)
	}
	c.run(4*time.Second, nil)
	c.order(20 * time.Second)
	c.run(20*time.Second, func() {
		if during != nil {
			during(c, time.Since(c.ordered))
		}
	})
	return c
}

func (c *cluster) checkExposure(is *is.I) {
	is.Helper()
	is.True(float64(c.sent) <= bound*float64(c.requests)+50) // A bad version got too many requests.
	if !c.fiftieth.IsZero() {
		is.True(c.lastSent.Sub(c.fiftieth) < 5*time.Second) // A bad version got requests for too long.
	}
}

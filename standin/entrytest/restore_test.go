package entrytest

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/primrosemoor/primrosemoor/schema"
)

// inForceLimit is the time within which a confirmed configuration must be in force.
const inForceLimit = 2500 * time.Millisecond

// firstZoneNodes is the number of nodes that startNodes puts into the first zone: enough
// for hubs.
const firstZoneNodes = 9

// startNodes starts nodes 1 to count and waits until they are ready. Those after
// firstZoneNodes are in a second zone.
func (env *testEnv) startNodes(count int) []*node {
	env.t.Helper()
	nodes := make([]*node, 0, count)
	for i := range count {
		s := env.settings(i + 1)
		if i >= firstZoneNodes {
			s.Node.AvailabilityZone = "b"
			s.Zones = append(s.Zones, &schema.GatewayZone{Name: "b", Region: "r"})
		}
		nodes = append(nodes, env.startNodeWith(i+1, s))
	}
	env.t.Cleanup(func() {
		var ending sync.WaitGroup
		for _, n := range nodes {
			ending.Go(n.end)
		}
		ending.Wait()
	})
	for _, n := range nodes {
		env.waitReady(n)
	}
	return nodes
}

// stopAll stops nodes at the same time.
func stopAll(nodes []*node) {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	var stopping sync.WaitGroup
	for _, n := range nodes {
		// The outcome of the stop is no part of the test.
		stopping.Go(func() { _ = n.app.Stop(ctx) })
	}
	stopping.Wait()
}

// addRoute writes a version with one more route.
func (env *testEnv) addRoute(name string) {
	env.t.Helper()
	env.addedRoutes = append(env.addedRoutes, name)
	env.writeConfig("k1", "k2")
}

// waitServed waits until a route is served at all nodes.
func (env *testEnv) waitServed(nodes []*node, route string, limit time.Duration) {
	env.t.Helper()
	deadline := time.Now().Add(limit)
	for i, n := range nodes {
		for attempt := 0; ; attempt++ {
			status := n.post(route, fmt.Sprint("id-", route, i, "-", attempt)).status
			if status == 200 {
				break
			}
			if time.Now().After(deadline) {
				env.t.Fatalf("route %s is not in force at node %d after %v: status %d", route, i+1, limit, status)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// writeOther writes objects of a kind that no node reads.
func (env *testEnv) writeOther(count int) {
	env.t.Helper()
	for i := range count {
		if err := env.store.Put("other", fmt.Sprint("o", time.Now().UnixNano(), i), i); err != nil {
			env.t.Fatal(err)
		}
	}
}

// A change whose revision was given out before, and that the store's revision has passed
// when nodes watch again, must be in force in time.
func TestChangeAfterTheStoreCameBackFromACopyIsInForceInTime(t *testing.T) {
	for count, newEnv := range map[int]func(*testing.T) *testEnv{3: newTestEnv, 13: newLoneTestEnv} {
		t.Run(fmt.Sprint(count, " nodes"), func(t *testing.T) {
			env := newEnv(t)
			env.startWorker("i-a", "app", 0)
			nodes := env.startNodes(count)
			older := env.store.Copy()
			env.addRoute("added")
			env.waitServed(nodes, "added", inForceLimit)
			env.store.Restore(older)
			env.addRoute("next")
			env.writeOther(50)
			env.waitServed(nodes, "added", 0)
			env.waitServed(nodes, "next", inForceLimit)
		})
	}
}

// A route that was confirmed and that the older copy lacks stays served, and its keys
// stay proven, until the operator has written it again.
func TestRouteThatTheOlderCopyLacksStaysServed(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(t)
	env.startWorker("i-a", "app", 0)
	nodes := env.startNodes(3)
	older := env.store.Copy()
	env.addRoute("added")
	env.waitServed(nodes, "added", inForceLimit)
	env.store.Restore(older)
	for limit := time.Now().Add(6 * time.Second); time.Now().Before(limit); time.Sleep(500 * time.Millisecond) {
		env.waitServed(nodes, "added", 0)
		for _, n := range nodes {
			is.Equal(n.readiness(), 200)
		}
	}
	env.addRoute("next")
	env.waitServed(nodes, "next", inForceLimit)
}

// A node whose announcement is lost would be unknown to the nodes that start later.
func TestNodeAnnouncesItselfAgainWhenTheOlderCopyLacksIt(t *testing.T) {
	env := newTestEnv(t)
	env.startWorker("i-a", "app", 0)
	first := env.startNode(1)
	env.waitReady(first)
	older := env.store.Copy()
	env.waitReady(env.startNode(2))
	announced := func() bool {
		resp, err := http.Get(env.server.URL + "/api/objects/primrosemoor-nodes/edge-2")
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	}
	env.waitFor("edge-2 is announced", announced)
	env.store.Restore(older)
	env.writeOther(50)
	env.waitFor("edge-2 is announced again", announced)
	if calls := env.store.CallCounts()["POST primrosemoor-nodes"]; calls != 3 {
		t.Fatalf("%d announcements instead of 3", calls)
	}
}

// The older copy shows a worker as ready that was draining: it must get no more requests.
func TestDrainingWorkerThatTheOlderCopyShowsAsReadyGetsNoRequests(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(t)
	draining := env.startWorker("i-a", "app", 0)
	env.startWorker("i-b", "app", 0)
	nodes := env.startNodes(2)
	older := env.store.Copy()
	is.NoErr(draining.Register(env.store, "a", "draining"))
	time.Sleep(2 * time.Second) // All nodes know of it.
	before := len(draining.RunCounts())
	env.store.Restore(older)
	for i := range 40 {
		is.Equal(nodes[i%2].post("look", fmt.Sprint("id-", i)).status, 200)
		time.Sleep(100 * time.Millisecond)
	}
	is.Equal(len(draining.RunCounts()), before)
}

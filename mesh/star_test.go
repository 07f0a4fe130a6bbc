package mesh_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/primrosemoor/primrosemoor/mesh"
)

// startZone starts the nodes of a zone, named in the order in which they become its
// owner.
func startZone(t *testing.T, zone string, count int) []*node {
	t.Helper()
	nodes := make([]*node, count)
	for i := range nodes {
		nodes[i] = startNode(t, fmt.Sprintf("%s%02d", zone, i+1), zone)
		nodes[i].manager.SetReady(true)
	}
	return nodes
}

func (n *node) bookedBy(team string) float64 {
	return locked(n, func() float64 { return n.booked[team] })
}

// The links of a node do not grow with its zone, unless it is one of the few hubs.
func TestLinksOfANodeDoNotGrowWithItsZone(t *testing.T) {
	is := is.New(t)
	a := startZone(t, "a", 14)
	setNodes(a...)
	waitUntil(t, "a01 owns the zone", agreedOwner("a01", a...))
	waitForAll(t, a...)
	for i, n := range a {
		if i < 3 {
			is.Equal(n.manager.Links(), 13)
		} else {
			is.Equal(n.manager.Links(), 3)
		}
	}
}

// Every node of a large zone learns what all others book, each once; its hubs and the
// nodes of other zones also learn the loads of targets.
func TestNodesOfALargeZoneLearnOfEachOther(t *testing.T) {
	a, b := startZone(t, "a", 12), startZone(t, "b", 2)
	all := append(append([]*node(nil), a...), b...)
	setNodes(all...)
	waitUntil(t, "a01 owns the zone", agreedOwner("a01", a...))
	waitForAll(t, all...)
	waitUntil(t, "only a01 and b01 report for their zones", onlyReporters(map[string]string{"a": "a01", "b": "b01"}, all...))
	for round := range 20 {
		for _, n := range all {
			n.manager.Book("t", 10, nil)
		}
		a[7].manager.SetTarget("i-1", mesh.TargetUse{Requests: round + 1})
		time.Sleep(20 * time.Millisecond)
	}
	a[1].manager.SetTarget("i-1", mesh.TargetUse{Requests: 2})
	for _, n := range all {
		waitUntil(t, n.self.Name+" counts the bookings of all others", func() bool { return n.bookedBy("t") == float64(200*(len(all)-1)) })
	}
	for _, n := range b {
		waitUntil(t, n.self.Name+" knows the load of zone a", func() bool { return n.requests("a", "i-1") == 22 })
	}
	waitUntil(t, "a03 knows the load of a02", func() bool { return a[2].requests("a02", "i-1") == 2 })
	waitUntil(t, "a01 knows the load of a08", func() bool { return a[0].requests("a08", "i-1") == 20 })
	time.Sleep(time.Second)
	for _, n := range all {
		if got := n.bookedBy("t"); got != float64(200*(len(all)-1)) {
			t.Errorf("%s counts %.0f", n.self.Name, got)
		}
	}
}

// When hubs fail one after the other, the next nodes take over. Nothing is counted
// twice, and later bookings reach every node.
func TestHubsOfALargeZoneAreReplaced(t *testing.T) {
	a, b := startZone(t, "a", 12), startZone(t, "b", 1)
	all := append(append([]*node(nil), a...), b...)
	setNodes(all...)
	waitUntil(t, "a01 owns the zone", agreedOwner("a01", a...))
	waitForAll(t, all...)
	time.Sleep(time.Second)
	for lost := range 4 {
		a[lost].stop()
		rest := a[lost+1:]
		waitUntil(t, "the next hub owns the zone", agreedOwner(rest[0].self.Name, rest...))
		time.Sleep(time.Second) // Longer than silenceTimeout.
		before := make(map[*node]float64)
		for _, n := range all[lost+1:] {
			before[n] = n.bookedBy("t")
		}
		for range 20 {
			for _, n := range all[lost+1:] {
				n.manager.Book("t", 10, nil)
			}
			time.Sleep(20 * time.Millisecond)
		}
		want := float64(200 * (len(all) - lost - 2))
		for _, n := range all[lost+1:] {
			waitUntil(t, n.self.Name+" counts the bookings of the others", func() bool { return n.bookedBy("t")-before[n] == want })
		}
	}
}

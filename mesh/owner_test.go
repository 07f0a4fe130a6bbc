package mesh_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/primrosemoor/primrosemoor/datastore"
	"github.com/primrosemoor/primrosemoor/mesh"
)

func owners(nodes ...*node) map[string]bool {
	names := make(map[string]bool)
	for _, n := range nodes {
		names[n.manager.Owner().Name] = true
	}
	return names
}

func agreedOwner(owner string, nodes ...*node) func() bool {
	return func() bool {
		names := owners(nodes...)
		return len(names) == 1 && names[owner]
	}
}

func TestNodesOfAZoneAgreeOnItsOwner(t *testing.T) {
	a1, a2, a3 := startNode(t, "a1", "a"), startNode(t, "a2", "a"), startNode(t, "a3", "a")
	setNodes(a1, a2, a3)
	waitUntil(t, "a1 owns the zone", agreedOwner("a1", a1, a2, a3))
	// A ready node is preferred to one that is not.
	a2.manager.SetReady(true)
	waitUntil(t, "a2 owns the zone", agreedOwner("a2", a1, a2, a3))
	a1.manager.SetReady(true)
	waitUntil(t, "a1 owns the zone", agreedOwner("a1", a1, a2, a3))
	// A leaving node hands over while it still answers.
	a1.manager.Leave()
	waitUntil(t, "a2 owns the zone", agreedOwner("a2", a1, a2, a3))
	// A silent owner is replaced.
	a2.stop()
	waitUntil(t, "a3 owns the zone", agreedOwner("a3", a3))
}

func TestNodeWithMostProcessorTimeOwnsTheZone(t *testing.T) {
	is := is.New(t)
	a1, a2 := startNode(t, "a1", "a"), startNode(t, "a2", "a")
	list := map[string]datastore.Node{"a1": a1.self, "a2": a2.self}
	large := a2.self
	large.Cores = 0.8
	list["a2"] = large
	a1.manager.SetNodes(list)
	waitUntil(t, "a2 owns the zone", agreedOwner("a2", a1))
	is.Equal(a1.manager.Owner().Address, a2.self.Address)
}

// Zones exchange their sums through their owners.
func TestOwnersReportForTheirZones(t *testing.T) {
	a1, a2 := startNode(t, "a1", "a"), startNode(t, "a2", "a")
	b1, b2 := startNode(t, "b1", "b"), startNode(t, "b2", "b")
	setNodes(a1, a2, b1, b2)
	a2.manager.SetReady(true)
	b2.manager.SetReady(true)
	waitUntil(t, "a2 owns the zone", agreedOwner("a2", a1, a2))
	waitUntil(t, "b2 owns the zone", agreedOwner("b2", b1, b2))
	a1.manager.SetTarget("i-1", mesh.TargetUse{Requests: 2, PromptTokens: 100})
	waitUntil(t, "both nodes of zone b receive the load of a1", func() bool { return b2.requests("a", "i-1") == 2 && b1.requests("a", "i-1") == 2 })
	// Another owner takes over without losing counted requests.
	a1.manager.SetReady(true)
	waitUntil(t, "a1 owns the zone", agreedOwner("a1", a1, a2))
	a2.manager.SetTarget("i-1", mesh.TargetUse{Requests: 1})
	waitUntil(t, "b1 receives the sum of zone a", func() bool { return b1.requests("a", "i-1") == 3 })
}

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

func agree(on string, nodes ...*node) func() bool {
	return func() bool {
		names := owners(nodes...)
		return len(names) == 1 && names[on]
	}
}

func TestTheNodesOfAZoneAgreeOnItsOwner(t *testing.T) {
	a1, a2, a3 := startNode(t, "a1", "a"), startNode(t, "a2", "a"), startNode(t, "a3", "a")
	introduce(a1, a2, a3)
	eventually(t, "a1 owns the zone", agree("a1", a1, a2, a3))
	// A node that knows what it needs goes before one that does not.
	a2.manager.SetAble(true)
	eventually(t, "a2 owns the zone", agree("a2", a1, a2, a3))
	a1.manager.SetAble(true)
	eventually(t, "a1 owns the zone", agree("a1", a1, a2, a3))
	// One that leaves hands over while it still answers.
	a1.manager.Leave()
	eventually(t, "a2 owns the zone", agree("a2", a1, a2, a3))
	// One that falls silent is replaced.
	a2.stop()
	eventually(t, "a3 owns the zone", agree("a3", a3))
}

func TestTheNodeWithMostProcessorTimeOwnsTheZone(t *testing.T) {
	is := is.New(t)
	a1, a2 := startNode(t, "a1", "a"), startNode(t, "a2", "a")
	list := map[string]datastore.Node{"a1": a1.self, "a2": a2.self}
	large := a2.self
	large.Cores = 0.8
	list["a2"] = large
	a1.manager.SetNodes(list)
	eventually(t, "a2 owns the zone", agree("a2", a1))
	is.Equal(a1.manager.Owner().Address, a2.self.Address)
}

// What the zones tell each other goes between their owners.
func TestOwnersSpeakForTheirZones(t *testing.T) {
	a1, a2 := startNode(t, "a1", "a"), startNode(t, "a2", "a")
	b1, b2 := startNode(t, "b1", "b"), startNode(t, "b2", "b")
	introduce(a1, a2, b1, b2)
	a2.manager.SetAble(true)
	b2.manager.SetAble(true)
	eventually(t, "a2 owns the zone", agree("a2", a1, a2))
	eventually(t, "b2 owns the zone", agree("b2", b1, b2))
	a1.manager.SetTarget("i-1", mesh.TargetUse{Requests: 2, PromptTokens: 100})
	eventually(t, "all of b hear of a1", func() bool { return b2.requests("a", "i-1") == 2 && b1.requests("a", "i-1") == 2 })
	// Another owner takes over without a gap in what is counted.
	a1.manager.SetAble(true)
	eventually(t, "a1 owns the zone", agree("a1", a1, a2))
	a2.manager.SetTarget("i-1", mesh.TargetUse{Requests: 1})
	eventually(t, "b1 hears the sum", func() bool { return b1.requests("a", "i-1") == 3 })
}

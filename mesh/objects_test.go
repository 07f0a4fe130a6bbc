package mesh_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/primrosemoor/primrosemoor/datastore"
)

// What one node reads from the store reaches all nodes of all zones. When it is lost,
// another one reads.
func TestOneNodeReadsTheStoreForAll(t *testing.T) {
	is := is.New(t)
	a, b, c := startZone(t, "a", 3), startZone(t, "b", 10), startZone(t, "c", 2)
	all := append(append(append([]*node(nil), a...), b...), c...)
	setNodes(all...)
	waitForAll(t, all...)
	readers := func(nodes []*node) (names []string) {
		for _, n := range nodes {
			if n.manager.ReadsForAll() {
				names = append(names, n.self.Name)
			}
		}
		return names
	}
	waitUntil(t, "only a01 reads", func() bool { r := readers(all); return len(r) == 1 && r[0] == "a01" })
	reached := func(revision uint64, nodes []*node) func() bool {
		return func() bool {
			for _, n := range nodes {
				if n.Position(0).Revision != revision {
					return false
				}
			}
			return true
		}
	}
	locked(a[0], func() uint64 { a[0].read = 7; return 0 })
	waitUntil(t, "all nodes have revision 7", reached(7, all))
	for _, n := range a {
		n.stop()
	}
	rest := all[len(a):]
	waitUntil(t, "only b01 reads", func() bool { r := readers(rest); return len(r) == 1 && r[0] == "b01" })
	locked(b[0], func() uint64 { b[0].read = 9; return 0 })
	waitUntil(t, "all other nodes have revision 9", reached(9, rest))
	is.Equal(a[1].Position(0).Revision, uint64(7))
}

// A state of a later era with a lower revision is newer, and reaches all nodes; so does
// the era in which the configuration was confirmed.
func TestErasReachTheOtherNodes(t *testing.T) {
	is := is.New(t)
	a, b := startNode(t, "a1", "a"), startNode(t, "b1", "b")
	setNodes(a, b)
	waitForAll(t, a, b)
	locked(a, func() bool { a.era, a.read, a.version = 1, 90, 7; return true })
	at := func(p datastore.Position) func() bool { return func() bool { return b.Position(0) == p } }
	waitUntil(t, "b1 has revision 90", at(datastore.Position{Era: 1, Revision: 90}))
	locked(a, func() bool { a.era, a.read = 2, 12; return true })
	waitUntil(t, "b1 has revision 12 of era 2", at(datastore.Position{Era: 2, Revision: 12}))
	waitUntil(t, "b1 has a proof of era 2", func() bool { return locked(b, func() uint64 { return b.proofEra }) == 2 })
	is.Equal(a.Position(0), datastore.Position{Era: 2, Revision: 12})
	locked(b, func() uint64 { b.storeEra = 3; return 3 }) // It has read nothing of it yet.
	waitUntil(t, "a1 knows era 3", func() bool { return a.Era() == 3 })
}

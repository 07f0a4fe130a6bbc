package mesh_test

import (
	"testing"

	"github.com/matryer/is"
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
				if n.Revision(0) != revision {
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
	is.Equal(a[1].Revision(0), uint64(7))
}

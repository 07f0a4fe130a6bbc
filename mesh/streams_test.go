package mesh_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/primrosemoor/primrosemoor/catalog"
	"github.com/primrosemoor/primrosemoor/resume"
)

// twoVersions makes streams of all nodes ambiguous.
func twoVersions(nodes ...*node) {
	for _, n := range nodes {
		n.streams.Update([]*catalog.Route{{
			Name: "chat", Kind: catalog.Streaming, Resume: true, Shares: []catalog.WeightedService{{Service: "llm", Weight: 1}},
		}}, []*catalog.Target{{ID: "i-1", Service: "llm", Version: "v1"}, {ID: "i-2", Service: "llm", Version: "v2"}})
	}
}

// holders returns the nodes that know where a stream began.
func holders(id resume.ID, nodes ...*node) (names []string) {
	for _, n := range nodes {
		if _, ok := n.streams.Lookup(id); ok {
			names = append(names, n.self.Name)
		}
	}
	return names
}

// What one node records is known at the nodes that each other node asks, also after that
// node has failed, in small and large zones and in other zones.
func TestAnyNodeFindsWhereAStreamOfAFailedNodeBegan(t *testing.T) {
	is := is.New(t)
	a, b, c := startZone(t, "a", 10), startZone(t, "b", 1), startZone(t, "c", 2)
	all := slices.Concat(a, b, c)
	setNodes(all...)
	waitForAll(t, all...)
	twoVersions(all...)
	addresses := make(map[string]*node)
	for _, n := range all {
		addresses[n.self.Address] = n
	}
	for i, first := range []*node{a[9], a[0], b[0], c[1]} {
		id := resume.ID(1000 + i)
		first.streams.Record(id, resume.Origin{Service: "llm", Version: "v2"})
		for _, n := range all {
			waitUntil(t, fmt.Sprint(n.self.Name, " finds what ", first.self.Name, " recorded"), func() bool {
				asked := []*node{n}
				for _, address := range n.manager.StreamHolders() {
					if addresses[address] != first {
						asked = append(asked, addresses[address])
					}
				}
				return n == first || len(holders(id, asked...)) > 0
			})
			is.True(len(n.manager.StreamHolders()) <= 9+2*2)
		}
	}
}

func TestStreamsOfAMemberAreKeptByHubsAndTwoOtherZones(t *testing.T) {
	is := is.New(t)
	a, b, c, d, e := startZone(t, "a", 10), startZone(t, "b", 2), startZone(t, "c", 2), startZone(t, "d", 2), startZone(t, "e", 2)
	all := slices.Concat(a, b, c, d, e)
	setNodes(all...)
	waitForAll(t, all...)
	owners := map[string]string{"a": "a01", "b": "b01", "c": "c01", "d": "d01", "e": "e01"}
	waitUntil(t, "only the owners report for their zones", onlyReporters(owners, all...))
	twoVersions(all...)
	a[9].streams.Record(7, resume.Origin{Service: "llm", Version: "v2"})
	// Itself, three hubs, and one node of each of two zones.
	waitUntil(t, "the record is kept by six nodes", func() bool { return len(holders(7, all...)) == 6 })
	time.Sleep(500 * time.Millisecond) // Two heartbeats, in which it would spread further.
	is.Equal(len(holders(7, all...)), 6)
	is.Equal(len(holders(7, slices.Concat(b, c)...)), 2)
}

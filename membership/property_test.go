package membership_test

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/primrosemoor/primrosemoor/internal/rapidtest"
	"github.com/primrosemoor/primrosemoor/objects"
)

// The seed and the number of histories of a regular test run.
const (
	defaultSeed   = "1"
	defaultChecks = "60"
)

func TestMain(m *testing.M) { rapidtest.Main(m, defaultSeed, defaultChecks) }

// disruption is one fault of a history; it lasts until the next one.
type disruption struct {
	Kind  string
	Lasts time.Duration
	First int
	Other int
}

func genDisruptions() *rapid.Generator[[]disruption] {
	kinds := []string{"kill", "join", "cut node", "cut link", "cut zone", "outage", "faults", "calm"}
	lasts := []time.Duration{100 * time.Millisecond, time.Second, 3 * time.Second, 15 * time.Second}
	one := rapid.Custom(func(t *rapid.T) disruption {
		return disruption{
			Kind:  rapid.SampledFrom(kinds).Draw(t, "kind"),
			Lasts: rapid.SampledFrom(lasts).Draw(t, "lasts"),
			First: rapid.IntRange(0, 20).Draw(t, "first"),
			Other: rapid.IntRange(0, 20).Draw(t, "other"),
		}
	})
	return rapid.SliceOfN(one, 1, 10)
}

// inject ends the previous disruption, causes the next one and returns the nodes
// that are then live.
func (n *network) inject(number int, d disruption, nodes []*node) []*node {
	n.setCut(nil)
	n.store.Inject(nil)
	first, other := nodes[d.First%len(nodes)], nodes[d.Other%len(nodes)]
	switch d.Kind {
	case "kill":
		if len(nodes) > 2 {
			first.stop()
			return without(nodes, first)
		}
	case "join":
		return append(slices.Clone(nodes), n.join(fmt.Sprintf("%sx%02d", first.zone, number), first.zone))
	case "cut node":
		n.setCut(func(from, to *node) bool { return from == first || to == first })
	case "cut link":
		n.setCut(func(from, to *node) bool { return from == first && to == other || from == other && to == first })
	case "cut zone":
		n.setCut(func(from, to *node) bool {
			return to == nil && from.zone == first.zone || to != nil && (from.zone == first.zone) != (to.zone == first.zone)
		})
	case "outage":
		n.store.Inject(func(objects.Operation, string) objects.Fault { return objects.Fault{Unavailable: true} })
	case "faults":
		calls := 0
		n.store.Inject(func(objects.Operation, string) objects.Fault {
			n.mu.Lock()
			defer n.mu.Unlock()
			calls++
			return objects.Fault{LoseResponse: calls%2 == 0, Unavailable: calls%3 == 0}
		})
	}
	return nodes
}

func TestViewsAgreeOnceTroublesHaveEnded(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		disruptions := genDisruptions().Draw(rt, "troubles")
		var wrong []string
		synctest.Test(t, func(t *testing.T) {
			n := newNetwork(t)
			nodes := n.joinAll(3, "a", "b")
			for i, d := range disruptions {
				nodes = n.inject(i, d, nodes)
				time.Sleep(d.Lasts)
			}
			nodes = n.inject(len(disruptions), disruption{Kind: "calm"}, nodes)
			time.Sleep(2 * settleTime)
			wrong = disagreements(nodes)
		})
		if len(wrong) > 0 {
			rt.Fatalf("views differ: %v", wrong)
		}
	})
}

// disagreements describes the nodes whose members are not exactly the live
// nodes, or whose reporter is not the node of their zone that considers itself
// the reporter.
func disagreements(nodes []*node) []string {
	var live []string
	for _, n := range nodes {
		live = append(live, n.name)
	}
	slices.Sort(live)
	var wrong []string
	for _, n := range nodes {
		reporter := reporterOf(nodes, n.zone)
		if !slices.Equal(n.names(), live) || reporter == nil || n.Reporter() != reporter.name {
			wrong = append(wrong, fmt.Sprintf("%s sees %v, reporter %s", n.name, n.names(), n.Reporter()))
		}
	}
	return wrong
}

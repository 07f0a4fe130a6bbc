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

// Share of the histories that every test run checks.
const (
	defaultSeed   = "1"
	defaultChecks = "60"
)

func TestMain(m *testing.M) { rapidtest.Main(m, defaultSeed, defaultChecks) }

// trouble is one fault of a history; it lasts until the next one.
type trouble struct {
	Kind  string
	Lasts time.Duration
	First int
	Other int
}

func genTroubles() *rapid.Generator[[]trouble] {
	kinds := []string{"kill", "join", "cut node", "cut link", "cut zone", "outage", "faults", "calm"}
	lasts := []time.Duration{100 * time.Millisecond, time.Second, 3 * time.Second, 15 * time.Second}
	one := rapid.Custom(func(t *rapid.T) trouble {
		return trouble{
			Kind:  rapid.SampledFrom(kinds).Draw(t, "kind"),
			Lasts: rapid.SampledFrom(lasts).Draw(t, "lasts"),
			First: rapid.IntRange(0, 20).Draw(t, "first"),
			Other: rapid.IntRange(0, 20).Draw(t, "other"),
		}
	})
	return rapid.SliceOfN(one, 1, 10)
}

// meet brings a trouble about and returns the nodes that live then.
func (n *network) meet(number int, x trouble, nodes []*node) []*node {
	n.setCut(nil)
	n.store.Inject(nil)
	first, other := nodes[x.First%len(nodes)], nodes[x.Other%len(nodes)]
	switch x.Kind {
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
			return objects.Fault{LoseAnswer: calls%2 == 0, Unavailable: calls%3 == 0}
		})
	}
	return nodes
}

func TestViewsAgreeOnceTroublesHaveEnded(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		troubles := genTroubles().Draw(rt, "troubles")
		var wrong []string
		synctest.Test(t, func(t *testing.T) {
			n := newNetwork(t)
			nodes := n.joinAll(3, "a", "b")
			for i, x := range troubles {
				nodes = n.meet(i, x, nodes)
				time.Sleep(x.Lasts)
			}
			nodes = n.meet(len(troubles), trouble{Kind: "calm"}, nodes)
			time.Sleep(2 * settle)
			wrong = disagreements(nodes)
		})
		if len(wrong) > 0 {
			rt.Fatalf("views differ: %v", wrong)
		}
	})
}

// disagreements returns the nodes whose view is not that of all live nodes, or
// whose zone does not have exactly one reporter, which it follows.
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

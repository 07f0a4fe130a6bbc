package mesh_test

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/primrosemoor/primrosemoor/balance"
	"github.com/primrosemoor/primrosemoor/catalog"
	"github.com/primrosemoor/primrosemoor/rollout"
)

// newVersion is a target of the new version, which fails.
type newVersion struct{}

func (newVersion) Acquire(context.Context, *balance.Work) (*balance.Grant, error) {
	return balance.NewGrant(&catalog.Target{ID: "i-2", Service: "llm", Version: "v2"}, balance.Prediction{}, newVersion{}), nil
}

func (newVersion) FirstEvent(time.Duration)             {}
func (newVersion) SpeedSampled(balance.Sample)          {}
func (newVersion) Ended(balance.Result, balance.Sample) {}

// failAtNewVersion records a failure of the new version at a node.
func (n *node) failAtNewVersion(t *testing.T) {
	t.Helper()
	b := rollout.Balancer{Manager: n.rollouts, Next: newVersion{}}
	grant, err := b.Acquire(t.Context(), &balance.Work{Service: "llm", Route: "chat", Version: "v2"})
	if err != nil {
		t.Fatal(err)
	}
	grant.Done(balance.Failed)
}

// A bad version is cut off by each node from the outcomes at all nodes. One that is counted
// twice, or not at all, makes that too early or too late.
func TestEachNodeKnowsTheOutcomesAtAllNodesOnce(t *testing.T) {
	is := is.New(t)
	a, b, c := startZone(t, "a", 10), startZone(t, "b", 1), startZone(t, "c", 2)
	all := slices.Concat(a, b, c)
	setNodes(all...)
	waitForAll(t, all...)
	order := rollout.Order{Service: "llm", Target: "v2", Duration: time.Minute, Revision: 7}
	a[9].rollouts.Apply("x/1", "x", rollout.Reports{List: []rollout.Report{{Order: order, Phase: rollout.Trial}}})
	know := func(failures int, phase rollout.Phase) func() bool {
		return func() bool {
			return !slices.ContainsFunc(all, func(n *node) bool {
				states := n.rollouts.States()
				return len(states) != 1 || states[0].Order != order || states[0].Phase != phase || states[0].After.Failures != uint64(failures)
			})
		}
	}
	waitUntil(t, "all nodes know the order", know(0, rollout.Trial))
	for _, n := range all {
		n.failAtNewVersion(t)
	}
	waitUntil(t, "all nodes know all outcomes", know(len(all), rollout.Trial))
	time.Sleep(500 * time.Millisecond) // Some more reports on each link.
	is.True(know(len(all), rollout.Trial)())
	a[5].stop()
	b[0].failAtNewVersion(t)
	all = slices.Concat(a[:5], a[6:], b, c)
	waitUntil(t, "what a node that has stopped counted is kept", know(len(a)+len(b)+len(c)+1, rollout.Trial))
	c[1].rollouts.Apply("x/1", "x", rollout.Reports{List: []rollout.Report{{Order: order, Phase: rollout.Shifting}}})
	waitUntil(t, fmt.Sprint("all nodes know the phase ", rollout.Shifting), know(len(a)+len(b)+len(c)+1, rollout.Shifting))
}

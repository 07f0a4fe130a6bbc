package rollout

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/phuslu/log"

	"github.com/primrosemoor/primrosemoor/balance"
)

// newLoneNode returns a node that lists targets of some versions and knows an order for v2.
func newLoneNode(t *testing.T, versions int, phase Phase) *clusterNode {
	n := &clusterNode{cluster: &cluster{t: t, versions: versions}}
	n.manager = New(Options{Zone: "z", Process: "n", Bound: bound, Logger: &log.Logger{Level: log.PanicLevel}, Now: virtualNow})
	n.balancer = &Balancer{Manager: n.manager, Next: n}
	n.manager.UpdateTargets(targetsOf(versions))
	n.manager.Apply("x", "y", Reports{List: []Report{{Order: Order{"s", "v2", time.Minute, 5}, Phase: phase}}})
	return n
}

func (n *clusterNode) acquire(version string) (string, *balance.Grant) {
	grant, err := n.balancer.Acquire(n.t.Context(), &balance.Work{Service: "s", Route: "chat", Version: version})
	if err != nil {
		return "", nil
	}
	return grant.Target.Version, grant
}

// Targets of a version that was reverted drain only some seconds later, when the next order
// may have come.
func TestRevertedVersionGetsNothingAfterTheNextOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newLoneNode(t, 3, Reverted)
		served := make(map[string]int)
		n.manager.Apply("x", "y", Reports{List: []Report{{Order: Order{"s", "v3", time.Minute, 9}, Phase: Ordered}}})
		for range 100 {
			version, _ := n.acquire("")
			served[version]++
		}
		is.Equal(served, map[string]int{"v1": 100})
	})
}

// In a large deployment each node sees few requests of a route, and has to tell slow responses
// by what is usual at all nodes.
func TestSlowResponsesAreKnownAtANodeWithFewRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newLoneNode(t, 2, Trial)
		usual := Counts{Responses: 20}
		for range 20 {
			usual.First = usual.First.plus(timesOf(30 * time.Millisecond))
		}
		n.manager.Apply("x", "y", Reports{List: []Report{{
			Order: Order{"s", "v2", time.Minute, 5}, Phase: Trial, Sums: map[string]Tally{"y": {Series{Route: "chat"}: usual}},
		}}})
		n.manager.judge()
		for _, takes := range []time.Duration{50, 100, 200} {
			_, grant := n.acquire("v2")
			time.Sleep(takes * time.Millisecond)
			grant.Done(balance.Answered)
		}
		is.Equal(n.manager.States()[0].After, Counts{Responses: 3, Slow: 2})
	})
}

// A machine that fails breaks all responses of its target at once, which says little of the
// version.
func TestResponsesThatOneTargetBreaksTogetherCountOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newLoneNode(t, 2, Trial)
		var grants []*balance.Grant
		for range 40 {
			_, grant := n.acquire("v2")
			grants = append(grants, grant)
		}
		for _, grant := range grants {
			grant.Done(balance.Broken)
		}
		is.Equal(n.manager.States()[0].After.Failures, uint64(2)) // It has two targets.
	})
}

// A node that starts after a rollout has ended knows of no old version: what it lists beside
// the target belongs to a later release.
func TestVersionThatComesAfterACompletedRolloutIsUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newLoneNode(t, 2, Completed)
		served := make(map[string]bool)
		for range 100 {
			version, _ := n.acquire("")
			served[version] = true
		}
		is.Equal(served, map[string]bool{"v1": true, "v2": true})
	})
}

// The object of an order that has ended stays in the store. Targets of the next version may
// still be listed before the order that bounds what they get.
func TestVersionListedAfterAnEndedOrderIsHeldBack(t *testing.T) {
	for _, phase := range []Phase{Completed, Reverted} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			n := newLoneNode(t, 2, phase)
			time.Sleep(2 * oldRetention)
			n.versions = 3
			n.manager.UpdateTargets(targetsOf(3))
			for range 100 {
				version, _ := n.acquire("")
				is.True(version != "v3")
			}
			time.Sleep(newVersionDelay)
			n.manager.Apply("x", "y", Reports{List: []Report{{Order: Order{"s", "v2", time.Minute, 5}, Phase: phase}}})
			served := make(map[string]bool)
			for range 100 {
				version, _ := n.acquire("")
				served[version] = true
			}
			is.True(served["v3"]) // It serves beside the others without an order.
		})
	}
}

// withoutOld stands for the choice while the targets of v1 leave, or have crashed and may come
// back: a request that may not go to v2 is refused, or waits.
type withoutOld struct {
	*clusterNode
	wait bool
}

func (o withoutOld) Acquire(ctx context.Context, w *balance.Work) (*balance.Grant, error) {
	narrowed := *w
	narrowed.Barred = append([]string{"v1"}, w.Barred...)
	grant, err := o.clusterNode.Acquire(ctx, &narrowed)
	if err != nil && o.wait {
		<-ctx.Done()
		return nil, context.Cause(ctx)
	}
	return grant, err
}

// Versions may be replaced without an order as before: callers must not be refused because
// the targets that come are held back while those that served leave.
func TestVersionThatIsHeldBackServesWhenNoOtherIsLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newLoneNode(t, 1, Ordered)
		n.manager = New(n.manager.options)
		n.balancer = &Balancer{Manager: n.manager, Next: withoutOld{n, false}}
		n.versions = 2
		n.manager.UpdateTargets(targetsOf(2))
		version, _ := n.acquire("")
		is.Equal(version, "v2")
	})
}

// A request that waits while a version is held back must not wait on for the others, which may
// have crashed, once that version gets requests.
func TestRequestThatWaitsIsServedOnceAVersionIsNoLongerHeldBack(t *testing.T) {
	for _, knownAfter := range []time.Duration{0, 3 * time.Second} { // The latter after a restart.
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			n := newLoneNode(t, 1, Ordered)
			n.manager = New(n.manager.options)
			n.balancer = &Balancer{Manager: n.manager, Next: withoutOld{n, true}}
			n.versions = 2
			n.manager.UpdateTargets(targetsOf(2))
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			go func() {
				for time.Sleep(knownAfter); ctx.Err() == nil; time.Sleep(200 * time.Millisecond) {
					n.manager.Apply("x", "y", Reports{})
				}
			}()
			began := time.Now()
			grant, err := n.balancer.Acquire(ctx, &balance.Work{Service: "s", Route: "chat"})
			is.NoErr(err)
			is.Equal(grant.Target.Version, "v2")
			is.True(time.Since(began) < max(knownAfter, newVersionDelay)+time.Second)
			cancel()
			time.Sleep(time.Second) // The reports end.
		})
	}
}

// A stream goes on at its version only. A node that is cut off may not know that this one is
// bad, and must not send the rest of a stream there.
func TestStreamIsNotContinuedAtAVersionUnderTrialByANodeThatIsCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newLoneNode(t, 2, Trial)
		version, grant := n.acquire("v2")
		is.Equal(version, "v2")
		grant.Done(balance.Answered)
		time.Sleep(contactLimit + time.Second)
		version, _ = n.acquire("v2")
		is.Equal(version, "")
		version, _ = n.acquire("v1")
		is.Equal(version, "v1")
	})
}

// afterListing grants a target of the latest version to a request that has waited since before
// that was listed, as a queue does whose targets were all busy.
type afterListing struct {
	*clusterNode
	during func()
}

func (a *afterListing) Acquire(ctx context.Context, w *balance.Work) (*balance.Grant, error) {
	if a.during != nil {
		a.during()
		a.during = nil
		return preferLatest{a.clusterNode}.Acquire(ctx, w)
	}
	return a.clusterNode.Acquire(ctx, w)
}

// preferLatest grants the target with the highest id that the request allows.
type preferLatest struct{ *clusterNode }

func (p preferLatest) Acquire(_ context.Context, w *balance.Work) (*balance.Grant, error) {
	for _, target := range slices.Backward(targetsOf(p.versions)) {
		if w.Allows(target) {
			return balance.NewGrant(target, balance.Prediction{}, noReporter{}), nil
		}
	}
	return nil, &balance.Refusal{Reason: balance.ReasonNoVersion}
}

// Under overload many requests wait when the free targets of a new version are listed. They
// must not all go there.
func TestRequestThatWaitedWhenAVersionWasListedDoesNotGoThere(t *testing.T) {
	before := Report{Order: Order{"s", "v1", time.Minute, 3}, Phase: Completed}
	order := Report{Order: Order{"s", "v2", time.Minute, 5}, Phase: Ordered}
	for _, test := range []struct{ before, during []Report }{{}, {during: []Report{order}}, {before: []Report{before}}} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			n := newLoneNode(t, 1, Ordered)
			n.manager = New(n.manager.options)
			n.manager.Apply("x", "y", Reports{List: test.before})
			n.manager.UpdateTargets(targetsOf(1))
			time.Sleep(time.Minute)
			n.balancer = &Balancer{Manager: n.manager, Next: &afterListing{n, func() {
				n.versions = 2
				n.manager.UpdateTargets(targetsOf(2))
				n.manager.Apply("x", "y", Reports{List: test.during})
			}}}
			version, _ := n.acquire("")
			is.Equal(version, "v1")
		})
	}
}

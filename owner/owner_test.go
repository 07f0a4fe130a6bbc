package owner_test

import (
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/primrosemoor/primrosemoor/balance"
	"github.com/primrosemoor/primrosemoor/catalog"
	"github.com/primrosemoor/primrosemoor/peer"
	"github.com/primrosemoor/primrosemoor/schema"
)

func TestRequestIsSentToTheTargetThatTheOwnerChose(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, "n1", "n2")
	c.setOwner("n1")
	c.waitUntilLinked("n2")
	grant, err := c.nodes["n2"].manager.Acquire(t.Context(), newWork("r1"))
	is.NoErr(err)
	is.Equal(grant.Target.ID, "n1-target") // the only target of n1's fake balancer
	acquired := <-c.nodes["n1"].balancer.acquires
	is.Equal(acquired.ID, "r1")
	is.Equal(acquired.Rank, 2)
	is.True(time.Until(acquired.Goal) > 800*time.Millisecond && time.Until(acquired.Goal) <= time.Second)
	is.Equal(len(c.nodes["n2"].balancer.acquires), 0)
}

func TestOwnerDoesNotGrantATargetThatWasTried(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, "n1", "n2")
	c.setOwner("n1")
	c.waitUntilLinked("n2")
	w := newWork("r1")
	w.Tried = []string{"n1-target"}
	grant, err := c.nodes["n2"].manager.Acquire(t.Context(), w)
	is.NoErr(err)
	is.Equal(grant.Target.ID, "n2-target") // The owner has only the one that was tried.
	is.Equal((<-c.nodes["n1"].balancer.acquires).Tried, w.Tried)
}

func TestReportsOfAGrantedRequestReachTheOwner(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, "n1", "n2")
	c.setOwner("n1")
	c.waitUntilLinked("n2")
	grant, err := c.nodes["n2"].manager.Acquire(t.Context(), newWork("r1"))
	is.NoErr(err)
	now := time.Now()
	for range 6 {
		grant.Event(now)
		now = now.Add(20 * time.Millisecond)
	}
	grant.Done(balance.Answered)
	reports := c.nodes["n1"].balancer.reports
	is.Equal((<-reports).method, "first")
	sampled := <-reports
	is.Equal(sampled.method, "paced")
	is.Equal(sampled.sample.Gaps, 4)
	is.Equal(sampled.sample.ShortestSpan, 80*time.Millisecond)
	ended := <-reports
	is.Equal(ended.method, "ended")
	is.Equal(ended.result, balance.Answered)
	is.Equal(ended.sample.Gaps, 5)
}

func TestRefusalOfTheOwnerIsReturned(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, "n1", "n2")
	c.setOwner("n1")
	c.waitUntilLinked("n2")
	c.nodes["n1"].balancer.configure(func(b *fakeBalancer) {
		b.refusal = &balance.Refusal{Reason: "no_prospect", RetryAfter: 3 * time.Second}
	})
	_, err := c.nodes["n2"].manager.Acquire(t.Context(), newWork("r1"))
	var refusal *balance.Refusal
	is.True(errors.As(err, &refusal))
	is.Equal(*refusal, balance.Refusal{Reason: "no_prospect", RetryAfter: 3 * time.Second})
}

// A refusal because the owner has no targets is not final: the node that sent the
// request may know some.
func TestNodeDecidesLocallyWhenTheOwnerHasNoTargets(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, "n1", "n2")
	c.setOwner("n1")
	c.waitUntilLinked("n2")
	c.nodes["n1"].balancer.configure(func(b *fakeBalancer) { b.refusal = &balance.Refusal{Reason: balance.ReasonNoTarget} })
	grant, err := c.nodes["n2"].manager.Acquire(t.Context(), newWork("r1"))
	is.NoErr(err)
	is.Equal(grant.Target.ID, "n2-target")
}

func TestCancelledRequestIsWithdrawnAtTheOwner(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, "n1", "n2")
	c.setOwner("n1")
	c.waitUntilLinked("n2")
	c.nodes["n1"].balancer.configure(func(b *fakeBalancer) { b.full = true })
	ctx, cancel := context.WithCancel(t.Context())
	result := make(chan error, 1)
	go func() {
		_, err := c.nodes["n2"].manager.Acquire(ctx, newWork("r1"))
		result <- err
	}()
	<-c.nodes["n1"].balancer.acquires
	cancel()
	is.True(errors.Is(<-result, context.Canceled))
	c.eventually(func() bool { return c.nodes["n1"].balancer.withdrawn.Load() == 1 })
}

// When the owner fails, requests waiting there must get a target from the next
// owner, here n2 itself, and running requests must be registered with n2's balancer.
func TestRequestsSurviveTheFailureOfTheOwner(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, "n1", "n2")
	c.setOwner("n1")
	c.waitUntilLinked("n2")
	running, err := c.nodes["n2"].manager.Acquire(t.Context(), newWork("r1"))
	is.NoErr(err)
	c.nodes["n1"].balancer.configure(func(b *fakeBalancer) { b.full = true })
	granted := make(chan *balance.Grant, 1)
	go func() {
		g, err := c.nodes["n2"].manager.Acquire(t.Context(), newWork("r2"))
		is.NoErr(err)
		granted <- g
	}()
	<-c.nodes["n1"].balancer.acquires
	<-c.nodes["n1"].balancer.acquires
	c.setOwner("n2")
	c.nodes["n1"].stop()
	is.Equal((<-granted).Target.ID, "n2-target")
	is.Equal(<-c.nodes["n2"].balancer.adopted, "n1-target")
	running.Done(balance.Answered)
	ended := <-c.nodes["n2"].balancer.reports
	is.Equal(ended.result, balance.Answered)
}

// A node whose link to the owner breaks registers its requests with its own
// balancer. The owner must stop counting them, or they would be counted twice.
func TestOwnerStopsCountingTheRequestsOfAFailedNode(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, "n1", "n2")
	c.setOwner("n1")
	c.waitUntilLinked("n2")
	_, err := c.nodes["n2"].manager.Acquire(t.Context(), newWork("r1"))
	is.NoErr(err)
	c.nodes["n2"].stop()
	ended := <-c.nodes["n1"].balancer.reports
	is.Equal(ended.method, "ended")
	is.Equal(ended.result, balance.Unreported)
}

// An owner whose process hangs sends no heartbeats. Its nodes must choose targets
// themselves after a fraction of a second.
func TestNodeDecidesLocallyWhileTheOwnerDoesNotAnswer(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, "n1", "n2")
	c.setSilentOwner("n2")
	c.waitUntilLinked("n2")
	began := time.Now()
	grant, err := c.nodes["n2"].manager.Acquire(t.Context(), newWork("r1"))
	is.NoErr(err)
	is.Equal(grant.Target.ID, "n2-target")
	is.True(time.Since(began) < time.Second)
}

func TestNodeDeclinesADrainingTarget(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, "n1", "n2")
	c.setOwner("n1")
	c.waitUntilLinked("n2")
	c.nodes["n2"].targets.Store("n1-target", &catalog.Target{ID: "n1-target", Draining: true})
	grant, err := c.nodes["n2"].manager.Acquire(t.Context(), newWork("r1"))
	is.NoErr(err)
	is.Equal(grant.Target.ID, "n2-target")
	is.Equal((<-c.nodes["n1"].balancer.reports).result, balance.Unsent)
	// A target with the same ID and a later start time is a new one.
	c.nodes["n1"].balancer.configure(func(b *fakeBalancer) { b.started = 5 })
	grant, err = c.nodes["n2"].manager.Acquire(t.Context(), newWork("r2"))
	is.NoErr(err)
	is.Equal(grant.Target.ID, "n1-target")
}

func TestNodeDeclinesATargetThatWantsNoRequestFromIt(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, "n1", "n2")
	c.setOwner("n1")
	c.waitUntilLinked("n2")
	c.nodes["n2"].balancer.configure(func(b *fakeBalancer) { b.unwanted = map[string]bool{"n1-target": true} })
	grant, err := c.nodes["n2"].manager.Acquire(t.Context(), newWork("r1"))
	is.NoErr(err)
	is.Equal(grant.Target.ID, "n2-target")
	is.Equal((<-c.nodes["n1"].balancer.reports).result, balance.Unsent)
}

// The owner does not learn which target it has to be.
func TestNodeDecidesLocallyWhereOnlyOneTargetMayGetTheRequest(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, "n1", "n2")
	c.setOwner("n1")
	c.waitUntilLinked("n2")
	w := newWork("r1")
	w.Only = "n2-target"
	grant, err := c.nodes["n2"].manager.Acquire(t.Context(), w)
	is.NoErr(err)
	is.Equal(grant.Target.ID, "n2-target")
	is.Equal(len(c.nodes["n1"].balancer.acquires), 0)
}

func TestTargetIsTakenForLeavingWhileThatInstanceIsListedSo(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, "n1")
	n := c.nodes["n1"]
	n.targets.Store("drains", &catalog.Target{ID: "drains", Started: 5, Draining: true})
	n.targets.Store("stays", &catalog.Target{ID: "stays", Started: 5})
	n.balancer.configure(func(b *fakeBalancer) { b.unwanted = map[string]bool{"said so": true} })
	leaves := func(id string, started int64) bool {
		return n.manager.Leaves(&catalog.Target{ID: id, Started: started})
	}
	is.True(leaves("drains", 5))
	is.True(!leaves("drains", 4)) // an earlier instance
	is.True(!leaves("stays", 5))
	is.True(leaves("said so", 5))
	is.True(!leaves("unknown", 5))
}

// An owner that does not know what targets ask of a node would grant them to it again
// and again.
func TestOwnerLearnsWhatTargetsAskOfItsNodes(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, "n1", "n2", "n3")
	before := balance.Signal{Target: "i-1", Started: 7, Leaving: true}
	c.nodes["n3"].manager.RecordSignal(before)
	c.setOwner("n1")
	c.waitUntilLinked("n3")
	is.Equal(c.nextRemoteSignal("n1"), remoteSignal{"n3", before})
	later := balance.Signal{Target: "i-2", Started: 8, Pause: 2 * time.Second}
	c.nodes["n3"].manager.RecordSignal(later)
	is.Equal(c.nextRemoteSignal("n1"), remoteSignal{"n3", later})
	_, err := c.nodes["n3"].manager.Acquire(t.Context(), newWork("r1"))
	is.NoErr(err)
	is.Equal((<-c.nodes["n1"].balancer.acquires).Node, "n3")
	c.setOwner("n2")
	c.eventually(c.nodes["n3"].manager.Linked)
	got := []remoteSignal{c.nextRemoteSignal("n2"), c.nextRemoteSignal("n2")}
	is.Equal(got, []remoteSignal{{"n3", before}, {"n3", later}})
}

// When another node becomes the owner, waiting requests must be sent to it even
// though the former owner still answers.
func TestWaitingRequestsMoveToTheNewOwner(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, "n1", "n2", "n3")
	c.setOwner("n1")
	c.waitUntilLinked("n3")
	c.nodes["n1"].balancer.configure(func(b *fakeBalancer) { b.full = true })
	granted := make(chan string, 1)
	go func() {
		g, err := c.nodes["n3"].manager.Acquire(t.Context(), newWork("r1"))
		is.NoErr(err)
		granted <- g.Target.ID
	}()
	<-c.nodes["n1"].balancer.acquires
	c.setOwner("n2")
	to := <-granted
	is.True(to == "n2-target" || to == "n3-target") // n3 chooses itself until it is linked to n2
	c.eventually(func() bool { return c.nodes["n1"].balancer.withdrawn.Load() == 1 })
}

func TestRequestThatNeedsAVersionIsNotSentToAnother(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, "n1", "n2")
	c.setOwner("n1")
	c.waitUntilLinked("n2")
	w := newWork("r1")
	w.Version = "2"
	c.nodes["n2"].targets.Store("n1-target", &catalog.Target{ID: "n1-target", Version: "1"})
	grant, err := c.nodes["n2"].manager.Acquire(t.Context(), w)
	is.NoErr(err)
	is.Equal((<-c.nodes["n1"].balancer.acquires).Version, "2")
	is.Equal(grant.Target.ID, "n2-target") // What this node knows of the owner's choice holds.
}

func TestOwnerIsToldThatANodeHasLostItsLinksAfterTheReportsOfThat(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, "n1", "n2")
	c.setOwner("n1")
	c.waitUntilLinked("n2")
	grant, err := c.nodes["n2"].manager.Acquire(t.Context(), newWork("r1"))
	is.NoErr(err)
	grant.Done(balance.Unreachable)
	c.nodes["n2"].manager.LinksLost("llm")
	is.Equal(<-c.nodes["n2"].balancer.forgiven, " llm")
	is.Equal(<-c.nodes["n1"].balancer.forgiven, "n2 llm")
	is.Equal((<-c.nodes["n1"].balancer.reports).result, balance.Unreachable)
}

func TestOwnerLearnsWhatATargetAskedWhileAnotherNodeSeemedToBeTheOwner(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, "n1", "n2")
	c.setOwner("n1")
	c.waitUntilLinked("n2")
	c.setOwner("n2")
	c.nodes["n2"].manager.RecordSignal(balance.Signal{Target: "i-1", Pause: time.Second})
	c.nodes["n2"].manager.LinksLost("llm")
	c.setOwner("n1")
	is.Equal(c.nextRemoteSignal("n1"), remoteSignal{"n2", balance.Signal{Target: "i-1", Pause: time.Second}})
	select {
	case node := <-c.nodes["n1"].balancer.forgiven:
		is.Equal(node, "n2 llm")
	case <-time.After(eventuallyTimeout):
		t.Fatal("the owner was not told that the links are lost")
	}
}

// The owner went on counting the requests of a node that gave up its link beside more replies
// than fit into a window.
func TestOwnerStopsCountingTheRequestsOfANodeThatLeavesRepliesUnread(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, "n1")
	b := c.nodes["n1"].balancer
	id := peer.Identity{Cluster: "test", Node: "n2", AvailabilityZone: "a", Incarnation: 1}
	pool := peer.NewPool(peer.PoolOptions{Identity: id, Meter: peer.NopMeter{}, DialTimeout: time.Second, CallTimeout: time.Second})
	t.Cleanup(pool.Close)
	stream, err := pool.OpenStream(t.Context(), c.nodes["n1"].self.Address, schema.Method_METHOD_OWNER)
	is.NoErr(err)
	ask := func(number uint64) {
		is.NoErr(stream.Send(&schema.OwnerCall{Asks: []*schema.OwnerAsk{{Number: number, Service: "s"}}}))
		<-b.acquires
	}
	ask(1)
	is.NoErr(stream.Receive(&schema.OwnerReply{}))
	b.configure(func(b *fakeBalancer) { b.refusal = &balance.Refusal{Reason: strings.Repeat("x", 1<<20)} })
	ask(2)
	time.Sleep(100 * time.Millisecond) // The window is full then.
	is.NoErr(stream.Close())
	select {
	case ended := <-b.reports:
		is.Equal(ended.result, balance.Unreported)
	case <-time.After(2 * time.Second):
		t.Fatal("the request is still counted")
	}
}

// Without the flag a copy waits in the owner's queue.
func TestOwnerLearnsThatACopyMustNotWait(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, "n1", "n2")
	c.setOwner("n1")
	c.waitUntilLinked("n2")
	w := newWork("r1")
	w.NoWait, w.MaxInUse = true, 0.65
	_, err := c.nodes["n2"].manager.Acquire(t.Context(), w)
	is.NoErr(err)
	got := <-c.nodes["n1"].balancer.acquires
	is.True(got.NoWait)
	is.Equal(got.MaxInUse, 0.65)
}

package balance_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/primrosemoor/primrosemoor/balance"
	"github.com/primrosemoor/primrosemoor/catalog"
	"github.com/primrosemoor/primrosemoor/logging"
)

const (
	signalDrain = 2 * time.Second
	pauseLength = 3 * time.Second
)

// startTargets runs a manager with the given targets, which have two slots each.
func startTargets(t *testing.T, targets ...string) *balance.Manager {
	t.Helper()
	m := balance.NewManager(balance.Options{
		Node: "n1", Zone: "a", Regions: map[string]string{"a": "r"}, Logger: logging.Discard(), Drain: signalDrain,
		Publish: func(string, balance.Use) {}, PublishSend: func(string) {}, PublishQueue: func(string, int, int) {},
	})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		m.Run(ctx)
		close(done)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	list(m, 1, targets...)
	return m
}

// list makes the given targets, started at an instant, those of the service.
func list(m *balance.Manager, started int64, targets ...string) {
	var all []*catalog.Target
	for _, id := range targets {
		all = append(all, &catalog.Target{ID: id, Service: "s", Zone: "a", Slots: 2, Started: started})
	}
	m.ApplyTargets(all, nil)
}

func leaves(target string) balance.Signal {
	return balance.Signal{Target: target, Started: 1, Leaving: true}
}

func pauses(target string) balance.Signal {
	return balance.Signal{Target: target, Started: 1, Pause: pauseLength}
}

// countSent sends requests one after another, each answered at once, and returns how
// many went to each target.
func countSent(is *is.I, m *balance.Manager, node string, requests int) map[string]int {
	sent := make(map[string]int)
	for range requests {
		w := work()
		w.Node = node
		g, err := m.Acquire(context.Background(), w)
		is.NoErr(err)
		sent[g.Target.ID]++
		g.Done(balance.Answered)
	}
	return sent
}

func refusalOf(is *is.I, m *balance.Manager, w *balance.Work) *balance.Refusal {
	_, err := m.Acquire(context.Background(), w)
	var refusal *balance.Refusal
	is.True(errors.As(err, &refusal))
	return refusal
}

func TestTargetThatSaysItLeavesIsNotChosen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := startTargets(t, "i-1", "i-2")
		is.True(m.RecordSignal(leaves("i-1")))
		is.True(!m.RecordSignal(leaves("i-1")))
		is.Equal(countSent(is, m, "", 20), map[string]int{"i-2": 20})
		list(m, 1, "i-2")
		list(m, 1, "i-1", "i-2") // As after an outage of the store.
		is.Equal(countSent(is, m, "", 20), map[string]int{"i-2": 20})
		list(m, 2, "i-1", "i-2")
		is.True(countSent(is, m, "", 20)["i-1"] > 0)
	})
}

func TestTargetThatLeftIsNotChosenByAnOldListing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := startTargets(t, "i-1", "i-2")
		m.RecordSignal(balance.Signal{Target: "i-1", Started: 5, Leaving: true})
		list(m, 4, "i-1", "i-2")
		is.Equal(countSent(is, m, "", 20), map[string]int{"i-2": 20})
	})
}

func TestTargetThatSaidToAnotherNodeThatItLeavesIsNotChosen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := startTargets(t, "i-1", "i-2")
		m.RecordRemoteSignal("n2", leaves("i-1"))
		is.Equal(countSent(is, m, "", 20), map[string]int{"i-2": 20})
		is.Equal(countSent(is, m, "n3", 20), map[string]int{"i-2": 20})
		is.Equal(m.Signals(), []balance.Signal{leaves("i-1")})
	})
}

// While all targets leave, requests that may still be sent are not refused.
func TestLeavingTargetsServeWhileNoOtherDoes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := startTargets(t, "i-1", "i-2")
		m.RecordSignal(leaves("i-1"))
		m.RecordSignal(leaves("i-2"))
		sent := countSent(is, m, "", 10)
		is.Equal(sent["i-1"]+sent["i-2"], 10)
		old := work()
		time.Sleep(signalDrain)
		is.True(m.MaySend(&catalog.Target{ID: "i-1", Started: 1}, old.Arrived))
		is.True(!m.MaySend(&catalog.Target{ID: "i-1", Started: 1}, time.Now()))
		is.True(m.MaySend(&catalog.Target{ID: "i-1", Started: 2}, time.Now()))
		refusalOf(is, m, work())
		list(m, 1, "i-1", "i-2", "i-3")
		is.Equal(countSent(is, m, "", 20), map[string]int{"i-3": 20})
	})
}

func TestLeavingTargetIsNotUsedWhileOthersAreFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := startTargets(t, "i-1", "i-2")
		m.RecordSignal(leaves("i-1"))
		for range 2 {
			_, err := m.Acquire(t.Context(), work())
			is.NoErr(err)
		}
		is.Equal(refusalOf(is, m, work()).Reason, "no_prospect")
	})
}

func TestPauseBindsOnlyTheNodeThatItWasAskedOf(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := startTargets(t, "i-1", "i-2")
		m.RecordRemoteSignal("n2", pauses("i-1"))
		is.Equal(countSent(is, m, "n2", 20), map[string]int{"i-2": 20})
		is.True(countSent(is, m, "", 20)["i-1"] > 0)
		is.True(m.MaySend(&catalog.Target{ID: "i-1", Started: 1}, time.Now()))
		m.RecordSignal(pauses("i-2"))
		is.Equal(countSent(is, m, "", 20), map[string]int{"i-1": 20})
		is.True(!m.MaySend(&catalog.Target{ID: "i-2", Started: 1}, time.Now()))
		time.Sleep(pauseLength)
		is.True(m.MaySend(&catalog.Target{ID: "i-2", Started: 1}, time.Now()))
	})
}

func TestShorterPauseDoesNotEndALongerOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := startTargets(t, "i-1", "i-2")
		m.RecordSignal(pauses("i-1"))
		m.RecordSignal(balance.Signal{Target: "i-1", Started: 1, Pause: time.Millisecond})
		time.Sleep(pauseLength / 2)
		is.True(!m.MaySend(&catalog.Target{ID: "i-1", Started: 1}, time.Now()))
		is.Equal(countSent(is, m, "", 20), map[string]int{"i-2": 20})
	})
}

func TestPauseOutlastsAGapInTheListing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := startTargets(t, "i-1", "i-2")
		m.RecordSignal(pauses("i-1"))
		list(m, 1, "i-2")
		list(m, 1, "i-1", "i-2")
		is.Equal(countSent(is, m, "", 20), map[string]int{"i-2": 20})
		list(m, 2, "i-1", "i-2") // A new start knows nothing of it.
		is.True(countSent(is, m, "", 20)["i-1"] > 0)
	})
}

// Waiting requests do not all rush to a target when its pause ends.
func TestOneRequestAtATimeIsSentAfterAPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := startTargets(t, "i-1")
		m.RecordSignal(balance.Signal{Target: "i-1", Started: 1, Pause: 500 * time.Millisecond})
		grants := make(chan *balance.Grant, 2)
		for range 2 {
			go func() {
				g, err := m.Acquire(context.Background(), work())
				is.NoErr(err)
				grants <- g
			}()
		}
		time.Sleep(520 * time.Millisecond)
		is.Equal(len(grants), 1)
		first := <-grants
		first.Done(balance.Rejected)
		time.Sleep(20 * time.Millisecond)
		is.Equal(len(grants), 1) // The next one, since the target did not ask for a pause again.
		(<-grants).Done(balance.Answered)
		is.Equal(countSent(is, m, "", 2), map[string]int{"i-1": 2})
	})
}

func TestFirstEventEndsTheTrialAfterAPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := startTargets(t, "i-1")
		m.ApplyTargets([]*catalog.Target{{ID: "i-1", Service: "s", Zone: "a", Slots: 2, Started: 1}},
			map[string]*catalog.Service{"s": {Name: "s", Engine: &catalog.Engine{Slots: 2, EventTokens: 1}}})
		m.RecordSignal(balance.Signal{Target: "i-1", Started: 1, Pause: 100 * time.Millisecond})
		first, err := m.Acquire(context.Background(), work())
		is.NoErr(err)
		first.Event(time.Now())
		began := time.Now()
		_, err = m.Acquire(context.Background(), work())
		is.NoErr(err)
		is.True(time.Since(began) < 50*time.Millisecond)
	})
}

func TestRequestWaitsForAPauseThatEndsWithinItsGoal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := startTargets(t, "i-1")
		m.RecordSignal(balance.Signal{Target: "i-1", Started: 1, Pause: 600 * time.Millisecond})
		began := time.Now()
		_, err := m.Acquire(context.Background(), work())
		is.NoErr(err)
		is.True(time.Since(began) >= 600*time.Millisecond)
		is.True(time.Since(began) <= 700*time.Millisecond)
	})
}

func TestRequestIsRefusedAtOnceWhileAllTargetsAskForAPauseBeyondItsGoal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := startTargets(t, "i-1", "i-2")
		m.RecordSignal(balance.Signal{Target: "i-1", Started: 1, Pause: 1200 * time.Millisecond})
		m.RecordSignal(balance.Signal{Target: "i-2", Started: 1, Pause: time.Minute})
		began := time.Now()
		r := refusalOf(is, m, work())
		is.Equal(time.Since(began), time.Duration(0))
		is.Equal(r.Reason, balance.ReasonPaused)
		is.Equal(r.RetryAfter, 1200*time.Millisecond)
		short := work()
		short.End = short.Arrived.Add(1500 * time.Millisecond)
		is.Equal(refusalOf(is, m, short).RetryAfter, 500*time.Millisecond)
	})
}

// A target is not tried twice for one request, so that there is nothing to wait for.
func TestRequestThatTheOnlyTargetRefusedDoesNotWaitForItsPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := startTargets(t, "i-1")
		m.RecordSignal(balance.Signal{Target: "i-1", Started: 1, Pause: 300 * time.Millisecond})
		w := work()
		w.Tried = []string{"i-1"}
		began := time.Now()
		is.Equal(refusalOf(is, m, w).RetryAfter, 300*time.Millisecond)
		is.Equal(time.Since(began), time.Duration(0))
	})
}

// What another node has learned is complete for a node that becomes the owner of the zone.
func TestSignalsThatStillHoldAreListed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := startTargets(t, "i-1", "i-2", "i-3")
		m.RecordSignal(leaves("i-1"))
		m.RecordSignal(pauses("i-2"))
		m.RecordRemoteSignal("n2", pauses("i-3"))
		time.Sleep(time.Second)
		got := make(map[string]balance.Signal)
		for _, s := range m.Signals() {
			got[s.Target] = s
		}
		is.Equal(got, map[string]balance.Signal{
			"i-1": leaves("i-1"), "i-2": {Target: "i-2", Started: 1, Pause: pauseLength - time.Second},
		})
		time.Sleep(pauseLength)
		is.Equal(m.Signals(), []balance.Signal{leaves("i-1")})
	})
}

func TestSignalsOfTargetsThatAreGoneAreForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := startTargets(t, "i-1", "i-2")
		m.RecordSignal(leaves("i-1"))
		m.RecordSignal(leaves("i-2"))
		list(m, 1, "i-2")
		time.Sleep(time.Hour)
		list(m, 1, "i-2")
		synctest.Wait()
		is.Equal(m.Signals(), []balance.Signal{leaves("i-2")})
	})
}

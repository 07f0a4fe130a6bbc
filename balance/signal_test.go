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

const signalDrain = 2 * time.Second

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

// countSent sends requests one after another, each answered at once, and returns how
// many went to each target.
func countSent(is *is.I, m *balance.Manager, requests int) map[string]int {
	sent := make(map[string]int)
	for range requests {
		w := work()
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
		is.Equal(countSent(is, m, 20), map[string]int{"i-2": 20})
		list(m, 1, "i-2")
		list(m, 1, "i-1", "i-2") // As after an outage of the store.
		is.Equal(countSent(is, m, 20), map[string]int{"i-2": 20})
		list(m, 2, "i-1", "i-2")
		is.True(countSent(is, m, 20)["i-1"] > 0)
	})
}

func TestTargetThatLeftIsNotChosenByAnOldListing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := startTargets(t, "i-1", "i-2")
		m.RecordSignal(balance.Signal{Target: "i-1", Started: 5, Leaving: true})
		list(m, 4, "i-1", "i-2")
		is.Equal(countSent(is, m, 20), map[string]int{"i-2": 20})
	})
}

func TestTargetThatSaidToAnotherNodeThatItLeavesIsNotChosen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := startTargets(t, "i-1", "i-2")
		m.RecordRemoteSignal(leaves("i-1"))
		is.Equal(countSent(is, m, 20), map[string]int{"i-2": 20})
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
		sent := countSent(is, m, 10)
		is.Equal(sent["i-1"]+sent["i-2"], 10)
		old := work()
		time.Sleep(signalDrain)
		is.True(m.MaySend(&catalog.Target{ID: "i-1", Started: 1}, old.Arrived))
		is.True(!m.MaySend(&catalog.Target{ID: "i-1", Started: 1}, time.Now()))
		is.True(m.MaySend(&catalog.Target{ID: "i-1", Started: 2}, time.Now()))
		refusalOf(is, m, work())
		list(m, 1, "i-1", "i-2", "i-3")
		is.Equal(countSent(is, m, 20), map[string]int{"i-3": 20})
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

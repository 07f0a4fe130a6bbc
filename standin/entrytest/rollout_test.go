package entrytest

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/primrosemoor/primrosemoor/standin/worker"
)

// rolloutTime is the time limit of the orders, and rolloutPause the time between two requests
// at each node.
const (
	rolloutTime  = 10 * time.Second
	rolloutPause = 5 * time.Millisecond
)

// rolloutWorld is a deployment whose service is moved from version v1 to v2.
type rolloutWorld struct {
	*testEnv
	nodes              []*node
	before, after      *worker.Worker
	requests, failures atomic.Int64
	stopped            []atomic.Bool
}

// startRollout starts nodes and workers, writes the order, and sends requests to all nodes
// until the test ends.
func startRollout(t *testing.T, faults worker.Faults) *rolloutWorld {
	t.Helper()
	env := newLoneTestEnv(t)
	w := &rolloutWorld{testEnv: env, before: env.startWorker("i-a", "app", 0), stopped: make([]atomic.Bool, 3)}
	for i := range w.stopped {
		s := env.settings(i + 1)
		s.Bounds.ExposureShare, s.Bounds.ExposureSlack, s.Bounds.Rollback = 0.1, 50, durationpb.New(5*time.Second)
		w.nodes = append(w.nodes, env.startNodeWith(i+1, s))
	}
	for _, n := range w.nodes {
		env.waitReady(n)
	}
	if err := env.store.Put("rollouts", "app", map[string]any{"service": "app", "target": "v2", "durationS": rolloutTime.Seconds()}); err != nil {
		t.Fatal(err)
	}
	w.after = env.startWorkerAs(&worker.Worker{ID: "i-b", Service: "app", Version: "v2"})
	w.after.SetFaults(faults)
	done := make(chan struct{})
	var senders sync.WaitGroup
	for i, n := range w.nodes {
		senders.Go(func() {
			for k := 0; ; k++ {
				select {
				case <-done:
					return
				case <-time.After(rolloutPause):
				}
				if w.stopped[i].Load() {
					continue
				}
				got := n.post([]string{"look", "book"}[k%2], fmt.Sprint("r-", i, "-", k))
				if w.stopped[i].Load() {
					continue
				}
				w.requests.Add(1)
				if got.status != 200 {
					w.failures.Add(1)
				}
			}
		})
	}
	t.Cleanup(func() {
		close(done)
		senders.Wait()
	})
	return w
}

// rolloutStatus is the status as operators see it.
type rolloutStatus struct{ State, Target, Phase, Decider string }

func (w *rolloutWorld) status() (s rolloutStatus) {
	o, _ := w.store.Object("rollouts", "app")
	// An order without a status has an empty state.
	_ = json.Unmarshal(o.Status, &s)
	return s
}

func (w *rolloutWorld) waitState(state string) {
	w.t.Helper()
	w.waitFor("the rollout is "+state, func() bool { return w.status().State == state })
}

func TestGoodVersionGetsAllRequestsWithinTheTimeLimit(t *testing.T) {
	is := is.New(t)
	w := startRollout(t, worker.Faults{})
	began := time.Now()
	w.waitState("in_progress")
	w.waitFor("the trial is over", func() bool { return w.status().Phase == "shifting" })
	is.True(time.Since(began) > rolloutTime/2)
	share := float64(len(w.after.RunCounts())) / float64(w.requests.Load())
	is.True(share > 0.03 && share < 0.09) // The version under trial gets too much, or too little to tell.
	w.waitState("completed")
	is.True(time.Since(began) < rolloutTime)
	is.Equal(w.status().Target, "v2")
	before := len(w.before.RunCounts())
	w.before.Stop() // Old workers stop at once, without draining.
	time.Sleep(500 * time.Millisecond)
	is.Equal(len(w.before.RunCounts()), before)
	is.Equal(w.failures.Load(), int64(0))
	t.Logf("%d requests, share under trial %.3f, calls to the store for rollouts: %d reads, %d writes", w.requests.Load(), share,
		w.store.CallCounts()["GET rollouts"], w.store.CallCounts()["PUT rollouts"])
}

// checkReverted waits until a version is reverted, and checks that few callers saw it.
func (w *rolloutWorld) checkReverted(is *is.I) {
	is.Helper()
	w.waitState("reverted")
	runs := len(w.after.RunCounts())
	is.True(runs < 50)
	time.Sleep(time.Second)
	is.Equal(len(w.after.RunCounts()), runs) // A version that is reverted gets requests.
	is.Equal(w.status().Target, "v2")
}

func TestBadVersionIsReverted(t *testing.T) {
	is := is.New(t)
	w := startRollout(t, worker.Faults{Errors: true})
	w.checkReverted(is)
}

// The one who decides may be killed at any moment: another node has to take over in time.
func TestAnotherNodeDecidesWhenTheDeciderIsKilled(t *testing.T) {
	for _, good := range []bool{true, false} {
		t.Run(fmt.Sprint("good version ", good), func(t *testing.T) {
			is := is.New(t)
			w := startRollout(t, worker.Faults{})
			w.waitState("in_progress")
			decider := w.status().Decider
			for i, n := range w.nodes {
				if strings.HasPrefix(decider, fmt.Sprint("edge-", i+1, "/")) {
					w.stopped[i].Store(true)
					n.end()
				}
			}
			if good {
				w.waitState("completed")
			} else {
				w.after.SetFaults(worker.Faults{Errors: true})
				w.waitState("reverted")
			}
			is.True(w.status().Decider != decider)
		})
	}
}

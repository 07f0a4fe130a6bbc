package entrytest

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/primrosemoor/primrosemoor/standin/worker"
)

// versionTestStreams is how many streams break off in a test. Targets of other versions
// have most of the slots, so that a choice among all targets takes one of them.
const versionTestStreams = 6

// awaitListed waits until a node lists workers that have started.
func (env *testEnv) awaitListed(n *node, workers ...*worker.Worker) {
	env.t.Helper()
	env.waitFor(n.ip+" lists the workers", func() bool {
		status, err := n.status(env.t)
		if err != nil {
			return false
		}
		listed := make(map[string]bool)
		for _, g := range status.GetGroups() {
			for _, target := range g.GetTargets() {
				listed[target.GetName()] = true
			}
		}
		return !slices.ContainsFunc(workers, func(w *worker.Worker) bool { return !listed[w.ID] })
	})
}

// streamWorker starts a worker of the streaming service.
func (env *testEnv) streamWorker(id, version string, eventTime time.Duration) *worker.Worker {
	env.t.Helper()
	return env.startWorkerAs(&worker.Worker{ID: id, Service: "llm", Version: version, Events: 20, ServiceTime: eventTime})
}

// startOtherVersions starts workers of two other versions.
func (env *testEnv) startOtherVersions() []*worker.Worker {
	env.t.Helper()
	var workers []*worker.Worker
	for i := range 6 {
		workers = append(workers, env.streamWorker(fmt.Sprint("i-other", i), fmt.Sprint("v", 2+i%2), 5*time.Millisecond))
	}
	return workers
}

// ranAny reports whether a worker has run any request with the prefix.
func ranAny(workers []*worker.Worker, prefix string) bool {
	for _, w := range workers {
		for id := range w.RunCounts() {
			if strings.HasPrefix(id, prefix) {
				return true
			}
		}
	}
	return false
}

// beginStreams sends streams to a node and returns a function that waits for their ends.
func (env *testEnv) beginStreams(n *node, first *worker.Worker) (wait func() []response) {
	env.t.Helper()
	var wg sync.WaitGroup
	got := make([]response, versionTestStreams)
	for i := range got {
		wg.Go(func() { got[i] = n.post("chat", fmt.Sprint("id-", i)) })
	}
	env.waitFor("the first worker runs all streams", func() bool { return len(first.RunCounts()) == versionTestStreams })
	return func() []response {
		wg.Wait()
		return got
	}
}

func TestBrokenStreamGoesOnAtTheVersionThatBeganIt(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(t)
	first := env.streamWorker("i-a", "v1", 100*time.Millisecond)
	first.SetFaults(worker.Faults{CutAfter: 10})
	nodes := env.startNodes(2)
	wait := env.beginStreams(nodes[1], first)
	others := env.startOtherVersions()
	same := env.streamWorker("i-b", "v1", 5*time.Millisecond)
	for _, got := range wait() {
		is.NoErr(got.err)
		is.Equal(got.body, streamBody(20))
	}
	is.True(!ranAny(others, "id-"))                     // A stream goes on at another version.
	is.Equal(len(same.RunCounts()), versionTestStreams) // All streams go on.
}

// Callers whose stream has broken off come back to any node. The one that began the stream
// may have stopped, and may be in another zone.
func TestCallerTakesAStreamUpAtTheVersionThatBeganIt(t *testing.T) {
	const eventTime = 250 * time.Millisecond
	for _, c := range []struct {
		name             string
		nodes, first, at int
		firstStops       bool
	}{
		{"at the node that began it", 2, 1, 1, false},
		{"at another node", 3, 1, 2, false},
		{"after the first node has stopped", 3, 1, 2, true},
		{"in a zone with hubs", 12, 7, 8, false},
		{"in a zone with hubs after the first node has stopped", 12, 7, 8, true},
		{"in another zone after the first node has stopped", 12, 11, 5, true},
		{"in another zone with hubs after the first node has stopped", 12, 7, 11, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			env := newLoneTestEnv(t)
			first := env.streamWorker("i-a", "v1", eventTime)
			nodes := env.startNodes(c.nodes)
			wait := env.beginStreams(nodes[c.first], first)
			others := env.startOtherVersions()
			env.awaitListed(nodes[c.at], others...)
			time.Sleep(2 * eventTime) // All streams have begun.
			first.Stop()
			for _, got := range wait() {
				is.True(got.err != nil) // No target of its version is left.
			}
			if c.firstStops {
				stopAll(nodes[c.first : c.first+1])
			}
			same := env.streamWorker("i-b", "v1", 5*time.Millisecond)
			env.awaitListed(nodes[c.at], same)
			for i := range versionTestStreams {
				got := nodes[c.at].resume("chat", fmt.Sprint("again-", i), fmt.Sprint("id-", i), 5)
				is.NoErr(got.err)
				is.Equal(got.body, strings.TrimPrefix(streamBody(20), streamBody(5)))
			}
			is.True(!ranAny(others, "again-")) // A stream goes on at another version.
			is.Equal(len(same.RunCounts()), versionTestStreams)
		})
	}
}

func TestStreamOfAnUnknownVersionGoesOnOnlyWhileOneVersionServes(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(t)
	only := env.streamWorker("i-a", "v1", 5*time.Millisecond)
	nodes := env.startNodes(3)
	got := nodes[0].resume("chat", "again-1", "unknown-1", 5)
	is.NoErr(got.err)
	is.Equal(got.status, 200)
	others := env.startOtherVersions()
	env.awaitListed(nodes[1], others...)
	for i := 2; i < 8; i++ {
		got = nodes[1].resume("chat", fmt.Sprint("again-", i), fmt.Sprint("unknown-", i), 5)
		is.NoErr(got.err)
		is.Equal(got.status, 503)
		is.True(got.header.Get("Retry-After") != "")
	}
	is.Equal(len(only.RunCounts()), 1)
	is.True(!ranAny(others, "again-"))
}

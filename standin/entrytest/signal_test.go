package entrytest

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/primrosemoor/primrosemoor/settings"
	"github.com/primrosemoor/primrosemoor/standin/worker"
)

const (
	// From refusalSlack after a worker refused a request of a node with Retry-After to the
	// end of that time, no more than sentWhilePaused requests of the node may reach it.
	refusalSlack    = 500 * time.Millisecond
	sentWhilePaused = 2
	statedPause     = 3 * time.Second
)

// drainBound is the time after a node's first answer of a worker that leaves after which
// nothing from that node may reach the worker.
func drainBound() time.Duration { return settings.DefaultGateway().Bounds.Drain.AsDuration() }

// answered is one answer that a caller got.
type answered struct {
	node     int
	at       time.Time
	response response
}

// callEach sends requests from several callers to each node, with ids that begin with
// the node's number, and returns all answers.
func callEach(nodes []*node, route string, callers int, length time.Duration) []answered {
	var mu sync.Mutex
	var all []answered
	var wg sync.WaitGroup
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for i, n := range nodes {
		for c := range callers {
			wg.Go(func() {
				for k, start := 0, time.Now(); time.Since(start) < length; k++ {
					got := n.postWith(client, route, fmt.Sprintf("%d-%s-%d-%d", i, route, c, k))
					mu.Lock()
					all = append(all, answered{i, time.Now(), got})
					mu.Unlock()
					time.Sleep(30 * time.Millisecond)
				}
			})
		}
	}
	wg.Wait()
	return all
}

// servedShare returns the share of requests that succeeded.
func servedShare(all []answered) float64 {
	served := 0
	for _, a := range all {
		if a.response.status == http.StatusOK && a.response.err == nil {
			served++
		}
	}
	return float64(served) / float64(len(all))
}

// arrivalsFrom returns the requests of a node that reached a worker.
func arrivalsFrom(node int, w *worker.Worker) (arrivals []worker.Arrival) {
	for _, a := range w.Arrivals() {
		if strings.HasPrefix(a.ID, fmt.Sprintf("%d-", node)) {
			arrivals = append(arrivals, a)
		}
	}
	return arrivals
}

// arrivalsAfterDrain returns how many nodes have passed on an answer of a worker that
// leaves, and how many of their requests have reached the worker after the drain bound.
func arrivalsAfterDrain(all []answered, leaving *worker.Worker) (told, late int) {
	first := make(map[int]time.Time)
	for _, a := range all {
		if a.response.header.Get("Server-Leaving") != "" && (first[a.node].IsZero() || a.at.Before(first[a.node])) {
			first[a.node] = a.at
		}
	}
	for i, at := range first {
		for _, a := range arrivalsFrom(i, leaving) {
			if a.At.After(at.Add(drainBound())) {
				late++
			}
		}
	}
	return len(first), late
}

// startSignalNodes starts three nodes in two zones, the first two in one, and lets each
// learn the speed of a worker.
func startSignalNodes(is *is.I, env *testEnv, route string) []*node {
	nodes := []*node{env.startNode(1), env.startNode(2), env.startNodeInZone(3, "b")}
	for i, n := range nodes {
		env.waitReady(n)
		is.Equal(n.post(route, fmt.Sprint("first-", i)).status, http.StatusOK)
	}
	return nodes
}

func events(service string) int {
	if service == "llm" {
		return 5
	}
	return 0
}

func TestWorkerThatSaysItLeavesGetsNothingMore(t *testing.T) {
	for service, route := range map[string]string{"app": "look", "llm": "chat"} {
		t.Run(service, func(t *testing.T) {
			is := is.New(t)
			env := newTestEnv(t)
			leaving := env.startWorker("i-leaving", service, events(service))
			nodes := startSignalNodes(is, env, route)
			for i := range 2 {
				env.startWorker(fmt.Sprint("i-", i), service, events(service))
			}
			time.Sleep(time.Second) // The nodes learn of them.
			leaving.SetFaults(worker.Faults{Leaving: true})
			all := callEach(nodes, route, 4, drainBound()+2*time.Second)
			told, late := arrivalsAfterDrain(all, leaving)
			t.Logf("%d nodes were told, %d requests reached the worker, %d of them too late; %.3f served",
				told, len(leaving.Arrivals())-len(nodes), late, servedShare(all))
			is.True(told > 0)
			is.Equal(late, 0)
			is.True(servedShare(all) > 0.99)
		})
	}
}

// If all workers leave at once, callers are served for as long as the drain bound allows.
func TestCallersAreServedWhileAllWorkersLeave(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(t)
	leaving := env.startWorker("i-leaving", "app", 0)
	nodes := startSignalNodes(is, env, "look")
	leaving.SetFaults(worker.Faults{Leaving: true})
	all := callEach(nodes, "look", 1, drainBound()/4)
	is.Equal(servedShare(all), 1.0)
	all = append(all, callEach(nodes, "look", 1, drainBound()+time.Second)...)
	told, late := arrivalsAfterDrain(all, leaving)
	t.Logf("%d nodes were told, %d requests reached the worker, %d of them too late; %.3f of %d served",
		told, len(leaving.Arrivals())-len(nodes), late, servedShare(all), len(all))
	is.Equal(told, len(nodes))
	is.Equal(late, 0)
	env.startWorker("i-next", "app", 0)
	time.Sleep(time.Second) // The nodes learn of it.
	is.Equal(servedShare(callEach(nodes, "look", 2, time.Second)), 1.0)
}

func TestWorkerThatAsksForAPauseGetsNothingMeanwhile(t *testing.T) {
	for service, route := range map[string]string{"app": "look", "llm": "chat"} {
		t.Run(service, func(t *testing.T) {
			is := is.New(t)
			env := newTestEnv(t)
			pausing := env.startWorker("i-pausing", service, events(service))
			nodes := startSignalNodes(is, env, route)
			for i := range 2 {
				env.startWorker(fmt.Sprint("i-", i), service, events(service))
			}
			time.Sleep(time.Second) // The nodes learn of them.
			pausing.SetFaults(worker.Faults{Overloaded: true, RetryAfter: statedPause.Seconds()})
			all := callEach(nodes, route, 4, 2*statedPause+time.Second)
			most, refusals := 0, 0
			for i := range nodes {
				refused := refusedOnly(arrivalsFrom(i, pausing))
				refusals += len(refused)
				most = max(most, mostWhilePaused(refused))
			}
			t.Logf("%d refusals, at most %d requests of a node during a pause; %.3f served", refusals, most, servedShare(all))
			is.True(refusals > 0)
			is.True(most <= sentWhilePaused)
			is.True(servedShare(all) > 0.99)
			pausing.SetFaults(worker.Faults{})
			before := len(pausing.RunTimes())
			callEach(nodes, route, 4, statedPause+time.Second)
			is.True(len(pausing.RunTimes()) > before) // It is used again.
		})
	}
}

// refusedOnly returns the arrivals that the worker refused.
func refusedOnly(arrivals []worker.Arrival) (refused []worker.Arrival) {
	for _, a := range arrivals {
		if a.Refused {
			refused = append(refused, a)
		}
	}
	return refused
}

// mostWhilePaused returns the largest number of arrivals during the pause that one of
// them was answered with.
func mostWhilePaused(refused []worker.Arrival) int {
	most := 0
	for _, first := range refused {
		n := 0
		for _, a := range refused {
			if after := a.At.Sub(first.At); after > refusalSlack && after < statedPause {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// Callers whose goal passes before the pause ends must not be held.
func TestCallersAreToldThePauseThatAllWorkersAskFor(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(t)
	pausing := env.startWorker("i-pausing", "app", 0)
	nodes := startSignalNodes(is, env, "look")
	pausing.SetFaults(worker.Faults{Overloaded: true, RetryAfter: 0.8})
	for i := range 4 {
		began := time.Now()
		got := nodes[1].post("look", fmt.Sprint("1-", i))
		is.Equal(got.status, http.StatusServiceUnavailable)
		is.True(time.Since(began) < 400*time.Millisecond)
		is.True(strings.HasPrefix(got.header.Get("Retry-After"), "0.")) // Not longer than the pause.
	}
	is.True(len(refusedOnly(arrivalsFrom(1, pausing))) <= sentWhilePaused)
}

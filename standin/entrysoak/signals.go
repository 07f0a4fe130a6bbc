package entrysoak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/primrosemoor/primrosemoor/standin/worker"
)

const (
	// pauseSlack is how long after a refusal that asks for a pause requests may still
	// arrive; maxInPause is how many may after that.
	pauseSlack = 500 * time.Millisecond
	maxInPause = 2
)

// setFaults replaces a worker's faults. A worker that has said that it leaves goes on
// saying so.
func (env *environment) setFaults(wk *worker.Worker, f worker.Faults) {
	env.mu.Lock()
	defer env.mu.Unlock()
	f.Leaving = env.leaving[wk.ID]
	wk.SetFaults(f)
}

// sayLeaving makes a worker say in its answers that it leaves, before its entry does. A
// replacement has registered before.
func (env *environment) sayLeaving(random *rand.Rand) error {
	wk := env.randomWorker(random)
	if !env.history.markDraining(wk.ID) {
		return nil
	}
	defer env.history.beginDisturbance("worker-says-leaving", wk.ID, true)()
	if err := env.addWorker(wk.Service); err != nil {
		return err
	}
	env.mu.Lock()
	env.leaving[wk.ID] = true
	env.mu.Unlock()
	env.setFaults(wk, worker.Faults{})
	time.Sleep(randomDuration(random, 500*time.Millisecond, 4*time.Second))
	return env.drain(wk, random)
}

// askPause makes a worker refuse all requests and ask each node for a pause.
func (env *environment) askPause(random *rand.Rand) error {
	wk := env.randomWorker(random)
	defer env.history.beginDisturbance("worker-asks-pause", wk.ID, true)()
	pause := randomDuration(random, time.Second, 3*time.Second)
	env.setFaults(wk, worker.Faults{Overloaded: true, RetryAfter: pause.Seconds()})
	time.Sleep(randomDuration(random, 200*time.Millisecond, 2*time.Second))
	env.setFaults(wk, worker.Faults{})
	time.Sleep(pause)
	return nil
}

// arrivals returns the requests that reached each worker.
func (env *environment) arrivals() map[string][]worker.Arrival {
	env.mu.Lock()
	defer env.mu.Unlock()
	arrivals := make(map[string][]worker.Arrival)
	for _, wk := range env.workers {
		arrivals[wk.ID] = wk.Arrivals()
	}
	return arrivals
}

// checkSignals returns the requests that reached a worker from a node to which it had
// said that it leaves, or which it had asked for a pause.
func (h *history) checkSignals(ranOn map[string][]string, arrivals map[string][]worker.Arrival) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	requests := make(map[string]request, len(h.requests))
	for _, r := range h.requests {
		requests[r.id] = r
	}
	var violations []string
	for name, at := range arrivals {
		byNode := make(map[string][]worker.Arrival)
		for _, a := range at {
			node := requests[a.ID].node
			byNode[node] = append(byNode[node], a)
		}
		for node, at := range byNode {
			violations = append(violations, h.checkLeaving(name, node, h.toldAt(name, node, ranOn), at, requests)...)
			violations = append(violations, h.checkPause(name, node, at)...)
		}
	}
	slices.Sort(violations)
	return violations
}

// toldAt returns the times at which a node had passed on an answer in which a worker
// says that it leaves.
func (h *history) toldAt(name, node string, ranOn map[string][]string) (times []time.Time) {
	for _, r := range h.requests {
		if on := ranOn[r.id]; r.saysLeaving && r.node == node && len(on) == 1 && on[0] == name {
			times = append(times, r.endedAt)
		}
	}
	return times
}

func (h *history) checkLeaving(name, node string, told []time.Time, at []worker.Arrival, requests map[string]request) (violations []string) {
	for _, a := range at {
		sentAt := requests[a.ID].sentAt
		late := slices.ContainsFunc(told, func(t time.Time) bool {
			return sentAt.Sub(t) > drain && !h.restartedOrFrozen(node, t, a.At)
		})
		if late {
			violations = append(violations, fmt.Sprintf("%s at %s, sent %s: reached %s, which had told this node before %s that it leaves",
				a.ID, node, sentAt.Format("15:04:05.000"), name, sentAt.Add(-drain).Format("15:04:05.000")))
		}
	}
	return violations
}

func (h *history) checkPause(name, node string, at []worker.Arrival) []string {
	for _, refusal := range at {
		from, to := refusal.At.Add(pauseSlack), refusal.At.Add(refusal.Pause)
		reached := 0
		for _, a := range at {
			if a.At.After(from) && !a.At.After(to) {
				reached++
			}
		}
		if reached > maxInPause && !h.restartedOrFrozen(node, refusal.At, to) && !h.workerDisturbed(name, refusal.At, to) {
			return []string{fmt.Sprintf("%s asked %s at %s for a pause of %v and got %d requests in it",
				name, node, refusal.At.Format("15:04:05.000"), refusal.Pause, reached)}
		}
	}
	return nil
}

func (h *history) restartedOrFrozen(node string, from, to time.Time) bool {
	return h.disturbed(from, to, func(d *disturbance) bool { return d.endsProcess(node) || d.freezes(node) })
}

// workerDisturbed reports whether a worker's refusal may have been late or lost.
func (h *history) workerDisturbed(name string, from, to time.Time) bool {
	return h.disturbed(from, to, func(d *disturbance) bool {
		return d.subject == name && (d.kind == "worker-slow-link" || d.kind == "worker-reset")
	})
}

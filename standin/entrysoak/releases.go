package entrysoak

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/primrosemoor/primrosemoor/standin/worker"
)

const (
	// streamService is the service of the workers that serve streams.
	streamService = "llm"
	// maxReleaseGap is the longest time between two steps of a release.
	maxReleaseGap = 700 * time.Millisecond
	// minTakenUp is how many streams callers take up before the share that goes on is
	// judged, and minServing how many workers of their version serve then. That share is
	// at least takenUpRatio of the share of new streams that begin.
	minTakenUp, minServing = 12, 2
	takenUpRatio           = 0.5
	// unreadyCode is in the refusals of a node that does not serve callers with keys yet.
	unreadyCode = "stale_keys"
)

// killAll kills the processes of all nodes at the same moment.
func (env *environment) killAll(*rand.Rand) error {
	var exits []<-chan struct{}
	for _, n := range env.nodes {
		defer env.history.beginDisturbance("kill", n.name, false)()
		exits = append(exits, n.Exited())
	}
	for _, n := range env.nodes {
		if err := n.signal(syscall.SIGKILL); err != nil {
			return err
		}
	}
	for _, exited := range exits {
		<-exited
	}
	time.Sleep(2 * restartPause)
	return nil
}

// release replaces some or all workers of streams by workers of a newer version, one after
// the other. Each new one starts first. Some old ones report that they drain; the entries of
// the others are removed, and they serve on.
func (env *environment) release(random *rand.Rand) error {
	old := env.readyStreamWorkers()
	if len(old) == 0 {
		return nil
	}
	version := env.newVersion()
	var draining sync.WaitGroup
	errs := make(chan error, len(old))
	for _, wk := range old[:1+random.IntN(len(old))] {
		if !env.history.markDraining(wk.ID) {
			continue
		}
		if err := env.addWorkerOf(streamService, version); err != nil {
			return err
		}
		if random.IntN(2) == 0 {
			env.history.ack(ackedChange{drainingWorker: wk.ID})
			env.unregister(wk)
		} else {
			seed := random.Uint64()
			draining.Go(func() { errs <- env.drain(wk, rand.New(rand.NewPCG(seed, 0))) })
		}
		time.Sleep(randomDuration(random, 0, maxReleaseGap))
	}
	draining.Wait()
	close(errs)
	for err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// newVersion returns a version that no worker has had.
func (env *environment) newVersion() string {
	return fmt.Sprint("v", workerVersions+env.releases.Add(1))
}

// readyStreamWorkers returns the workers of streams that take new requests.
func (env *environment) readyStreamWorkers() []*worker.Worker {
	var ready []*worker.Worker
	for _, wk := range env.streamWorkers() {
		env.mu.Lock()
		state := env.states[wk.ID]
		env.mu.Unlock()
		if state == "ready" {
			ready = append(ready, wk)
		}
	}
	return ready
}

// serving is how many workers of each version take new streams from a time on.
type serving struct {
	at     time.Time
	counts map[string]int
}

// recordServing records the workers that take new streams. The lock must be held.
func (env *environment) recordServing() {
	counts := make(map[string]int)
	for _, wk := range env.workers {
		if wk.Service == streamService && env.states[wk.ID] == "ready" {
			counts[wk.Version]++
		}
	}
	env.history.addServing(serving{time.Now(), counts})
}

func (h *history) addServing(s serving) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.serving = append(h.serving, s)
}

// serves reports whether enough workers of a version took streams all the time.
func (h *history) serves(version string, from, to time.Time) bool {
	for i, s := range h.serving {
		ended := i+1 < len(h.serving) && h.serving[i+1].at.Before(from)
		if !ended && s.at.Before(to) && s.counts[version] < minServing {
			return false
		}
	}
	return true
}

// checkTakenUp checks that streams which callers take up go on nearly as often as new ones
// begin, also right after the start of a node, once it serves callers with keys. versions
// holds the version of each stream.
func (h *history) checkTakenUp(versions map[string]string) []string {
	var begun, sent, wentOn, takenUp float64
	for _, r := range h.requests {
		cut := func(d *disturbance) bool { return d.disconnects(r.node) && !d.endsProcess(r.node) }
		unready := r.status == 0 || strings.Contains(r.body, unreadyCode)
		if r.route != "chat" || r.key != "steady" || unready || h.disturbed(r.sentAt.Add(-reconnectTime), r.sentAt, cut) {
			continue
		}
		served := 0.0
		if r.status == 200 && r.body != "" {
			served = 1
		}
		switch {
		case r.resumes == "":
			begun, sent = begun+served, sent+1
		case h.serves(versions[r.resumes], r.sentAt, r.endedAt):
			wentOn, takenUp = wentOn+served, takenUp+1
		}
	}
	if takenUp < minTakenUp || sent == 0 || wentOn/takenUp >= takenUpRatio*begun/sent {
		return nil
	}
	return []string{fmt.Sprintf("%v of %v streams that were taken up went on, and %v of %v new ones began", wentOn, takenUp, begun, sent)}
}

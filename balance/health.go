package balance

import (
	"math"
	"time"
)

const (
	// initialBackoff is how long no requests are sent to a target that could not
	// be reached, sent a broken response or fails nearly all requests. It doubles
	// with each further failure up to maxBackoff.
	initialBackoff = 500 * time.Millisecond
	maxBackoff     = 4 * time.Second
	// excessWeight is the weight of one outcome in the excess of a target's
	// failures, and excessHalfLife the time in which the excess halves without
	// outcomes, so that a target that has recovered is used again.
	excessWeight   = 0.25
	excessHalfLife = 4 * time.Second
	// suspectExcess is the excess above which a target is used only if no other has
	// a free slot, failingExcess that above which it counts as failing.
	suspectExcess = 0.3
	failingExcess = 0.55
	// routeFailureWeight is the weight of one outcome in the failure share of a
	// route over all targets of a service.
	routeFailureWeight = 0.01
	// overtakenLimit is how many requests in a row have to be overtaken by their copies until
	// the target counts as slow: one in twenty is overtaken at a sound target.
	overtakenLimit = 2
	// initialSlowTime is how long such a target is suspect. It doubles with each further
	// request that is overtaken, up to maxSlowTime.
	initialSlowTime = 250 * time.Millisecond
	maxSlowTime     = time.Second
)

// health is the failure record of a target.
type health struct {
	// failures counts those since the last success, failuresOf them by the node whose
	// request failed.
	failures     int
	failuresOf   map[string]int
	backoffUntil time.Time
	// excess estimates the share of requests that fail here beyond those that fail
	// at any target, as of updatedAt.
	excess    float64
	updatedAt time.Time
	// overtaken counts the requests that were overtaken by their copies since the last
	// success; the target is slow until slowUntil.
	overtaken int
	slowUntil time.Time
}

// inBackoff reports whether no requests are to be sent to the target for now.
func (h *health) inBackoff(now time.Time) bool {
	return now.Before(h.backoffUntil)
}

// onTrial reports whether the target has failed and not answered since. It gets one
// request at a time.
func (h *health) onTrial() bool { return h.failures > 0 }

// suspect reports whether the target fails more requests than others do, or is slow now.
func (h *health) suspect(now time.Time) bool {
	return now.Before(h.slowUntil) || h.currentExcess(now) > suspectExcess
}

// recordOvertaken records that a copy of a request was faster at another target. Since that
// ends the request here, the load of a slow target no longer shows that it is slow.
func (h *health) recordOvertaken(now time.Time) {
	h.overtaken++
	if h.overtaken >= overtakenLimit {
		h.slowUntil = now.Add(min(initialSlowTime<<min(h.overtaken-overtakenLimit, 8), maxSlowTime))
	}
}

// recordFailure records that a request of a node failed.
func (h *health) recordFailure(node string, now time.Time) {
	backoff := min(initialBackoff<<min(h.failures, 8), maxBackoff)
	h.failures++
	if h.failuresOf == nil {
		h.failuresOf = make(map[string]int)
	}
	h.failuresOf[node]++
	h.backoffUntil = now.Add(backoff)
}

// forgive drops the failures of a node's requests, which that node itself was the cause
// of. The backoff holds if requests of others failed as well.
func (h *health) forgive(node string) {
	h.failures -= h.failuresOf[node]
	delete(h.failuresOf, node)
	if h.failures <= 0 {
		h.recordSuccess()
	}
}

// recordSilence records that a target was silent. The streams that one silence ends
// count once: a sound target may stand still for a second.
func (h *health) recordSilence(node string, now time.Time) {
	if !h.inBackoff(now) && !h.onTrial() {
		h.recordFailure(node, now)
	}
}

func (h *health) recordSuccess() {
	h.failures, h.overtaken, h.slowUntil = 0, 0, time.Time{}
	clear(h.failuresOf)
	h.backoffUntil = time.Time{}
}

// recordOutcome updates the excess of failures; expected is the share of such
// requests that fail at any target.
func (h *health) recordOutcome(node string, now time.Time, failed bool, expected float64) {
	sample := -expected
	if failed {
		sample = 1 - expected
	}
	excess := h.currentExcess(now)
	h.excess = max(0, excess+excessWeight*(sample-excess))
	h.updatedAt = now
	if failed && h.excess > failingExcess {
		h.recordFailure(node, now)
	}
}

// currentExcess returns the excess, which decays while no outcomes arrive.
func (h *health) currentExcess(now time.Time) float64 {
	if h.excess == 0 {
		return 0
	}
	return h.excess * math.Exp2(-now.Sub(h.updatedAt).Seconds()/excessHalfLife.Seconds())
}

// recordOutcome records whether the target of a request reported a failure.
func (p *pool) recordOutcome(t *target, w *Work, failed bool, now time.Time) {
	if p.routeFailures == nil {
		p.routeFailures = make(map[string]float64)
	}
	expected := p.routeFailures[w.Route]
	t.health.recordOutcome(w.Node, now, failed, expected)
	sample := 0.0
	if failed {
		sample = 1
	}
	p.routeFailures[w.Route] = expected + routeFailureWeight*(sample-expected)
}

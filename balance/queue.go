package balance

import (
	"cmp"
	"slices"
	"time"
)

// waiter is a request that waits for a target.
type waiter struct {
	work  *Work
	reply chan decision
	// late, overShare and valueDensity are the sort keys, updated by each assignment.
	late         bool
	valueDensity float64
	// overShare is set if the team of the request has had more than its fair share of late.
	overShare bool
}

// decision is the result of a wait: a choice or a refusal.
type decision struct {
	choice  choice
	refusal *Refusal
}

// late reports whether a request can no longer be on time: even the fastest
// engine would miss the goal if it ran nothing else.
func (p *pool) late(w *Work, now time.Time) bool {
	if p.engine == nil {
		return !now.Before(w.Goal)
	}
	minSeconds := (w.PromptTokens/p.engine.prefillTokensPerStep + firstEventOverheadSteps + p.engine.eventTokens) * p.fastestStep
	return !now.Add(seconds(predictionMargin * minSeconds)).Before(w.Goal)
}

// compareWaiters orders two waiting requests. Second copies of requests go last. Those that
// can still be on time go first, then the more important ones by tier and then by rank, and
// those of teams that are within their fair share. Of equals
// that can be on time, the one with the most value per second of slot time goes
// first, so that a shortage costs the least value. Late requests of equal tier
// and rank go in order of arrival, the earliest first.
func (p *pool) compareWaiters(a, b *waiter) int {
	if c := compareBools(a.work.NoWait, b.work.NoWait); c != 0 {
		return c
	}
	if c := compareBools(a.late, b.late); c != 0 {
		return c
	}
	if c := cmp.Compare(a.work.Tier, b.work.Tier); c != 0 {
		return c
	}
	if c := cmp.Compare(a.work.Rank, b.work.Rank); c != 0 {
		return c
	}
	if c := compareBools(a.overShare, b.overShare); c != 0 {
		return c
	}
	if a.late {
		return a.work.Arrived.Compare(b.work.Arrived)
	}
	return cmp.Compare(b.valueDensity, a.valueDensity)
}

// compareBools orders false before true.
func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// outputTokenWeight is the value of one output token in prompt tokens.
const outputTokenWeight = 10

// valueDensity returns the value of a request, in prompt tokens, per second for
// which it occupies a slot.
func (p *pool) valueDensity(w *Work) float64 {
	if p.engine == nil {
		return 1
	}
	e := p.engine
	output := e.expectedOutputTokens(w)
	routePart := e.meanPromptTokens[w.Route] + outputTokenWeight*e.meanOutputTokens[w.Route]
	return (fixedValueShare*routePart + (1-fixedValueShare)*(w.PromptTokens+outputTokenWeight*output)) / e.slotSeconds(w)
}

// occupiesLong reports whether a request is expected to occupy a slot for longer than
// the mean.
func (p *pool) occupiesLong(w *Work) bool {
	return p.engine == nil || p.engine.slotSeconds(w) >= p.engine.meanSlotSeconds
}

// fixedValueShare is the share of a request's value that does not depend on its
// own size but on the mean size of its route's requests.
const fixedValueShare = 0.3

// assignCallbacks are called for the requests that an assignment decides.
type assignCallbacks struct {
	assigned func(*waiter, choice)
	refused  func(*waiter, *Refusal)
}

// assign assigns targets to the waiting requests in order. It refuses those
// whose patience has ended, late ones while others wait that can be on time, and those
// for which all targets ask for a pause beyond their goal.
func (p *pool) assign(now time.Time, here location, limitShare float64, queues *remoteQueues, on assignCallbacks) {
	if len(p.waiting) == 0 {
		return
	}
	p.updateFastestStep(now)
	for _, w := range p.waiting {
		w.late = p.late(w.work, now)
		w.valueDensity = p.valueDensity(w.work)
	}
	p.markOverShare(now)
	slices.SortStableFunc(p.waiting, p.compareWaiters)
	counts := p.countOnTime(now)
	free := p.capacity(now, here, limitShare)
	kept := p.waiting[:0]
	onTimeWaiting := false
	paused := pausedNodes{pool: p, now: now}
	for _, w := range p.waiting {
		reserve := time.Duration(0)
		if p.engine != nil {
			reserve = queues.reserveTime(p.name, w.work.Tier, counts[w.work.Tier])
		}
		c, ok := p.choose(w.work, now, here, &free, reserve, len(kept)+queues.waitingFor(p.name))
		if ok && (c.onTime || w.late || c.onTimeAsLearned && !waitsForReports(w.work, now)) {
			c.target.addRequest(w.work, now, c.expected)
			c.target.holdMemory(w.work, p.memoryTokens(w.work))
			free.addRequest(c.target)
			c.granted = p.recordGrant(w.work, now)
			on.assigned(w, c)
			continue
		}
		if r := p.refuse(w, now, onTimeWaiting, &paused); r != nil {
			on.refused(w, r)
			w.reply <- decision{refusal: r}
			continue
		}
		onTimeWaiting = onTimeWaiting || !w.late && !p.needsOtherTargets(w.work)
		kept = append(kept, w)
	}
	clear(p.waiting[len(kept):])
	p.waiting = kept
}

// refuse returns the refusal of a request that got no target now, or nil if it may wait.
func (p *pool) refuse(w *waiter, now time.Time, onTimeWaiting bool, paused *pausedNodes) *Refusal {
	switch {
	case w.work.NoWait:
		return &Refusal{Reason: ReasonNoFreeSlot, RetryAfter: minRetryAfter}
	case !now.Before(w.work.Patience) || w.late && onTimeWaiting:
		return p.refusal(w.work, now)
	case paused.contains(w.work.Node):
		return p.pauseRefusal(w.work, now)
	default:
		return nil
	}
}

// countOnTime returns how many requests of each tier wait and can be on time.
// Tiers that were published before are included when they are empty now.
func (p *pool) countOnTime(now time.Time) map[int]int {
	counts := make(map[int]int, len(p.publishedWaiting))
	for tier := range p.publishedWaiting {
		counts[tier] = 0
	}
	for _, w := range p.waiting {
		if !p.late(w.work, now) {
			counts[w.work.Tier]++
		}
	}
	return counts
}

// updateFastestStep finds the step time of the fastest available engine.
func (p *pool) updateFastestStep(now time.Time) {
	if p.engine == nil {
		return
	}
	p.fastestStep = 0
	for _, t := range p.targets {
		if t.leaves() || t.health.inBackoff(now) {
			continue
		}
		if step := p.engine.stepSeconds(t); p.fastestStep == 0 || step < p.fastestStep {
			p.fastestStep = step
		}
	}
}

// refusal returns a refusal whose retry delay is a third of the time that the
// caller has left, which spreads the retries after a burst.
func (p *pool) refusal(w *Work, now time.Time) *Refusal {
	return &Refusal{Reason: "no_prospect", RetryAfter: max(w.End.Sub(now)/retryDivisor, minRetryAfter)}
}

// minRetryAfter is the shortest delay that a refused caller is told.
const minRetryAfter = noTargetRetryAfter / 4

// retryDivisor divides the time that the caller has left to give the retry
// delay.
const retryDivisor = 3

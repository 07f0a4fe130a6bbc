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
	// late and density are the inputs of the order at the last look.
	late    bool
	density float64
}

// decision ends a wait.
type decision struct {
	choice  choice
	refusal *Refusal
}

// late reports whether a request can no longer be on time: even an engine that
// does nothing else would miss the goal.
func (p *pool) late(w *Work, now time.Time) bool {
	if p.engine == nil {
		return !now.Before(w.Goal)
	}
	least := (w.PromptTokens/p.engine.readTokens + firstSteps + p.engine.eventTokens) * p.fastest
	return !now.Add(seconds(safety * least)).Before(w.Goal)
}

// order compares two waiting requests. Those that can still be on time go
// first, then the more important ones, by tier and then by rank. Of equals that can be on time the one
// that is worth most for the time of its slot goes first, so that a shortage
// costs as little as it may; late ones go by age.
func (p *pool) order(a, b *waiter) int {
	if c := compareBools(a.late, b.late); c != 0 {
		return c
	}
	if c := cmp.Compare(a.work.Tier, b.work.Tier); c != 0 {
		return c
	}
	if c := cmp.Compare(a.work.Rank, b.work.Rank); c != 0 {
		return c
	}
	if a.late {
		return a.work.Arrived.Compare(b.work.Arrived)
	}
	return cmp.Compare(b.density, a.density)
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

// outputWorth is how many prompt tokens one token of an answer is worth.
const outputWorth = 10

// density returns the tokens that a request is worth for each second in which
// it holds a slot.
func (p *pool) density(w *Work) float64 {
	if p.engine == nil {
		return 1
	}
	e := p.engine
	output := e.output(w)
	steps := w.PromptTokens/e.readTokens + firstSteps + output*startStretch
	base := e.prompts[w.Route] + outputWorth*e.outputs[w.Route]
	return (baseWorth*base + (1-baseWorth)*(w.PromptTokens+outputWorth*output)) / (steps * e.step)
}

// baseWorth is the part of a request's worth that does not depend on its size.
const baseWorth = 0.3

// assign gives targets to the waiting requests in their order, and refuses
// those that have no prospect.
func (p *pool) assign(now time.Time, at place, others *claims, granted func(*waiter, choice)) {
	if len(p.waiting) == 0 {
		return
	}
	p.measure(now)
	for _, w := range p.waiting {
		w.late = p.late(w.work, now)
		w.density = p.density(w.work)
	}
	slices.SortStableFunc(p.waiting, p.order)
	counts := p.counted(now)
	free := p.capacity(now, at)
	kept := p.waiting[:0]
	pressed := false
	for _, w := range p.waiting {
		reserved := time.Duration(0)
		if p.engine != nil {
			reserved = others.reserve(p.name, w.work.Tier, counts[w.work.Tier])
		}
		c, ok := p.pick(w.work, now, at, &free, reserved)
		switch {
		case ok && (c.onTime || w.late):
			c.target.send(w.work, now)
			free.take(c.target)
			granted(w, c)
		case !now.Before(w.work.Patience) || w.late && pressed:
			w.reply <- decision{refusal: p.refusal(w.work, now)}
		default:
			pressed = pressed || !w.late
			kept = append(kept, w)
		}
	}
	clear(p.waiting[len(kept):])
	p.waiting = kept
}

// counted returns how many requests of each tier wait and can be on time. Tiers
// that were told to the others and are empty now are counted too.
func (p *pool) counted(now time.Time) map[int]int {
	counts := make(map[int]int, len(p.published))
	for tier := range p.published {
		counts[tier] = 0
	}
	for _, w := range p.waiting {
		if !p.late(w.work, now) {
			counts[w.work.Tier]++
		}
	}
	return counts
}

// measure finds the step time of the fastest engine.
func (p *pool) measure(now time.Time) {
	if p.engine == nil {
		return
	}
	p.fastest = 0
	for _, t := range p.targets {
		if t.Draining || t.health.paused(now) {
			continue
		}
		if step := p.engine.stepSeconds(t); p.fastest == 0 || step < p.fastest {
			p.fastest = step
		}
	}
}

// refusal tells when to come back: a third of the time that the caller has
// left, which spreads returns over the time after a burst.
func (p *pool) refusal(w *Work, now time.Time) *Refusal {
	after := max(w.End.Sub(now)/returnShare, noTargetRetry/4)
	return &Refusal{Reason: "no_prospect", RetryAfter: after}
}

// returnShare is the part of the time left after which a caller comes back.
const returnShare = 3

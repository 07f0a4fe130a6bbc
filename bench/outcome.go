package bench

import (
	"slices"
	"time"
)

// maxUsefulGap is the mean time between tokens above which an answer is too slow
// to be useful.
const maxUsefulGap = 2 * tokenTimeGoal

// outcome holds the results of one run.
type outcome struct {
	policy  string
	offered [tiers]int
	useful  [tiers]int
	refused [tiers]int
	// wastedShare is the share of prefill spent on requests without a useful answer.
	wastedShare float64
	// cachedShare is the share of prompt tokens found in prefix caches.
	cachedShare   float64
	crossBytes    int
	firstTokenP95 [tiers]time.Duration
	tokenGapP95   time.Duration
	usefulByTeam  map[int][tiers]int
	offeredByTeam map[int][tiers]int
}

func (r *request) meanGap() time.Duration {
	if r.emittedTokens < 2 {
		return 0
	}
	return (r.doneAt - r.firstTokenAt) / time.Duration(r.emittedTokens-1)
}

func (r *request) useful() bool {
	return r.doneAt > 0 && r.firstTokenAt <= r.deadline && r.meanGap() <= maxUsefulGap
}

func summarize(s *simulation) *outcome {
	o := &outcome{policy: s.policy.name(), crossBytes: s.crossBytes,
		usefulByTeam: make(map[int][tiers]int), offeredByTeam: make(map[int][tiers]int)}
	var first [tiers][]time.Duration
	var gaps []time.Duration
	wasted, prefilled, prompts, cached := 0, 0, 0, 0
	for _, r := range s.requests {
		if r.arrived < warmUp || r.arrived >= warmUp+s.scenario.duration {
			continue
		}
		o.offered[r.tier]++
		o.count(o.offeredByTeam, r)
		if r.refused {
			o.refused[r.tier]++
		}
		if r.engine != nil {
			prompts += r.promptTokens
			prefilled += r.prefilledTokens
			cached += r.cachedTokens
		}
		if !r.useful() {
			wasted += r.prefilledTokens
			continue
		}
		o.useful[r.tier]++
		o.count(o.usefulByTeam, r)
		first[r.tier] = append(first[r.tier], r.firstTokenAt-r.arrived)
		gaps = append(gaps, r.meanGap())
	}
	o.wastedShare = float64(wasted) / float64(max(prefilled, 1))
	o.cachedShare = float64(cached) / float64(max(prompts, 1))
	for tier := range first {
		o.firstTokenP95[tier] = p95(first[tier])
	}
	o.tokenGapP95 = p95(gaps)
	return o
}

func (o *outcome) count(by map[int][tiers]int, r *request) {
	counts := by[r.team]
	counts[r.tier]++
	by[r.team] = counts
}

func (o *outcome) totalUseful() int {
	sum := 0
	for _, n := range o.useful {
		sum += n
	}
	return sum
}

func p95(values []time.Duration) time.Duration {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[min(len(values)*95/100, len(values)-1)]
}

// betterThan reports whether o has more useful answers than p in the top tier or,
// if these are equal, more in total. Any outcome is better than nil.
func (o *outcome) betterThan(p *outcome) bool {
	if p == nil || o.useful[0] != p.useful[0] {
		return p == nil || o.useful[0] > p.useful[0]
	}
	return o.totalUseful() > p.totalUseful()
}

// best runs several policies on one scenario and returns the best outcome.
func best(sc scenario, policies []policy) *outcome {
	var b *outcome
	for _, p := range policies {
		if o := run(sc, p); o.betterThan(b) {
			b = o
		}
	}
	return b
}

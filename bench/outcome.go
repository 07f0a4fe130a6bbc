package bench

import (
	"slices"
	"time"
)

// usableGap is the mean time between tokens above which an answer is too slow
// to be useful.
const usableGap = 2 * tokenTimeGoal

// outcome is what one run gave.
type outcome struct {
	policy  string
	offered [tiers]int
	useful  [tiers]int
	refused [tiers]int
	// wasted is the share of prefill spent on requests without a useful answer.
	wasted float64
	// cached is the share of prompt tokens found in caches.
	cached     float64
	crossBytes int
	firstP95   [tiers]time.Duration
	gapP95     time.Duration
	teams      map[int][tiers]int
	asked      map[int][tiers]int
}

func (r *request) meanGap() time.Duration {
	if r.emitted < 2 {
		return 0
	}
	return (r.done - r.first) / time.Duration(r.emitted-1)
}

func (r *request) useful() bool {
	return r.done > 0 && r.first <= r.deadline && r.meanGap() <= usableGap
}

func summarize(s *simulation) *outcome {
	o := &outcome{policy: s.policy.name(), crossBytes: s.crossBytes,
		teams: make(map[int][tiers]int), asked: make(map[int][tiers]int)}
	var first [tiers][]time.Duration
	var gaps []time.Duration
	wasted, prefilled, prompts, cached := 0, 0, 0, 0
	for _, r := range s.requests {
		if r.arrived < warmUp || r.arrived >= warmUp+s.scenario.length {
			continue
		}
		o.offered[r.tier]++
		o.count(o.asked, r)
		if r.refused {
			o.refused[r.tier]++
		}
		if r.engine != nil {
			prompts += r.prompt
			prefilled += r.prefilled
			cached += r.cached
		}
		if !r.useful() {
			wasted += r.prefilled
			continue
		}
		o.useful[r.tier]++
		o.count(o.teams, r)
		first[r.tier] = append(first[r.tier], r.first-r.arrived)
		gaps = append(gaps, r.meanGap())
	}
	o.wasted = float64(wasted) / float64(max(prefilled, 1))
	o.cached = float64(cached) / float64(max(prompts, 1))
	for tier := range first {
		o.firstP95[tier] = p95(first[tier])
	}
	o.gapP95 = p95(gaps)
	return o
}

func (o *outcome) count(by map[int][tiers]int, r *request) {
	counts := by[r.team]
	counts[r.tier]++
	by[r.team] = counts
}

func (o *outcome) total() int {
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

// better reports whether o serves more of the important tiers, then more in
// all, than p.
func (o *outcome) better(p *outcome) bool {
	if p == nil || o.useful[0] != p.useful[0] {
		return p == nil || o.useful[0] > p.useful[0]
	}
	return o.total() > p.total()
}

// best runs several policies on one scenario and returns the best outcome.
func best(sc scenario, policies []policy) *outcome {
	var b *outcome
	for _, p := range policies {
		if o := run(sc, p); o.better(b) {
			b = o
		}
	}
	return b
}

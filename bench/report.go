package bench

import (
	"fmt"
	"io"
	"slices"
	"time"
)

const (
	arrivalTime = 60 * time.Second
	benchSeed   = 1
	// goodputGoal is the minimum share of the oracle's useful answers. topGoal is
	// the minimum share of the top tier's offered requests with a useful answer, in
	// cells where the oracle reaches it. wasteGoal is the share of prefill that may
	// be wasted. jainGoal is the minimum of Jain's fairness index.
	goodputGoal = 0.95
	topGoal     = 0.99
	wasteGoal   = 0.01
	jainGoal    = 0.95
)

var loads = []float64{0.5, 0.8, 1, 1.5, 2, 4}

// cell is one scenario with the outcome of each policy.
type cell struct {
	title     string
	scheduler *outcome
	baselines []*outcome
	oracle    *outcome
}

func measure(title string, sc scenario) cell {
	c := cell{title: title, scheduler: run(sc, newOwners()), oracle: best(sc, newOracles())}
	for _, p := range []policy{newRandom(), newRoundRobin(), newLeastOutstanding()} {
		c.baselines = append(c.baselines, run(sc, p))
	}
	return c
}

// loadCells measures both mixes at all loads.
func loadCells() []cell {
	var cells []cell
	for _, m := range []mix{drumlin, kowhai} {
		for _, load := range loads {
			sc := scenario{mix: m, load: load, seed: benchSeed, duration: arrivalTime}
			cells = append(cells, measure(fmt.Sprintf("%s × %.1f", m.name, load), sc))
		}
	}
	return cells
}

// disturbedCells measures both mixes at 0.8 times capacity under disturbances.
func disturbedCells() []cell {
	var cells []cell
	for _, m := range []mix{drumlin, kowhai} {
		base := scenario{mix: m, load: 0.8, seed: benchSeed, duration: arrivalTime}
		for _, d := range disturbedScenarios(base) {
			cells = append(cells, measure(m.name+", "+d.title, d.scenario))
		}
	}
	return cells
}

type titledScenario struct {
	title    string
	scenario scenario
}

const (
	disturbedAt    = 25 * time.Second
	recoveredAt    = 45 * time.Second
	stragglerSpeed = 1.0 / 3
)

func disturbedScenarios(base scenario) []titledScenario {
	shortAge, longAge, straggler, removed, burst := base, base, base, base, base
	shortAge.reportAge = 200 * time.Millisecond
	longAge.reportAge = 5 * time.Second
	straggler.disturbances = []disturbance{
		{disturbedAt, func(s *simulation) { s.engines[3].speed = stragglerSpeed }},
		{recoveredAt, func(s *simulation) { s.engines[3].speed = 1 }},
	}
	removed.disturbances = []disturbance{{disturbedAt, func(s *simulation) {
		s.engines[3].leaving = true
		s.policy.targetsChanged()
	}}}
	burst.burst, burst.burstAt, burst.burstFor = 10, disturbedAt, 5*time.Second
	return []titledScenario{
		{"reports 0.2 s old", shortAge}, {"reports 5 s old", longAge},
		{"a target at a third of its speed for 20 s", straggler},
		{"a target pulled", removed}, {"ten times the load for 5 s", burst},
	}
}

// missedGoals describes the goals that a cell misses.
func (c *cell) missedGoals() []string {
	var out []string
	miss := func(format string, args ...any) {
		out = append(out, c.title+": "+fmt.Sprintf(format, args...))
	}
	if own, best := c.scheduler.totalUseful(), c.oracle.totalUseful(); float64(own) < goodputGoal*float64(best) {
		miss("%d useful answers, oracle %d (%.1f %%)", own, best, 100*float64(own)/float64(best))
	}
	if c.topTierFits() && c.scheduler.usefulShare(0) < topGoal {
		miss("top tier gets %.1f %% of what it offers", 100*c.scheduler.usefulShare(0))
	}
	if c.scheduler.wastedShare > wasteGoal {
		miss("wasted prefill %.1f %%", 100*c.scheduler.wastedShare)
	}
	for _, b := range c.baselines {
		if c.scheduler.useful[0] < b.useful[0] {
			miss("top tier %d, below %s with %d", c.scheduler.useful[0], b.policy, b.useful[0])
		}
		if c.scheduler.totalUseful() < b.totalUseful() {
			miss("%d useful answers, below %s with %d", c.scheduler.totalUseful(), b.policy, b.totalUseful())
		}
	}
	return out
}

// topTierFits reports whether the oracle meets the goal for the top tier.
func (c *cell) topTierFits() bool {
	return c.oracle.usefulShare(0) >= topGoal
}

func (o *outcome) usefulShare(tier int) float64 {
	return float64(o.useful[tier]) / float64(max(o.offered[tier], 1))
}

func writeCells(w io.Writer, cells []cell) {
	fmt.Fprintln(w, "| cell | policy | offered by tier | useful by tier | useful of the oracle's | wasted prefill | cached prompt | first token p95, top tier | token gap p95 | cross-region |")
	fmt.Fprintln(w, "|---|---|---|---|---|---|---|---|---|---|")
	for i := range cells {
		c := &cells[i]
		for _, o := range append([]*outcome{c.scheduler}, append(slices.Clone(c.baselines), c.oracle)...) {
			fmt.Fprintf(w, "| %s | %s | %s | %s | %.1f %% | %.1f %% | %.0f %% | %d ms | %d ms | %.1f MB |\n", c.title, o.policy,
				formatTiers(o.offered), formatTiers(o.useful), 100*float64(o.totalUseful())/float64(max(c.oracle.totalUseful(), 1)), 100*o.wastedShare,
				100*o.cachedShare, o.firstTokenP95[0].Milliseconds(), o.tokenGapP95.Milliseconds(), float64(o.crossBytes)/(1<<20))
		}
	}
}

func formatTiers(v [tiers]int) string {
	return fmt.Sprintf("%d / %d / %d", v[0], v[1], v[2])
}

// manyTeamsMix returns a mix with a few large teams and many small ones in one tier.
func manyTeamsMix() mix {
	m := drumlin
	m.name = "few large, many small teams"
	m.classes = []class{{"chat", 0, 1, 2 * time.Second, 400, 100, 0.4, 0}}
	m.teamShares = []float64{0.25, 0.25, 0.2}
	const small = 30
	for range small {
		m.teamShares = append(m.teamShares, 0.3/small)
	}
	return m
}

// jainIndex returns Jain's fairness index over the teams' served requests relative
// to their max-min fair share: an equal share of all served requests, or what they
// offered if that is less.
func jainIndex(o *outcome, tier int) float64 {
	var offered, served []float64
	total := 0.0
	for team, counts := range o.offeredByTeam {
		offered = append(offered, float64(counts[tier]))
		useful := float64(o.usefulByTeam[team][tier])
		served = append(served, useful)
		total += useful
	}
	share := equalShare(offered, total)
	sum, squares := 0.0, 0.0
	for i := range offered {
		x := served[i] / min(offered[i], share)
		sum += x
		squares += x * x
	}
	return sum * sum / (float64(len(offered)) * squares)
}

// equalShare returns the share at which the offered amounts, each capped at it, add
// up to total (water filling).
func equalShare(offered []float64, total float64) float64 {
	sorted := slices.Sorted(slices.Values(offered))
	for i, v := range sorted {
		remaining := float64(len(sorted) - i)
		if v*remaining >= total {
			return total / remaining
		}
		total -= v
	}
	return sorted[len(sorted)-1]
}

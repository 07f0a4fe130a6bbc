package bench

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
)

var resultsPath = flag.String("results", "", "file to write the result tables to")

// TestResults writes the result tables to the file of -results, which make bench
// sets; without the flag it does nothing.
func TestResults(t *testing.T) {
	if *resultsPath == "" {
		return
	}
	var out bytes.Buffer
	fmt.Fprintf(&out, "# Results of the decisions\n\nWritten by `make bench`; seed %d, %v of arrivals in each cell after 10 s of warm-up, in virtual time.\n", benchSeed, arrivalTime)
	fmt.Fprintf(&out, "Capacity: drumlin %.1f, kowhai %.1f requests a second. An answer is useful if its first token came before the caller's\ndeadline and its mean token gap is at most %v. The load reports' age concerns only the least outstanding baseline:\nthe decisions count permits, not reports.\n\n", drumlin.capacity(tokenTimeGoal), kowhai.capacity(tokenTimeGoal), maxUsefulGap)
	load, disturbed := loadCells(), disturbedCells()
	fmt.Fprint(&out, "## Load\n\n")
	writeCells(&out, load)
	fmt.Fprint(&out, "\n## Disturbances at 0.8 times capacity\n\n")
	writeCells(&out, disturbed)
	fmt.Fprintf(&out, "\n## Goals missed\n\nGoals: useful answers at least %.0f %% of the oracle's, top tier at least %.0f %% of what it offers while the oracle can serve it, wasted prefill at most %.0f %%, never below a baseline in the top tier or in all.\n\n", 100*goodputGoal, 100*topGoal, 100*wasteGoal)
	for _, c := range append(load, disturbed...) {
		for _, m := range c.missedGoals() {
			fmt.Fprintln(&out, "- "+m)
			fmt.Println("MISS", m)
		}
	}
	writeFairness(&out)
	writeCosts(&out)
	if err := os.WriteFile(*resultsPath, out.Bytes(), 0o644); err != nil {
		t.Fatal(err)
	}
}

func writeFairness(out *bytes.Buffer) {
	fmt.Fprintf(out, "\n## Fairness\n\nJain's index over 3 large and 30 small teams of one tier (goal %.2f):\n\n", jainGoal)
	for _, load := range []float64{1.5, 2, 4} {
		index := jainIndex(run(scenario{mix: manyTeamsMix(), load: load, seed: benchSeed, duration: arrivalTime}, newOwners()), 0)
		fmt.Fprintf(out, "- %.1f times capacity: %.3f\n", load, index)
		if index < jainGoal {
			fmt.Printf("MISS Jain's index %.3f at %.1f times capacity\n", index, load)
		}
	}
}

func writeCosts(out *bytes.Buffer) {
	fmt.Fprint(out, "\n## Cost of a decision\n\nOne choice among candidates (`scheduling.Decide`):\n\n")
	for _, n := range []int{4, 16, 64} {
		r := decisionCost(n)
		fmt.Fprintf(out, "- %d targets: %d ns, %d allocations\n", n, r.NsPerOp(), r.AllocsPerOp())
	}
	fmt.Fprintf(out, "\nA permit returned and the next one granted, with %d requests waiting in three tiers:\n\n", queuedRequests)
	fmt.Fprintln(out, "| targets | teams | models | prefix blocks | time | allocations | heap of the group |\n|---|---|---|---|---|---|---|")
	for _, c := range []costCase{
		{4, 100, 1, 16}, {16, 100, 1, 16}, {32, 100, 1, 16}, {16, 1500, 1, 16}, {16, 100, 9, 16}, {16, 100, 27, 16},
		{16, 100, 1, 64}, {16, 100, 1, 256},
	} {
		r := permitCost(c)
		fmt.Fprintf(out, "| %d | %d | %d | %d | %.1f µs | %d | %.2f MB |\n", c.targets, c.teams, c.models, c.blocks,
			float64(r.time.Nanoseconds())/1000, r.allocs, float64(groupMemory(c))/(1<<20))
	}
}

func TestTopTierIsServedBelowCapacity(t *testing.T) {
	for _, m := range []mix{drumlin, kowhai} {
		t.Run(m.name, func(t *testing.T) {
			is := is.New(t)
			sc := scenario{mix: m, load: 0.8, seed: benchSeed, duration: 20 * time.Second}
			o := run(sc, newOwners())
			is.True(o.usefulShare(0) >= topGoal)
			is.True(o.wastedShare <= wasteGoal)
			is.True(o.useful[0] >= run(sc, newLeastOutstanding()).useful[0])
		})
	}
}

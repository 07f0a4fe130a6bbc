package enginesim

import (
	"flag"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

var (
	length = flag.Duration("length", 4*time.Second, "time in which requests arrive")
	seed   = flag.Uint64("seed", 1, "seed of the traffic")
)

// engineSpeeds differ by a factor of three, as the platform's engines do, and
// are unsorted so that no policy gains from the order of the engines.
var engineSpeeds = []float64{0.5, 1, 0.35, 0.8, 0.9, 0.33, 1, 0.7, 0.4, 1, 0.6, 0.8}

func defaultExperiment() experiment {
	return experiment{
		newPolicies: newBalanced(10 * time.Millisecond), nodes: 6, slots: 8, speeds: engineSpeeds, load: 1, length: *length, seed: *seed,
	}
}

func runExperiment(t *testing.T, e experiment) Result {
	t.Helper()
	var r Result
	synctest.Test(t, func(t *testing.T) { r = e.run(t.Context()) })
	return r
}

func formatResults(results map[string]Result, names []string) string {
	var b strings.Builder
	for _, name := range names {
		fmt.Fprintf(&b, "%-12s worth %.3f", name, results[name].ValueShare())
		for i, o := range results[name] {
			fmt.Fprintf(&b, " | %s %d: on time %d, late %d, refused %d, failed %d", Classes[i].Name, o.Sent, o.OnTime, o.Late, o.Refused, o.Failed)
		}
		b.WriteByte('\n')
	}
	return b.String()
}

// lowLoadTolerance is the difference in value share, a few requests of a run, that
// may occur by chance when there is capacity for all requests.
const lowLoadTolerance = 0.03

// The loads are half, all and twice the engines' capacity. The balancer starts
// without any estimate of the engines' speeds.
func TestBalancedEarnsAtLeastAsMuchAsNaive(t *testing.T) {
	for _, load := range []float64{0.5, 1, 2} {
		t.Run(fmt.Sprint("load ", load), func(t *testing.T) {
			is := is.New(t)
			balanced, naive := defaultExperiment(), defaultExperiment()
			naive.newPolicies = newNaive
			balanced.load, naive.load = load, load
			results := map[string]Result{"balanced": runExperiment(t, balanced), "naive": runExperiment(t, naive)}
			t.Log("\n" + formatResults(results, []string{"balanced", "naive"}))
			tolerance := 0.0
			if load < 1 {
				tolerance = lowLoadTolerance
			}
			is.True(results["balanced"].ValueShare() >= results["naive"].ValueShare()-tolerance)
		})
	}
}

// The share of served requests of a class may be at most 5 percentage points below
// that of a less urgent class.
func TestUrgentClassesAreServedAtLeastAsOften(t *testing.T) {
	is := is.New(t)
	e := defaultExperiment()
	e.load = 2
	r := runExperiment(t, e)
	t.Log("\n" + formatResults(map[string]Result{"balanced": r}, []string{"balanced"}))
	for i, urgent := range Classes {
		for k, other := range Classes {
			if urgent.Tier < other.Tier {
				is.True(r[i].Served() >= r[k].Served()-0.05)
			}
		}
	}
}

// Nodes that receive each other's load reports with a delay tend to choose the same
// engines; they must still do better than nodes that receive none.
func TestLinkedNodesEarnMoreThanUnlinkedNodes(t *testing.T) {
	is := is.New(t)
	linked, unlinked := defaultExperiment(), defaultExperiment()
	linked.load, unlinked.load = 1.5, 1.5
	unlinked.newPolicies = newBalanced(time.Hour)
	results := map[string]Result{"together": runExperiment(t, linked), "alone": runExperiment(t, unlinked)}
	t.Log("\n" + formatResults(results, []string{"together", "alone"}))
	is.True(results["together"].ValueShare() > results["alone"].ValueShare())
}

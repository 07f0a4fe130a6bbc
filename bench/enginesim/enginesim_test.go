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

// speeds are those of engines that differ threefold, as the users' do, in no
// order that a policy could profit from.
var speeds = []float64{0.5, 1, 0.35, 0.8, 0.9, 0.33, 1, 0.7, 0.4, 1, 0.6, 0.8}

func base() experiment {
	return experiment{
		policies: newBalanced(10 * time.Millisecond), nodes: 6, slots: 8, speeds: speeds, load: 1, length: *length, seed: *seed,
	}
}

func play(t *testing.T, e experiment) Result {
	t.Helper()
	var r Result
	synctest.Test(t, func(t *testing.T) { r = e.play(t.Context()) })
	return r
}

func table(results map[string]Result, order []string) string {
	var b strings.Builder
	for _, name := range order {
		fmt.Fprintf(&b, "%-12s worth %.3f", name, results[name].Worth())
		for i, o := range results[name] {
			fmt.Fprintf(&b, " | %s %d: on time %d, late %d, refused %d, failed %d", Classes[i].Name, o.Asked, o.OnTime, o.Late, o.Refused, o.Failed)
		}
		b.WriteByte('\n')
	}
	return b.String()
}

// calmSlack is what a policy may lose to another by chance where there are places
// for all: a few requests of a run.
const calmSlack = 0.03

// The loads are half, all and twice of what the engines can do, from a start
// without any knowledge of their speeds.
func TestHoldingBackServesMoreOnTimeThanSendingAtOnce(t *testing.T) {
	for _, load := range []float64{0.5, 1, 2} {
		t.Run(fmt.Sprint("load ", load), func(t *testing.T) {
			is := is.New(t)
			held, sent := base(), base()
			sent.policies = newNaive
			held.load, sent.load = load, load
			results := map[string]Result{"balanced": play(t, held), "naive": play(t, sent)}
			t.Log("\n" + table(results, []string{"balanced", "naive"}))
			allowed := 0.0
			if load < 1 {
				allowed = calmSlack
			}
			is.True(results["balanced"].Worth() >= results["naive"].Worth()-allowed)
		})
	}
}

// No class is served less often than a less urgent one, by more than 5 in 100.
func TestNoClassIsServedLessOftenThanALessUrgentOne(t *testing.T) {
	is := is.New(t)
	e := base()
	e.load = 2
	r := play(t, e)
	t.Log("\n" + table(map[string]Result{"balanced": r}, []string{"balanced"}))
	for i, urgent := range Classes {
		for k, other := range Classes {
			if urgent.Tier < other.Tier {
				is.True(r[i].Served() >= r[k].Served()-0.05)
			}
		}
	}
}

// Nodes that hear each other late choose the same engines; they must still do
// better than those that hear nobody.
func TestHearingOtherNodesPays(t *testing.T) {
	is := is.New(t)
	together, alone := base(), base()
	together.load, alone.load = 1.5, 1.5
	alone.policies = newBalanced(time.Hour)
	results := map[string]Result{"together": play(t, together), "alone": play(t, alone)}
	t.Log("\n" + table(results, []string{"together", "alone"}))
	is.True(results["together"].Worth() > results["alone"].Worth())
}

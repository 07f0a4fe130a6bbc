package bench

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	slowFrom, slowTo = 30 * time.Second, 60 * time.Second
	watched          = 3
)

// shareIn returns the part of all prefill done by the watched engine for
// requests that arrived in a window.
func shareIn(s *simulation, from, to time.Duration) float64 {
	var own, all float64
	for _, r := range s.requests {
		if r.engine == nil || r.arrived < from || r.arrived >= to {
			continue
		}
		all += float64(r.prefilled)
		if r.engine.index == watched {
			own += float64(r.prefilled)
		}
	}
	return own / all
}

// slowed plays a scenario in which engines run at half of their speed for a
// while.
func slowed(slow func(*engine) bool) *simulation {
	set := func(speed float64) func(*simulation) {
		return func(s *simulation) {
			for _, e := range s.engines {
				if slow(e) {
					e.speed = speed
				}
			}
		}
	}
	sc := scenario{mix: drumlin, load: 0.4, seed: runSeed, length: 90 * time.Second}
	sc.disturbances = []disturbance{{slowFrom, set(0.5)}, {slowTo, set(1)}}
	return play(sc, newOwners())
}

func TestStragglerLosesAndRegainsItsShare(t *testing.T) {
	is := is.New(t)
	s := slowed(func(e *engine) bool { return e.index == watched })
	before := shareIn(s, 10*time.Second, slowFrom)
	during := shareIn(s, slowFrom+5*time.Second, slowTo)
	after := shareIn(s, slowTo+10*time.Second, 100*time.Second)
	t.Logf("share before %.3f, while slow %.3f, after %.3f", before, during, after)
	is.True(during < before)
	is.True(during > 0)
	is.True(after > during)
}

func TestFleetSlowingTogetherKeepsItsShares(t *testing.T) {
	is := is.New(t)
	s := slowed(func(*engine) bool { return true })
	before := shareIn(s, 10*time.Second, slowFrom)
	during := shareIn(s, slowFrom+5*time.Second, slowTo)
	t.Logf("share before %.3f, while all are slow %.3f", before, during)
	is.True(during > before/2)
	is.True(during < before*2)
}

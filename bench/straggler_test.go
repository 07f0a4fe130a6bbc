package bench

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	slowFrom, slowTo = 30 * time.Second, 60 * time.Second
	watchedEngine    = 3
)

// watchedShare returns the watched engine's share of all prefilled tokens of
// requests that arrived in a time window.
func watchedShare(s *simulation, from, to time.Duration) float64 {
	var own, all float64
	for _, r := range s.requests {
		if r.engine == nil || r.arrived < from || r.arrived >= to {
			continue
		}
		all += float64(r.prefilledTokens)
		if r.engine.index == watchedEngine {
			own += float64(r.prefilledTokens)
		}
	}
	return own / all
}

// runSlowed simulates a scenario in which the affected engines run at half speed
// from slowFrom to slowTo.
func runSlowed(affected func(*engine) bool) *simulation {
	setSpeed := func(speed float64) func(*simulation) {
		return func(s *simulation) {
			for _, e := range s.engines {
				if affected(e) {
					e.speed = speed
				}
			}
		}
	}
	sc := scenario{mix: drumlin, load: 0.4, seed: benchSeed, duration: 90 * time.Second}
	sc.disturbances = []disturbance{{slowFrom, setSpeed(0.5)}, {slowTo, setSpeed(1)}}
	return simulate(sc, newOwners())
}

func TestStragglerLosesAndRegainsShare(t *testing.T) {
	is := is.New(t)
	s := runSlowed(func(e *engine) bool { return e.index == watchedEngine })
	before := watchedShare(s, 10*time.Second, slowFrom)
	during := watchedShare(s, slowFrom+5*time.Second, slowTo)
	after := watchedShare(s, slowTo+10*time.Second, 100*time.Second)
	t.Logf("share before %.3f, while slow %.3f, after %.3f", before, during, after)
	is.True(during < before)
	is.True(during > 0)
	is.True(after > during)
}

func TestUniformSlowdownKeepsShares(t *testing.T) {
	is := is.New(t)
	s := runSlowed(func(*engine) bool { return true })
	before := watchedShare(s, 10*time.Second, slowFrom)
	during := watchedShare(s, slowFrom+5*time.Second, slowTo)
	t.Logf("share before %.3f, while all are slow %.3f", before, during)
	is.True(during > before/2)
	is.True(during < before*2)
}

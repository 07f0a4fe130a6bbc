package rollout

import (
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
)

const (
	bound     = 0.1
	testShare = trialShareOfBound * bound
)

var testRoutes = [...]string{"chat", "long", "short", "book", "look"}

// play adds the outcomes of one request on each route, of which the new version gets its
// share, and returns how many bad responses of the new version it added.
func play(t Tally, random *rand.Rand, before, after func(route int) (failure, slow float64)) (bad uint64) {
	for route, name := range testRoutes {
		isNew := random.Float64() < testShare
		failure, slow := before(route)
		if isNew {
			failure, slow = after(route)
		}
		c := Counts{Responses: 1}
		switch {
		case random.Float64() < failure:
			c.Failures = 1
		case random.Float64() < slow:
			c.Slow = 1
		}
		if isNew {
			bad += c.Failures + c.Slow
		}
		s := Series{name, isNew}
		t[s] = t[s].plus(c)
	}
	return bad
}

func usualOutcomes(int) (failure, slow float64) { return 0.01, 0.1 }

// A sound version that is taken for a bad one costs a rollout. The days of both deployments
// bring failures and slow responses at all versions.
func TestSoundVersionIsRarelyTakenForABadOne(t *testing.T) {
	is := is.New(t)
	const rollouts, requests = 300, 8000
	wrong := 0
	for seed := range uint64(rollouts) {
		random, tally := rand.New(rand.NewPCG(seed, 1)), make(Tally)
		for i := range requests {
			play(tally, random, usualOutcomes, usualOutcomes)
			if i%20 == 0 && tally.Bad() {
				wrong++
				break
			}
		}
	}
	t.Logf("%d of %d", wrong, rollouts)
	is.True(wrong <= rollouts/100)
}

// A bad version has to be known before callers have got 50 bad responses, also if one route
// alone or a part of the responses is bad.
func TestBadVersionIsKnownBeforeFiftyBadResponses(t *testing.T) {
	for _, c := range []struct {
		name  string
		after func(route int) (failure, slow float64)
	}{
		{"fails always", func(int) (float64, float64) { return 1, 0 }},
		{"fails in a fifth", func(int) (float64, float64) { return 0.2, 0.1 }},
		{"slow in a half", func(int) (float64, float64) { return 0.01, 0.5 }},
		{"fails in a quarter on one route", func(route int) (float64, float64) {
			if route == 3 {
				return 0.25, 0.1
			}
			return 0.01, 0.1
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			worst := uint64(0)
			for seed := range uint64(50) {
				random, tally, bad := rand.New(rand.NewPCG(seed, 2)), make(Tally), uint64(0)
				for i := 0; !tally.Bad(); i++ {
					bad += play(tally, random, usualOutcomes, c.after)
					is.True(i < 20000) // The bad version is never known.
				}
				worst = max(worst, bad)
			}
			t.Logf("worst: %d bad responses", worst)
			is.True(worst < 50)
		})
	}
}

func TestEvidenceNeedsResponsesOnEachRoute(t *testing.T) {
	series := func(route string, isNew bool, n uint64) Tally {
		return Tally{Series{route, isNew}: {Responses: n}}
	}
	for _, c := range []struct {
		name    string
		tallies []Tally
		want    Evidence
	}{
		{"nothing", nil, Scarce},
		{"no response of the new version on a quiet service", []Tally{series("a", false, 10)}, Scarce},
		{"one route without responses of the new version", []Tally{series("a", false, 1000), series("a", true, 60), series("b", false, 1000)}, Missing},
		{"enough on both", []Tally{series("a", false, 1000), series("a", true, 60), series("b", false, 1000), series("b", true, 20)}, Sufficient},
		{"a quiet route beside a busy one", []Tally{series("a", false, 1000), series("a", true, 60), series("b", false, 10)}, Sufficient},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			all := make(Tally)
			for _, tally := range c.tallies {
				all.add(tally)
			}
			is.Equal(all.Evidence(testShare), c.want)
		})
	}
}

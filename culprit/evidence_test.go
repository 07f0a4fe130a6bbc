package culprit

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/primrosemoor/primrosemoor/clock"
	"github.com/primrosemoor/primrosemoor/internal/rapidtest"
)

func TestMain(m *testing.M) { rapidtest.Main(m, "1", "300") }

const (
	shared, crashing, other Feature = 1, 2, 3
	start                           = clock.Instant(time.Hour)
)

// own is the feature of a single request, its hash.
func own(i int) Feature { return Feature(1000 + i) }

// crashed returns evidence of crashes of different targets, one a second, with the
// features of each request.
func crashed(features ...[]Feature) *evidence {
	e := newEvidence()
	for i, f := range features {
		e.addCrash(Crash{Target: uint64(i), Features: f, At: second(i)})
	}
	return e
}

func second(i int) clock.Instant { return start.Add(time.Duration(i) * time.Second) }

func TestFeatureOfAllCrashedRequestsIsQuarantined(t *testing.T) {
	is := is.New(t)
	e := crashed([]Feature{shared, crashing, own(0)}, []Feature{shared, crashing, own(1)})
	is.Equal(e.judge([]Feature{shared, crashing, own(8)}, second(2)).State, Suspect)
	e.addCrash(Crash{Target: 2, Features: []Feature{shared, crashing, own(2)}, At: second(2)})
	v := e.judge([]Feature{shared, crashing, own(8)}, second(3))
	is.Equal(v.State, Quarantined)
	is.Equal(v.Crashes, 3)
	is.True(v.RetryAfter > 0)
}

func TestRequestWithPartOfWhatCrashedRequestsShareIsClear(t *testing.T) {
	is := is.New(t)
	e := crashed([]Feature{shared, crashing, own(0)}, []Feature{shared, crashing, own(1)}, []Feature{shared, crashing, own(2)})
	is.Equal(e.judge([]Feature{shared, own(8)}, second(3)).State, Clear)
	is.Equal(e.judge([]Feature{shared, other, own(8)}, second(3)).State, Clear)
}

func TestSurvivalOfASharedFeatureLeavesTheOthersSuspected(t *testing.T) {
	is := is.New(t)
	e := crashed([]Feature{shared, crashing, own(0)}, []Feature{shared, crashing, own(1)}, []Feature{shared, crashing, own(2)})
	is.Equal(e.judge([]Feature{other, crashing, own(8)}, second(3)).State, Clear)
	e.addSurvival(Survival{shared, second(3)})
	is.Equal(e.judge([]Feature{other, crashing, own(8)}, second(4)).State, Quarantined)
	is.Equal(e.judge([]Feature{shared, own(8)}, second(4)).State, Clear)
}

func TestCrashWithoutASharedFeatureNarrowsTheSuspicion(t *testing.T) {
	is := is.New(t)
	e := crashed([]Feature{shared, crashing, own(0)}, []Feature{shared, crashing, own(1)}, []Feature{shared, crashing, own(2)}, []Feature{other, crashing, own(3)})
	is.Equal(e.judge([]Feature{5, crashing, own(8)}, second(4)).State, Quarantined)
}

func TestFeatureThatTargetsSurviveIsClear(t *testing.T) {
	is := is.New(t)
	e := newEvidence()
	for i := range 20 {
		e.addCrash(Crash{Target: uint64(i), Features: []Feature{shared, own(i)}, At: second(2 * i)})
		e.addSurvival(Survival{shared, second(2*i + 1)})
	}
	is.Equal(e.judge([]Feature{shared, own(99)}, second(40)).State, Clear)
}

func TestRepeatedRequestIsQuarantined(t *testing.T) {
	is := is.New(t)
	e := crashed([]Feature{own(0)}, []Feature{own(0)}, []Feature{own(0)})
	is.Equal(e.judge([]Feature{own(0)}, second(3)).State, Quarantined)
	is.Equal(e.judge([]Feature{own(1)}, second(3)).State, Clear)
}

func TestCrashesAtTheSameMomentCountOnce(t *testing.T) {
	is := is.New(t)
	e := newEvidence()
	for i := range 50 {
		e.addCrash(Crash{Target: uint64(i), Features: []Feature{shared}, At: start.Add(time.Duration(i) * time.Millisecond)})
	}
	is.Equal(e.judge([]Feature{shared}, second(1)).State, Clear)
}

func TestRequestsAtOneCrashCountOnce(t *testing.T) {
	is := is.New(t)
	e := newEvidence()
	for i := range 5 {
		e.addCrash(Crash{Target: 1, Features: []Feature{shared, own(i)}, At: second(i)})
	}
	is.Equal(e.judge([]Feature{shared}, second(5)).State, Clear)
}

func TestQuarantineEndsAndTheNextCrashRenewsItForLonger(t *testing.T) {
	is := is.New(t)
	e := crashed([]Feature{crashing}, []Feature{crashing}, []Feature{crashing})
	first := e.judge([]Feature{crashing}, second(2)).RetryAfter
	end := second(2).Add(first)
	is.Equal(e.judge([]Feature{crashing}, end.Add(-time.Second)).State, Quarantined)
	is.Equal(e.judge([]Feature{crashing}, end.Add(time.Second)).State, Suspect)
	e.addCrash(Crash{Target: 9, Features: []Feature{crashing}, At: end.Add(2 * time.Second)})
	is.True(e.judge([]Feature{crashing}, end.Add(2*time.Second)).RetryAfter > first)
	is.Equal(e.judge([]Feature{crashing}, end.Add(3*evidenceTime)).State, Clear)
}

// All nodes conclude the same, in whatever order the evidence reaches them.
func TestVerdictsDoNotDependOnTheOrderOfEvidence(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		feature := rapid.Map(rapid.IntRange(1, 4), func(i int) Feature { return Feature(i) })
		instant := rapid.Map(rapid.IntRange(1, 20), second)
		crashes := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Crash {
			return Crash{Target: rapid.Uint64Range(1, 8).Draw(t, "target"), Features: rapid.SliceOfNDistinct(feature, 1, 3, rapid.ID).Draw(t, "features"), At: instant.Draw(t, "at")}
		}), 0, 20).Draw(rt, "crashes")
		survivals := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Survival {
			return Survival{feature.Draw(t, "feature"), instant.Draw(t, "at")}
		}), 0, 5).Draw(rt, "survivals")
		// Crashes at the same instant have no order of their own.
		seen := make(map[clock.Instant]bool)
		var distinct []Crash
		for _, c := range crashes {
			if !seen[c.At] {
				distinct = append(distinct, c)
			}
			seen[c.At] = true
		}
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 1))
		a, b := newEvidence(), newEvidence()
		addAll(a, distinct, survivals)
		random.Shuffle(len(distinct), func(i, j int) { distinct[i], distinct[j] = distinct[j], distinct[i] })
		random.Shuffle(len(survivals), func(i, j int) { survivals[i], survivals[j] = survivals[j], survivals[i] })
		for _, s := range survivals {
			b.addSurvival(s)
		}
		addAll(b, distinct, nil)
		for _, features := range [][]Feature{{1}, {1, 2}, {2, 3}, {1, 2, 3, 4}} {
			now := second(21)
			if va, vb := a.judge(features, now), b.judge(features, now); va.State != vb.State {
				rt.Fatalf("verdicts on %v: %v and %v", features, va, vb)
			}
		}
	})
}

func addAll(e *evidence, crashes []Crash, survivals []Survival) {
	for _, c := range crashes {
		e.addCrash(c)
	}
	for _, s := range survivals {
		e.addSurvival(s)
	}
}

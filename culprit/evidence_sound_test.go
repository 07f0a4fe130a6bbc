package culprit

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// crashWith adds the crash of a target with all requests that were there.
func (e *evidence) crashWith(target uint64, at int, requests ...[]Feature) {
	for _, features := range requests {
		e.addCrash(Crash{Target: target, Features: features, At: second(at)})
	}
}

// Sound requests that wait beside those that crash their targets have parts in common, too.
func TestRequestsThatMerelyWaitAtCrashesAreNotQuarantined(t *testing.T) {
	for _, waiting := range []int{1, 3, 20} {
		t.Run(fmt.Sprint(waiting), func(t *testing.T) {
			is := is.New(t)
			e := newEvidence()
			for i := range 3 {
				requests := [][]Feature{{shared, crashing, own(i)}}
				for j := range waiting {
					requests = append(requests, []Feature{shared, own(100*(i+1) + j)})
				}
				e.crashWith(uint64(i), i, requests...)
			}
			is.Equal(e.judge([]Feature{shared, own(9)}, second(3)).State, Suspect)
			is.Equal(e.judge([]Feature{shared, crashing, own(9)}, second(3)).State, Quarantined)
			e.addSurvival(Survival{shared, second(4)})
			is.Equal(e.judge([]Feature{shared, own(9)}, second(4)).State, Clear)
			is.Equal(e.judge([]Feature{shared, crashing, own(9)}, second(4)).State, Quarantined)
		})
	}
}

func TestRequestsOfOthersThatWaitAtCrashesAreNotQuarantined(t *testing.T) {
	is := is.New(t)
	e := newEvidence()
	for i := range 3 {
		e.crashWith(uint64(i), i, []Feature{crashing, own(i)}, []Feature{other, own(100 + i)})
	}
	is.Equal(e.judge([]Feature{other, own(9)}, second(3)).State, Suspect)
	e.addSurvival(Survival{other, second(4)})
	is.Equal(e.judge([]Feature{other, own(9)}, second(4)).State, Clear)
	is.Equal(e.judge([]Feature{crashing, own(9)}, second(4)).State, Quarantined)
}

// A crash without the other explanation decides.
func TestPartThatCrashesAloneIsQuarantined(t *testing.T) {
	is := is.New(t)
	e := newEvidence()
	for i := range 3 {
		e.crashWith(uint64(i), i, []Feature{shared, own(i)}, []Feature{other, own(100 + i)})
	}
	is.Equal(e.judge([]Feature{shared, own(9)}, second(3)).State, Suspect)
	e.crashWith(3, 3, []Feature{shared, own(3)})
	is.Equal(e.judge([]Feature{shared, own(9)}, second(4)).State, Quarantined)
}

// Whatever sound requests wait beside the crashing ones, these are stopped soon, and sound
// ones are never refused.
func TestCrashingPartIsFoundAmongSoundRequests(t *testing.T) {
	const (
		// maxAfterFive is how many crashing requests may be sent after the fifth crash.
		maxAfterFive = 3
		rounds       = 60
		targets      = 6
	)
	rapid.Check(t, func(rt *rapid.T) {
		e := newEvidence()
		ended, afterFive, serial := 0, 0, 0
		for round := range rounds {
			now := second(round)
			waiting := make(map[int][][]Feature)
			crashed := make(map[int]bool)
			for range rapid.IntRange(1, 8).Draw(rt, "requests") {
				serial++
				features := []Feature{Feature(10 + rapid.IntRange(0, 2).Draw(rt, "team")), Feature(20 + rapid.IntRange(0, 5).Draw(rt, "part")), own(serial)}
				crashes := rapid.IntRange(0, 4).Draw(rt, "kind") == 0
				if crashes {
					features = append(features, crashing)
				}
				if state := e.judge(features, now).State; state == Quarantined {
					if !crashes {
						rt.Fatalf("round %d: a sound request is refused", round)
					}
					continue
				}
				target := rapid.IntRange(0, targets-1).Draw(rt, "target")
				waiting[target] = append(waiting[target], features)
				crashed[target] = crashed[target] || crashes
			}
			for target := range targets {
				requests := waiting[target]
				if crashed[target] {
					if ended++; ended > 5 {
						afterFive++
					}
					e.crashWith(uint64(targets*round+target), round, requests...)
					continue
				}
				for _, features := range requests {
					for _, f := range e.open(features) {
						e.addSurvival(Survival{f, now.Add(crashSpacing)})
					}
				}
			}
		}
		if afterFive > maxAfterFive {
			rt.Fatalf("%d crashes after the fifth", afterFive)
		}
	})
}

// A part that crashes targets is found however many others there are.
func TestCrashingPartIsFoundBehindManyOthers(t *testing.T) {
	is := is.New(t)
	e := newEvidence()
	long := func(i int) []Feature {
		var features []Feature
		for part := range 500 {
			features = append(features, Feature(1_000_000+1000*i+part))
		}
		return append(features, crashing, own(i))
	}
	for i := range 3 {
		e.crashWith(uint64(i), i, long(i), []Feature{shared, own(100 + i)})
	}
	is.Equal(e.judge(long(9), second(3)).State, Suspect) // The part of the sound ones may be the cause.
	e.addSurvival(Survival{shared, second(3)})
	is.Equal(e.judge(long(9), second(3)).State, Quarantined)
}

package balance

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/primrosemoor/primrosemoor/catalog"
)

const eventTokens = 6

func newTestEngine() *engine {
	e := newEngine()
	e.eventTokens = eventTokens
	return e
}

func newTestTarget(id string, now time.Time) *target {
	return &target{
		Target:           &catalog.Target{ID: id, Service: "s", Zone: "a", Slots: 8},
		prefillUpdatedAt: now, prefilling: make(map[*Work]*pendingPrompt), remote: make(map[string]remoteLoad),
	}
}

// sampleOf returns the sample of a stream whose events arrive at a fixed
// interval, with the given jitter and, at random, the prefill of a prompt in
// between.
func sampleOf(r *rand.Rand, events int, gap, jitter time.Duration, prefillProbability float64) Sample {
	var gaps eventGaps
	now := time.Unix(0, 0)
	for range events {
		now = now.Add(gap)
		if r.Float64() < prefillProbability {
			now = now.Add(5 * gap)
		}
		gaps.add(now.Add(time.Duration(r.Float64() * float64(jitter))))
	}
	return gaps.sample()
}

func TestStepTimeIsEstimatedDespiteJitterAndPrefills(t *testing.T) {
	is := is.New(t)
	e, target := newTestEngine(), newTestTarget("i", time.Unix(0, 0))
	r := rand.New(rand.NewPCG(1, 2))
	const step = 8 * time.Millisecond
	for range 60 {
		e.learnStep(target, sampleOf(r, 40, eventTokens*step, 30*time.Millisecond, 0.2))
	}
	got := e.stepSeconds(target)
	is.True(math.Abs(got-step.Seconds()) < 0.2*step.Seconds())
}

func TestSlowedEngineIsDetected(t *testing.T) {
	is := is.New(t)
	e, target := newTestEngine(), newTestTarget("i", time.Unix(0, 0))
	r := rand.New(rand.NewPCG(1, 2))
	for range 20 {
		e.learnStep(target, sampleOf(r, 40, eventTokens*2*time.Millisecond, 0, 0))
	}
	for range 60 {
		e.learnStep(target, sampleOf(r, 40, eventTokens*8*time.Millisecond, 0, 0))
	}
	is.True(e.stepSeconds(target) > 0.006)
}

func TestShortStreamIsNoStepSample(t *testing.T) {
	is := is.New(t)
	e, target := newTestEngine(), newTestTarget("i", time.Unix(0, 0))
	e.learnStep(target, sampleOf(rand.New(rand.NewPCG(1, 2)), gapsPerSample, time.Second, 0, 0))
	is.Equal(target.speed.samples, 0)
}

func TestReportedStepIsUsedUntilEnoughOwnSamples(t *testing.T) {
	is := is.New(t)
	e, target := newTestEngine(), newTestTarget("i", time.Unix(0, 0))
	is.Equal(e.stepSeconds(target), initialStepTime.Seconds())
	target.speed.reported = 0.009
	is.Equal(e.stepSeconds(target), 0.009)
	target.speed.step, target.speed.samples = 0.002, minOwnSamples
	is.Equal(e.stepSeconds(target), 0.002)
}

func TestPrefillRateIsEstimated(t *testing.T) {
	is := is.New(t)
	e, target := newTestEngine(), newTestTarget("i", time.Unix(0, 0))
	const rate = 60.0 // prompt tokens per step
	for range 400 {
		steps := 5000/rate + firstEventOverheadSteps + eventTokens
		e.learnPrefill(target, 0, 5000, seconds(steps*initialStepTime.Seconds()))
	}
	is.True(math.Abs(e.prefillTokensPerStep-rate) < 2)
}

func TestTimeToFirstEventIncludesTheBacklog(t *testing.T) {
	is := is.New(t)
	e, target := newTestEngine(), newTestTarget("i", time.Unix(0, 0))
	alone := e.timeToFirstEvent(target, 0, 1000)
	behind := e.timeToFirstEvent(target, 15_000, 1000)
	is.Equal(behind-alone, seconds(15_000/initialPrefillTokensPerStep*initialStepTime.Seconds()))
}

func TestPromptIsPendingUntilItsFirstEvent(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	e, target := newTestEngine(), newTestTarget("i", now)
	w := &Work{PromptTokens: 10_000}
	target.addRequest(w, now, time.Second)
	target.advancePrefill(now.Add(time.Hour), e)
	is.Equal(target.own.PromptTokens, minPendingShare*10_000)
	target.finishPrefill(w)
	is.Equal(target.own.PromptTokens, 0.0)
	is.Equal(target.own.Requests, 1)
}

func TestLongResponseDoesNotCompleteOnASlowEngine(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	p := &pool{name: "s", engine: newTestEngine()}
	fast, slow := newTestTarget("fast", now), newTestTarget("slow", now)
	fast.speed.reported, slow.speed.reported = 0.002, 0.010
	w := &Work{PromptTokens: 1000, EstimatedOutputTokens: 1500, Arrived: now, Goal: now.Add(time.Second), End: now.Add(15 * time.Second)}
	is.True(p.score(fast, w, now, location{zone: "a"}, 0).completes)
	is.True(!p.score(slow, w, now, location{zone: "a"}, 0).completes)
}

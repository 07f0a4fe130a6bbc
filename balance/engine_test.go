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
		Target: &catalog.Target{ID: id, Service: "s", Zone: "a", Slots: 8},
		read:   now, reading: make(map[*Work]*prompt), remote: make(map[string]told),
	}
}

// pausesOf returns the pauses of a stream whose events come each pause, with
// the given jitter and now and then the reading of a prompt in between.
func pausesOf(r *rand.Rand, events int, pause, jitter time.Duration, prompts float64) Sample {
	var p pauses
	now := time.Unix(0, 0)
	for range events {
		now = now.Add(pause)
		if r.Float64() < prompts {
			now = now.Add(5 * pause)
		}
		p.add(now.Add(time.Duration(r.Float64() * float64(jitter))))
	}
	return p.sample()
}

func TestTheStepIsLearnedThroughJitterAndPrompts(t *testing.T) {
	is := is.New(t)
	e, target := newTestEngine(), newTestTarget("i", time.Unix(0, 0))
	r := rand.New(rand.NewPCG(1, 2))
	const step = 8 * time.Millisecond
	for range 60 {
		e.learnStep(target, pausesOf(r, 40, eventTokens*step, 30*time.Millisecond, 0.2))
	}
	got := e.stepSeconds(target)
	is.True(math.Abs(got-step.Seconds()) < 0.2*step.Seconds())
}

func TestASlowedEngineIsNoticed(t *testing.T) {
	is := is.New(t)
	e, target := newTestEngine(), newTestTarget("i", time.Unix(0, 0))
	r := rand.New(rand.NewPCG(1, 2))
	for range 20 {
		e.learnStep(target, pausesOf(r, 40, eventTokens*2*time.Millisecond, 0, 0))
	}
	for range 60 {
		e.learnStep(target, pausesOf(r, 40, eventTokens*8*time.Millisecond, 0, 0))
	}
	is.True(e.stepSeconds(target) > 0.006)
}

func TestAShortStreamSaysNothingOfTheStep(t *testing.T) {
	is := is.New(t)
	e, target := newTestEngine(), newTestTarget("i", time.Unix(0, 0))
	e.learnStep(target, pausesOf(rand.New(rand.NewPCG(1, 2)), pauseSpan, time.Second, 0, 0))
	is.Equal(target.pace.samples, 0)
}

func TestAnotherNodesStepIsUsedUntilThisNodeKnows(t *testing.T) {
	is := is.New(t)
	e, target := newTestEngine(), newTestTarget("i", time.Unix(0, 0))
	is.Equal(e.stepSeconds(target), startStep.Seconds())
	target.pace.told = 0.009
	is.Equal(e.stepSeconds(target), 0.009)
	target.pace.step, target.pace.samples = 0.002, ownSamples
	is.Equal(e.stepSeconds(target), 0.002)
}

func TestTheReadingSpeedIsLearned(t *testing.T) {
	is := is.New(t)
	e, target := newTestEngine(), newTestTarget("i", time.Unix(0, 0))
	const speed = 60.0 // tokens in a step
	for range 400 {
		steps := 5000/speed + firstSteps + eventTokens
		e.learnRead(target, 0, 5000, seconds(steps*startStep.Seconds()))
	}
	is.True(math.Abs(e.readTokens-speed) < 2)
}

func TestThePredictionCountsWhatIsAhead(t *testing.T) {
	is := is.New(t)
	e, target := newTestEngine(), newTestTarget("i", time.Unix(0, 0))
	alone := e.firstEvent(target, 0, 1000)
	behind := e.firstEvent(target, 15_000, 1000)
	is.Equal(behind-alone, seconds(15_000/startReadTokens*startStep.Seconds()))
}

func TestAPromptCountsUntilItsFirstEvent(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	e, target := newTestEngine(), newTestTarget("i", now)
	w := &Work{PromptTokens: 10_000}
	target.send(w, now)
	target.advance(now.Add(time.Hour), e)
	is.Equal(target.own.PromptTokens, unreadShare*10_000)
	target.wasRead(w)
	is.Equal(target.own.PromptTokens, 0.0)
	is.Equal(target.own.Requests, 1)
}

func TestALongAnswerDoesNotFitASlowEngine(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	p := &pool{name: "s", engine: newTestEngine()}
	fast, slow := newTestTarget("fast", now), newTestTarget("slow", now)
	fast.pace.told, slow.pace.told = 0.002, 0.010
	w := &Work{PromptTokens: 1000, HintTokens: 1500, Arrived: now, Goal: now.Add(time.Second), End: now.Add(15 * time.Second)}
	is.True(p.score(fast, w, now, place{zone: "a"}, 0).whole)
	is.True(!p.score(slow, w, now, place{zone: "a"}, 0).whole)
}

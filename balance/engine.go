package balance

import "time"

// Initial estimates for an engine that has not been observed yet. Measurements
// of its responses replace them.
const (
	// initialStepTime is the duration of one decode step, which generates one
	// token for every running request, on an engine of typical speed.
	initialStepTime = 3 * time.Millisecond
	// initialPrefillTokensPerStep is how many prompt tokens an engine prefills in
	// the duration of one decode step.
	initialPrefillTokensPerStep = 150.0
	// firstEventOverheadSteps is the part of the time to the first event that is
	// not prefill, in decode steps: the request's path through the engine.
	firstEventOverheadSteps = 4.0
	// initialSlowdown is the ratio of the mean time per output token to the
	// shortest one. The prefills of other requests between decode steps cause the
	// difference.
	initialSlowdown = 1.5
)

// engine holds the settings and estimates that all engines of a service share.
type engine struct {
	slots int
	// cacheTokens is the memory of an engine in tokens, 0 if it is not stated.
	cacheTokens float64
	eventTokens float64
	// prefillTokensPerStep is how many prompt tokens are prefilled in the
	// duration of one decode step.
	prefillTokensPerStep float64
	// defaultStep is the typical step time in seconds, assumed for targets whose
	// step time is unknown.
	defaultStep float64
	// meanPromptTokens and meanOutputTokens are the mean lengths of prompts and
	// responses by route.
	meanPromptTokens, meanOutputTokens map[string]float64
	// meanSlotSeconds is the mean expected time for which requests occupy a slot.
	meanSlotSeconds float64
}

func newEngine() *engine {
	return &engine{prefillTokensPerStep: initialPrefillTokensPerStep, defaultStep: initialStepTime.Seconds(), meanPromptTokens: make(map[string]float64), meanOutputTokens: make(map[string]float64)}
}

// engineSpeed holds the estimated speed of one engine.
type engineSpeed struct {
	// step is the shortest time per output token in seconds; 0 until it is known.
	step    float64
	samples int
	// reported is the step time that another node has measured; 0 if none has.
	reported float64
	// slowdown is the ratio of the mean time per output token to step; 0 until it
	// is known.
	slowdown float64
}

// known reports whether the engine's step time is known.
func (s engineSpeed) known() bool { return s.samples > 0 || s.reported > 0 }

// minOwnSamples is the number of this node's samples from which its own
// estimate takes precedence over one reported by another node.
const minOwnSamples = 3

// stepSeconds returns the step time of a target in seconds.
func (e *engine) stepSeconds(t *target) float64 {
	switch {
	case t.speed.samples >= minOwnSamples || t.speed.samples > 0 && t.speed.reported == 0:
		return t.speed.step
	case t.speed.reported > 0:
		return t.speed.reported
	default:
		return e.defaultStep
	}
}

// prefillRate returns how many prompt tokens a target prefills per second.
func (e *engine) prefillRate(t *target) float64 {
	return e.prefillTokensPerStep / e.stepSeconds(t)
}

// timeToFirstEvent predicts the time from sending a request with the given
// prompt to its first event, behind a backlog of prompt tokens at the target.
func (e *engine) timeToFirstEvent(t *target, backlog, promptTokens float64) time.Duration {
	steps := (backlog+promptTokens)/e.prefillTokensPerStep + firstEventOverheadSteps + e.eventTokens
	return seconds(steps * e.stepSeconds(t))
}

// decodeTime predicts the time from the first event to the last.
func (e *engine) decodeTime(t *target, outputTokens float64) time.Duration {
	slowdown := t.speed.slowdown
	if slowdown == 0 {
		slowdown = initialSlowdown
	}
	return seconds(outputTokens * e.stepSeconds(t) * slowdown)
}

// expectedOutputTokens returns the expected length of a request's response: the
// caller's estimate if there is one, else the mean of the route.
func (e *engine) expectedOutputTokens(w *Work) float64 {
	if w.EstimatedOutputTokens > 0 {
		return w.EstimatedOutputTokens
	}
	return e.meanOutputTokens[w.Route]
}

// slotSeconds returns the expected time for which a request occupies a slot of an
// engine of typical speed.
func (e *engine) slotSeconds(w *Work) float64 {
	steps := w.PromptTokens/e.prefillTokensPerStep + firstEventOverheadSteps + e.expectedOutputTokens(w)*initialSlowdown
	return steps * e.defaultStep
}

// learnSlotSeconds updates the mean time for which requests occupy a slot.
func (e *engine) learnSlotSeconds(w *Work) {
	e.meanSlotSeconds += slotSecondsWeight * (e.slotSeconds(w) - e.meanSlotSeconds)
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}

package balance

import "time"

// Starting values for an engine of which nothing is known yet; they are
// replaced by what its answers show.
const (
	// startStep is the time that an engine of usual speed takes for one token
	// of every running request.
	startStep = 3 * time.Millisecond
	// startReadTokens is how many prompt tokens an engine reads in the time of
	// one step.
	startReadTokens = 150.0
	// firstSteps is the time to the first event beyond reading, in steps: the
	// request's way through the engine and the event's own tokens.
	firstSteps = 5.0
)

// Weights of a new sample in the learned values. A service's engines are alike
// in how they read, so its value moves slowly; one engine's speed may change
// with its load and health.
const (
	stepWeight = 0.15
	readWeight = 0.05
)

// engine is what is learned of a service's engines in common.
type engine struct {
	slots       int
	eventTokens float64
	// readTokens is how many prompt tokens are read in the time of a step.
	readTokens float64
	// step is the usual step time, the start value for new targets.
	step float64
}

// pace is what is learned of one engine.
type pace struct {
	// step is the seconds for one token; 0 until it is known.
	step    float64
	samples int
	// told is the step that another node has learned, 0 if none has.
	told float64
}

// ownSamples are enough to prefer this node's own value to another node's.
const ownSamples = 5

// stepSeconds returns the time of one step at a target.
func (e *engine) stepSeconds(t *target) float64 {
	switch {
	case t.pace.samples >= ownSamples || t.pace.samples > 0 && t.pace.told == 0:
		return t.pace.step
	case t.pace.told > 0:
		return t.pace.told
	default:
		return e.step
	}
}

// readRate returns the prompt tokens that a target reads in a second.
func (e *engine) readRate(t *target) float64 {
	return e.readTokens / e.stepSeconds(t)
}

// firstEvent predicts the time from sending to the first event of a request
// with the given prompt, behind what is outstanding at the target.
func (e *engine) firstEvent(t *target, promptTokens float64) time.Duration {
	waiting := t.load().PromptTokens + promptTokens
	steps := waiting/e.readTokens + firstSteps + e.eventTokens
	return time.Duration(steps * e.stepSeconds(t) * float64(time.Second))
}

// learnStep takes the shortest pause between two events of a stream as a
// sample of the step time: longer ones hold the reading of prompts too.
func (e *engine) learnStep(t *target, pause time.Duration) {
	sample := pause.Seconds() / e.eventTokens
	if sample <= 0 {
		return
	}
	if t.pace.samples == 0 {
		t.pace.step = sample
	}
	t.pace.samples++
	t.pace.step += stepWeight * (sample - t.pace.step)
}

// learnRead takes the time to the first event of a long prompt that was read
// alone as a sample of the reading speed.
func (e *engine) learnRead(t *target, promptTokens float64, first time.Duration) {
	steps := first.Seconds()/e.stepSeconds(t) - firstSteps - e.eventTokens
	if steps <= 0 {
		return
	}
	e.readTokens += readWeight * (promptTokens/steps - e.readTokens)
}

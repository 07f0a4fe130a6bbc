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
	// request's way through the engine.
	firstSteps = 4.0
	// startStretch is how much longer a token takes on average than at best,
	// because prompts of others are read in between.
	startStretch = 1.5
)

// engine is what is learned of a service's engines in common.
type engine struct {
	slots       int
	eventTokens float64
	// readTokens is how many prompt tokens are read in the time of a step.
	readTokens float64
	// step is the usual step time in seconds, the start value for new targets.
	step float64
	// prompts and outputs are the mean lengths of prompts and answers by route.
	prompts, outputs map[string]float64
}

func newEngine() *engine {
	return &engine{readTokens: startReadTokens, step: startStep.Seconds(), prompts: make(map[string]float64), outputs: make(map[string]float64)}
}

// pace is what is learned of one engine.
type pace struct {
	// step is the seconds for one token at best; 0 until it is known.
	step    float64
	samples int
	// told is the step that another node has learned, 0 if none has.
	told float64
	// stretch is the mean time of a token over the step.
	stretch float64
}

// known reports whether the engine's step time is known.
func (p pace) known() bool { return p.samples > 0 || p.told > 0 }

// ownSamples are enough to prefer this node's own value to another node's.
const ownSamples = 3

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
func (e *engine) firstEvent(t *target, backlog, promptTokens float64) time.Duration {
	steps := (backlog+promptTokens)/e.readTokens + firstSteps + e.eventTokens
	return seconds(steps * e.stepSeconds(t))
}

// rest predicts the time from the first event to the last.
func (e *engine) rest(t *target, outputTokens float64) time.Duration {
	stretch := t.pace.stretch
	if stretch == 0 {
		stretch = startStretch
	}
	return seconds(outputTokens * e.stepSeconds(t) * stretch)
}

// output returns the expected length of a request's answer.
func (e *engine) output(w *Work) float64 {
	if w.HintTokens > 0 {
		return w.HintTokens
	}
	return e.outputs[w.Route]
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}

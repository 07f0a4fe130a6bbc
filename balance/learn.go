package balance

import "time"

const (
	// fasterWeight and slowerWeight are the weights of a step time sample below
	// and above the current estimate. A sample is the shortest duration of
	// several consecutive gaps in a stream: the prefills of other requests may
	// lengthen all of them, but it is hardly ever too short by chance.
	fasterWeight = 0.3
	slowerWeight = 0.05
	// prefillWeight, slowdownWeight and lengthWeight are the weights of a sample
	// of the prefill rate, of the mean time per output token, and of the lengths
	// of prompts and responses.
	prefillWeight  = 0.05
	slowdownWeight = 0.1
	// slotSecondsWeight is the weight of one request in the mean time for which requests
	// occupy a slot.
	slotSecondsWeight = 0.02
	lengthWeight      = 0.05
	// gapsPerSample is how many consecutive gaps make a sample of the step time:
	// over several, the jitter of single events evens out.
	gapsPerSample = 4
	// maxSlowdown bounds the slowdown that one stream can show.
	maxSlowdown = 10
	// minSamplePromptTokens is the length of the shortest prompt whose prefill
	// time is sampled.
	minSamplePromptTokens = 2000
	// maxPrefillDeviation bounds the factor by which one sample of the prefill
	// rate can differ from the current estimate.
	maxPrefillDeviation = 2
)

// eventGaps measures the gaps between the events of a stream.
type eventGaps struct {
	count int
	// recent holds the arrival times of the last events, oldest first.
	recent [gapsPerSample + 1]time.Time
	// shortest is the shortest duration of gapsPerSample consecutive gaps.
	shortest time.Duration
	total    time.Duration
}

// sample returns the timing of the events so far.
func (g *eventGaps) sample() Sample {
	return Sample{Gaps: g.count, ShortestSpan: g.shortest, Total: g.total}
}

// add records the arrival of an event.
func (g *eventGaps) add(now time.Time) {
	if last := g.recent[gapsPerSample]; !last.IsZero() {
		g.count++
		g.total += now.Sub(last)
	}
	copy(g.recent[:], g.recent[1:])
	g.recent[gapsPerSample] = now
	if g.count < gapsPerSample {
		return
	}
	if span := now.Sub(g.recent[0]); g.shortest == 0 || span < g.shortest {
		g.shortest = span
	}
}

// learnStep updates the step time of a target from the shortest gaps of a
// stream, and returns the weight of that.
func (e *engine) learnStep(t *target, s Sample) (weight float64) {
	sample := s.ShortestSpan.Seconds() / gapsPerSample / e.eventTokens
	if sample <= 0 {
		return 0
	}
	weight = slowerWeight
	switch {
	case t.speed.samples == 0:
		weight = 1
	case sample < t.speed.step:
		weight = fasterWeight
	}
	t.speed.samples++
	t.speed.step += weight * (sample - t.speed.step)
	return weight
}

// learnPrefill updates the prefill rate from the time to the first event of a
// long prompt; backlog is the number of prompt tokens to be prefilled before
// it.
func (e *engine) learnPrefill(t *target, backlog, prompt float64, timeToFirstEvent time.Duration) {
	steps := timeToFirstEvent.Seconds()/e.stepSeconds(t) - firstEventOverheadSteps - e.eventTokens
	if prompt < minSamplePromptTokens || steps <= 0 {
		return
	}
	sample := (backlog + prompt) / steps
	sample = min(max(sample, e.prefillTokensPerStep/maxPrefillDeviation), e.prefillTokensPerStep*maxPrefillDeviation)
	e.prefillTokensPerStep += prefillWeight * (sample - e.prefillTokensPerStep)
}

// learnSlowdown updates the slowdown of a target from the mean gap of a stream
// that has ended.
func (e *engine) learnSlowdown(t *target, s Sample) {
	if s.Gaps < gapsPerSample {
		return
	}
	mean := s.Total.Seconds() / float64(s.Gaps) / e.eventTokens
	sample := min(max(mean/e.stepSeconds(t), 1), maxSlowdown)
	if t.speed.slowdown == 0 {
		t.speed.slowdown = initialSlowdown
	}
	t.speed.slowdown += slowdownWeight * (sample - t.speed.slowdown)
}

// learnLengths updates the mean lengths of a route's prompts and complete
// responses.
func (e *engine) learnLengths(route string, prompt, output float64) {
	for means, sample := range map[*map[string]float64]float64{&e.meanPromptTokens: prompt, &e.meanOutputTokens: output} {
		mean, ok := (*means)[route]
		if !ok {
			mean = sample
		}
		(*means)[route] = mean + lengthWeight*(sample-mean)
	}
}

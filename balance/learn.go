package balance

import "time"

const (
	// fasterWeight and slowerWeight are the weights of a sample that shows an
	// engine faster or slower than known. A sample is the shortest time of some
	// events of a stream: it may be long because prompts were read all the while,
	// but hardly short by chance.
	fasterWeight = 0.3
	slowerWeight = 0.05
	// readWeight, stretchWeight and lengthWeight are the weights of a sample of
	// the reading speed, the mean time of a token and the lengths of prompts and
	// answers.
	readWeight    = 0.05
	stretchWeight = 0.1
	lengthWeight  = 0.05
	// pauseSpan is how many pauses make a sample of the step time: over several,
	// the jitter of single events evens out.
	pauseSpan = 4
	// maxStretch bounds what one stream says of a token's mean time.
	maxStretch = 10
	// readPrompt is the shortest prompt whose reading time is worth a sample.
	readPrompt = 2000
	// readBound bounds what one prompt says of the reading speed.
	readBound = 2
)

// pauses is what a stream shows of its engine's speed.
type pauses struct {
	count int
	// recent holds the times of the last events, first the oldest.
	recent [pauseSpan + 1]time.Time
	// shortest is the shortest time of pauseSpan pauses.
	shortest time.Duration
	total    time.Duration
}

// sample returns what the events so far show.
func (p *pauses) sample() Sample {
	return Sample{Pauses: p.count, Shortest: p.shortest, Total: p.total}
}

// add records the arrival of an event.
func (p *pauses) add(now time.Time) {
	if last := p.recent[pauseSpan]; !last.IsZero() {
		p.count++
		p.total += now.Sub(last)
	}
	copy(p.recent[:], p.recent[1:])
	p.recent[pauseSpan] = now
	if p.count < pauseSpan {
		return
	}
	if span := now.Sub(p.recent[0]); p.shortest == 0 || span < p.shortest {
		p.shortest = span
	}
}

// learnStep takes the shortest time of some events of a stream as a sample of
// the engine's step time.
func (e *engine) learnStep(t *target, s Sample) {
	sample := s.Shortest.Seconds() / pauseSpan / e.eventTokens
	if sample <= 0 {
		return
	}
	weight := slowerWeight
	switch {
	case t.pace.samples == 0:
		weight = 1
	case sample < t.pace.step:
		weight = fasterWeight
	}
	t.pace.samples++
	t.pace.step += weight * (sample - t.pace.step)
}

// learnRead takes the time to the first event of a long prompt as a sample of
// the reading speed; backlog is what was to be read before it.
func (e *engine) learnRead(t *target, backlog, prompt float64, first time.Duration) {
	steps := first.Seconds()/e.stepSeconds(t) - firstSteps - e.eventTokens
	if prompt < readPrompt || steps <= 0 {
		return
	}
	sample := (backlog + prompt) / steps
	sample = min(max(sample, e.readTokens/readBound), e.readTokens*readBound)
	e.readTokens += readWeight * (sample - e.readTokens)
}

// learnStretch takes the mean pause of a stream that has ended.
func (e *engine) learnStretch(t *target, s Sample) {
	if s.Pauses < pauseSpan {
		return
	}
	mean := s.Total.Seconds() / float64(s.Pauses) / e.eventTokens
	sample := min(max(mean/e.stepSeconds(t), 1), maxStretch)
	if t.pace.stretch == 0 {
		t.pace.stretch = startStretch
	}
	t.pace.stretch += stretchWeight * (sample - t.pace.stretch)
}

// learnLength takes the lengths of a prompt and its whole answer.
func (e *engine) learnLength(route string, prompt, output float64) {
	for means, sample := range map[*map[string]float64]float64{&e.prompts: prompt, &e.outputs: output} {
		mean, ok := (*means)[route]
		if !ok {
			mean = sample
		}
		(*means)[route] = mean + lengthWeight*(sample-mean)
	}
}

package balance

import "time"

const (
	// fasterWeight and slowerWeight are the weights of a sample that shows an
	// engine faster or slower than known. A sample is the shortest pause of a
	// stream: it may be long because prompts were read all the while, but not
	// short by chance.
	fasterWeight = 0.4
	slowerWeight = 0.1
	// stretchWeight and lengthWeight are the weights of a sample of the mean
	// time of a token and of the lengths of prompts and answers.
	stretchWeight = 0.1
	lengthWeight  = 0.05
	// minPauses is how many pauses a stream needs for its shortest one to be
	// free of others' prompts.
	minPauses = 4
	// maxStretch bounds what one stream says of a token's mean time.
	maxStretch = 10
)

// pauses is what a stream shows of its engine's speed.
type pauses struct {
	count    int
	shortest time.Duration
	total    time.Duration
}

func (p *pauses) add(d time.Duration) {
	if p.count == 0 || d < p.shortest {
		p.shortest = d
	}
	p.count++
	p.total += d
}

// learnStep takes the shortest pause between the events of a stream as a sample
// of the engine's step time.
func (e *engine) learnStep(t *target, p pauses) {
	sample := p.shortest.Seconds() / e.eventTokens
	if p.count < minPauses || sample <= 0 {
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

// learnStretch takes the mean pause of a stream that has ended.
func (e *engine) learnStretch(t *target, p pauses) {
	if p.count < minPauses {
		return
	}
	mean := p.total.Seconds() / float64(p.count) / e.eventTokens
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

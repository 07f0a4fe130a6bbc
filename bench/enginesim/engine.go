// Package enginesim simulates traffic on a model of the inference engines behind
// entry nodes, with the real balancing code and in the virtual time of a
// testing/synctest bubble.
//
// The model covers what the choice of a target depends on: batches with a fixed
// number of slots, whose steps get longer with each running request; prompts that
// are prefilled in chunks between steps and delay the whole batch; FIFO queues
// without priorities; and engines of different speeds. It omits memory limits,
// prefix caching and preemption. Engines may share their machines with other work, which
// makes them slower and faster many times a second, and report that. Use it to compare balancing policies; the
// platform's own benchmark decides acceptance.
package enginesim

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/primrosemoor/primrosemoor/loadreport"
)

const (
	// baseStepTime is the step time of an engine of speed 1 with one request;
	// each further request adds the fraction stepGrowth. Both are taken from the
	// deployments' data sheets.
	baseStepTime = 2890 * time.Microsecond
	stepGrowth   = 0.05
	// prefillRate is the prompt tokens per second that such an engine prefills,
	// in chunks of up to prefillChunkTokens between two steps.
	prefillRate        = 55_000
	prefillChunkTokens = 2048
	tokensPerEvent     = 6
)

// job is one request at an engine, queued or running.
type job struct {
	ctx                                context.Context
	promptTokensLeft, outputTokensLeft int
	events                             chan struct{}
}

// engine batches and runs jobs. Its methods are safe for concurrent use.
type engine struct {
	slots int
	// speed divides the duration of each step.
	speed    float64
	incoming chan *job
	// pace multiplies the duration of each step; nil for 1.
	pace *pace
	// load is what the engine reports of its load, as of the last step.
	load atomic.Pointer[loadreport.Load]
}

func newEngine(slots int, speed float64) *engine {
	return &engine{slots: slots, speed: speed, incoming: make(chan *job, 4096)}
}

// submit queues a request and returns the channel of its events, which is closed
// when the request ends.
func (e *engine) submit(ctx context.Context, promptTokens, events int) <-chan struct{} {
	j := &job{ctx: ctx, promptTokensLeft: promptTokens, outputTokensLeft: events * tokensPerEvent, events: make(chan struct{}, events+1)}
	e.incoming <- j
	return j.events
}

// run executes steps until ctx is done.
func (e *engine) run(ctx context.Context) {
	var queue, batch []*job
	for {
		if len(queue)+len(batch) == 0 {
			select {
			case j := <-e.incoming:
				queue = append(queue, j)
			case <-ctx.Done():
				return
			}
		}
		for len(e.incoming) > 0 {
			queue = append(queue, <-e.incoming)
		}
		batch = dropFinished(batch)
		for len(batch) < e.slots && len(queue) > 0 {
			batch = append(batch, queue[0])
			queue = queue[1:]
		}
		e.load.Store(&loadreport.Load{Running: len(batch), Waiting: len(queue) + len(e.incoming), Slots: e.slots, Pace: e.pace.at(time.Now())})
		time.Sleep(e.step(batch))
		if ctx.Err() != nil {
			return
		}
	}
}

// step advances all running requests by one step and returns its duration.
func (e *engine) step(batch []*job) time.Duration {
	d := float64(baseStepTime) * (1 + stepGrowth*float64(max(0, len(batch)-1)))
	budget := prefillChunkTokens
	for _, j := range batch {
		if j.promptTokensLeft > 0 {
			n := min(budget, j.promptTokensLeft)
			j.promptTokensLeft -= n
			budget -= n
			continue
		}
		j.outputTokensLeft--
		if j.outputTokensLeft%tokensPerEvent == 0 {
			j.events <- struct{}{}
		}
	}
	d += float64(prefillChunkTokens-budget) / prefillRate * float64(time.Second)
	return time.Duration(d / e.speed * e.pace.at(time.Now()))
}

// dropFinished removes jobs that are complete or canceled by their caller, and
// closes their event channels.
func dropFinished(batch []*job) []*job {
	kept := batch[:0]
	for _, j := range batch {
		if j.outputTokensLeft > 0 && j.ctx.Err() == nil {
			kept = append(kept, j)
			continue
		}
		close(j.events)
	}
	return kept
}

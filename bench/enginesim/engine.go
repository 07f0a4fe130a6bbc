// Package enginesim plays traffic on a model of the engines that entry nodes
// serve, with the real decision code and in the time of a testing/synctest bubble.
//
// The model knows what the choice of a target depends on: batches of slots whose
// steps grow longer with the requests that run, prompts read in chunks between
// steps that hold up all others, queues in order of arrival without priorities,
// and speeds that differ. It leaves out memory, kept prompts and preemption. It is
// for choosing between ways to decide; the users' bench judges.
package enginesim

import (
	"context"
	"time"
)

const (
	// stepTime of an engine of speed 1 with one request, and its growth by each
	// further one, as the deployments' sheets have them.
	stepTime   = 2890 * time.Microsecond
	stepGrowth = 0.05
	// readRate is how many prompt tokens such an engine reads in a second, in
	// chunks of up to chunkTokens between two steps.
	readRate    = 55_000
	chunkTokens = 2048
	eventTokens = 6
)

// job is one request at an engine.
type job struct {
	ctx context.Context
	// unread are prompt tokens, left are output tokens.
	unread, left int
	events       chan struct{}
}

// engine runs jobs. Its methods may be called by any goroutine.
type engine struct {
	slots int
	// speed divides the time of its steps.
	speed   float64
	arrived chan *job
}

func newEngine(slots int, speed float64) *engine {
	return &engine{slots: slots, speed: speed, arrived: make(chan *job, 4096)}
}

// submit queues a request. Its events arrive on the returned channel, which is
// closed at the end.
func (e *engine) submit(ctx context.Context, promptTokens, events int) <-chan struct{} {
	j := &job{ctx: ctx, unread: promptTokens, left: events * eventTokens, events: make(chan struct{}, events+1)}
	e.arrived <- j
	return j.events
}

// run makes one step after the other until ctx ends.
func (e *engine) run(ctx context.Context) {
	var queue, batch []*job
	for {
		if len(queue)+len(batch) == 0 {
			select {
			case j := <-e.arrived:
				queue = append(queue, j)
			case <-ctx.Done():
				return
			}
		}
		for len(e.arrived) > 0 {
			queue = append(queue, <-e.arrived)
		}
		batch = gone(batch)
		for len(batch) < e.slots && len(queue) > 0 {
			batch = append(batch, queue[0])
			queue = queue[1:]
		}
		time.Sleep(e.step(batch))
		if ctx.Err() != nil {
			return
		}
	}
}

// step advances all running requests and returns how long that takes.
func (e *engine) step(batch []*job) time.Duration {
	d := float64(stepTime) * (1 + stepGrowth*float64(max(0, len(batch)-1)))
	budget := chunkTokens
	for _, j := range batch {
		if j.unread > 0 {
			read := min(budget, j.unread)
			j.unread -= read
			budget -= read
			continue
		}
		j.left--
		if j.left%eventTokens == 0 {
			j.events <- struct{}{}
		}
	}
	d += float64(chunkTokens-budget) / readRate * float64(time.Second)
	return time.Duration(d / e.speed)
}

// gone drops requests that have ended or whose caller has left.
func gone(batch []*job) []*job {
	kept := batch[:0]
	for _, j := range batch {
		if j.left > 0 && j.ctx.Err() == nil {
			kept = append(kept, j)
			continue
		}
		close(j.events)
	}
	return kept
}

package enginesim

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/primrosemoor/primrosemoor/balance"
)

// Outcome is what callers of one class got.
type Outcome struct {
	Asked, OnTime, Late, Refused, Failed int
}

// Served is the share of requests that were answered at all.
func (o Outcome) Served() float64 { return float64(o.OnTime+o.Late) / float64(max(1, o.Asked)) }

// Result is what one run gave, by class.
type Result []Outcome

// Worth is the share of the worth of all requests that was earned.
func (r Result) Worth() float64 {
	earned, owed := 0.0, 0.0
	for i, o := range r {
		c := Classes[i]
		earned += c.Worth*float64(o.OnTime) + c.Late*float64(o.Late)
		owed += c.Worth * float64(o.Asked)
	}
	return earned / owed
}

// maxPause between two events, beyond which an answer is late, and the silence
// after which a caller leaves.
const (
	maxPause = 500 * time.Millisecond
	patience = 4 * time.Second
)

// experiment is one run.
type experiment struct {
	policies deployment
	nodes    int
	slots    int
	// speeds of the engines.
	speeds []float64
	load   float64
	length time.Duration
	seed   uint64
}

// play runs the experiment. It must be called in a bubble of testing/synctest.
func (e experiment) play(ctx context.Context) Result {
	var running sync.WaitGroup
	defer running.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	engines := make([]*engine, len(e.speeds))
	for i, speed := range e.speeds {
		engines[i] = newEngine(e.slots, speed)
		running.Go(func() { engines[i].run(ctx) })
	}
	policies, run := e.policies(e.nodes, len(engines), e.slots)
	running.Go(func() { run(ctx) })
	result := make(Result, len(Classes))
	var mu sync.Mutex
	var callers sync.WaitGroup
	began := time.Now()
	for _, a := range plan(rand.New(rand.NewPCG(e.seed, 0)), e.load, e.length, e.nodes) {
		time.Sleep(time.Until(began.Add(a.at)))
		callers.Go(func() {
			record := ask(ctx, policies[a.node], engines, a)
			mu.Lock()
			defer mu.Unlock()
			result[a.class].Asked++
			record(&result[a.class])
		})
	}
	callers.Wait()
	return result
}

// ask plays one caller and returns what it got.
func ask(ctx context.Context, p policy, engines []*engine, a arrival) func(*Outcome) {
	class := Classes[a.class]
	arrived := time.Now()
	ctx, cancel := context.WithTimeout(ctx, class.Limit)
	defer cancel()
	l, err := p.acquire(ctx, &balance.Work{
		Service: service, Tier: class.Tier, PromptTokens: float64(a.tokens), HintTokens: float64(class.Events * eventTokens),
		Route: class.Name, Arrived: arrived, Goal: arrived.Add(class.Goal), Patience: arrived.Add(patience), End: arrived.Add(class.Limit),
	})
	if err != nil {
		return func(o *Outcome) { o.Refused++ }
	}
	late, last := false, arrived
	allowed := class.Goal
	for events := engines[l.engine].submit(ctx, a.tokens, class.Events); ; {
		select {
		case _, more := <-events:
			if !more {
				l.done(balance.Answered)
				if late {
					return func(o *Outcome) { o.Late++ }
				}
				return func(o *Outcome) { o.OnTime++ }
			}
			l.event()
			late = late || time.Since(last) > allowed
			last, allowed = time.Now(), maxPause
		case <-time.After(time.Until(last.Add(patience))):
			l.done(balance.Abandoned)
			return func(o *Outcome) { o.Failed++ }
		case <-ctx.Done():
			l.done(balance.Abandoned)
			return func(o *Outcome) { o.Failed++ }
		}
	}
}

package enginesim

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/primrosemoor/primrosemoor/balance"
)

// Outcome counts the requests of one class by result.
type Outcome struct {
	Sent, OnTime, Late, Refused, Failed int
	// Begun counts the answers with a first event whose prediction counts, and
	// PredictionError is the sum of |ln(real/predicted)| of the times to it.
	Begun           int
	PredictionError float64
}

// Served returns the share of requests that were answered, on time or late.
func (o Outcome) Served() float64 { return float64(o.OnTime+o.Late) / float64(max(1, o.Sent)) }

// Result holds the outcome of a run for each of Classes.
type Result []Outcome

// ValueShare returns the earned share of the value that all requests have if they
// are on time.
func (r Result) ValueShare() float64 {
	earned, possible := 0.0, 0.0
	for i, o := range r {
		c := Classes[i]
		earned += c.Value*float64(o.OnTime) + c.LateValue*float64(o.Late)
		possible += c.Value * float64(o.Sent)
	}
	return earned / possible
}

// MeanPredictionError returns the mean of |ln(real/predicted)| over the times to the first
// event.
func (r Result) MeanPredictionError() float64 {
	begun, sum := 0, 0.0
	for _, o := range r {
		begun += o.Begun
		sum += o.PredictionError
	}
	return sum / float64(max(1, begun))
}

const (
	// maxEventGap is the longest time between two events of an answer that is on
	// time.
	maxEventGap = 500 * time.Millisecond
	// callerIdleTimeout is the time without an event after which a caller
	// disconnects.
	callerIdleTimeout = 4 * time.Second
)

// learningTime is the time at the start whose predictions are not counted: the speeds of the
// engines are not known then.
const learningTime = 5 * time.Second

// experiment is the configuration of one run.
type experiment struct {
	newPolicies policyFactory
	nodes       int
	slots       int
	// speeds has one entry for each engine.
	speeds []float64
	load   float64
	length time.Duration
	seed   uint64
	// paceChange is the mean time between two changes of the pace of an engine, 0 for none;
	// reports is whether engines report their loads.
	paceChange time.Duration
	reports    bool
}

// run runs the experiment. It must be called in a bubble of testing/synctest.
func (e experiment) run(ctx context.Context) Result {
	var running sync.WaitGroup
	defer running.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	engines := make([]*engine, len(e.speeds))
	for i, speed := range e.speeds {
		engines[i] = newEngine(e.slots, speed)
		if e.paceChange > 0 {
			engines[i].pace = newPace(rand.New(rand.NewPCG(e.seed, uint64(i+1))), e.paceChange)
		}
		running.Go(func() { engines[i].run(ctx) })
	}
	policies, runPolicies := e.newPolicies(e.nodes, len(engines), e.slots)
	running.Go(func() { runPolicies(ctx) })
	result := make(Result, len(Classes))
	var mu sync.Mutex
	var callers sync.WaitGroup
	start := time.Now()
	for _, a := range generateArrivals(rand.New(rand.NewPCG(e.seed, 0)), e.load, e.length, e.nodes) {
		time.Sleep(time.Until(start.Add(a.at)))
		callers.Go(func() {
			recordOutcome := sendRequest(ctx, policies[a.node], engines, a, e.reports)
			mu.Lock()
			defer mu.Unlock()
			result[a.class].Sent++
			recordOutcome(&result[a.class])
		})
	}
	callers.Wait()
	return result
}

// sendRequest sends one request as a caller does, reads its events, and returns a
// function that adds the result to an Outcome.
func sendRequest(ctx context.Context, p policy, engines []*engine, a arrival, reports bool) func(*Outcome) {
	class := Classes[a.class]
	arrived := time.Now()
	ctx, cancel := context.WithTimeout(ctx, class.Timeout)
	defer cancel()
	g, err := p.acquire(ctx, &balance.Work{
		Service: service, Tier: class.Tier, PromptTokens: float64(a.promptTokens), EstimatedOutputTokens: float64(class.Events * tokensPerEvent),
		Route: class.Name, Arrived: arrived, Goal: arrived.Add(class.FirstEventGoal), Patience: arrived.Add(callerIdleTimeout), End: arrived.Add(class.Timeout),
	})
	if err != nil {
		return func(o *Outcome) { o.Refused++ }
	}
	late, last, sent := false, arrived, time.Now()
	predicted := func(*Outcome) {}
	maxGap := class.FirstEventGoal
	for events := engines[g.engine].submit(ctx, a.promptTokens, class.Events); ; {
		select {
		case _, open := <-events:
			if !open {
				g.done(balance.Answered)
				if late {
					return func(o *Outcome) { predicted(o); o.Late++ }
				}
				return func(o *Outcome) { predicted(o); o.OnTime++ }
			}
			if last == arrived {
				if reports {
					g.report(*engines[g.engine].load.Load())
				}
				if after := time.Since(sent); g.expected > 0 && a.at >= learningTime {
					predicted = func(o *Outcome) {
						o.Begun++
						o.PredictionError += math.Abs(math.Log(after.Seconds() / g.expected.Seconds()))
					}
				}
			}
			g.event()
			late = late || time.Since(last) > maxGap
			last, maxGap = time.Now(), maxEventGap
		case <-time.After(time.Until(last.Add(callerIdleTimeout))):
			g.done(balance.Abandoned)
			return func(o *Outcome) { predicted(o); o.Failed++ }
		case <-ctx.Done():
			g.done(balance.Abandoned)
			return func(o *Outcome) { predicted(o); o.Failed++ }
		}
	}
}

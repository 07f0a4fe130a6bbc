package bench

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// baseline dispatches each request on arrival, as a plain balancer does.
type baseline struct {
	label  string
	s      *simulation
	choose func(live []*engine) *engine
}

func (b *baseline) name() string         { return b.label }
func (b *baseline) attach(s *simulation) { b.s = s }
func (b *baseline) finished(*request)    {}
func (b *baseline) changed()             {}

func (b *baseline) arrive(r *request) {
	var live []*engine
	for _, e := range b.s.engines {
		if !e.leaving {
			live = append(live, e)
		}
	}
	b.s.start(r, b.choose(live))
}

func newRandom() policy {
	rng := rand.New(rand.NewPCG(5, 5))
	return &baseline{label: "random", choose: func(live []*engine) *engine { return live[rng.IntN(len(live))] }}
}

func newRoundRobin() policy {
	next := 0
	return &baseline{label: "round robin", choose: func(live []*engine) *engine {
		next++
		return live[next%len(live)]
	}}
}

// leastOutstanding sees the number of requests at each engine, as old as the
// scenario's lag.
type leastOutstanding struct {
	baseline
	seen []int
}

func newLeastOutstanding() policy {
	l := &leastOutstanding{}
	l.label = "least outstanding"
	l.choose = l.least
	return l
}

func (l *leastOutstanding) attach(s *simulation) {
	l.s = s
	l.seen = make([]int, len(s.engines))
	if s.scenario.lag > 0 {
		l.report()
	}
}

// report refreshes what is seen once in every lag.
func (l *leastOutstanding) report() {
	for i, e := range l.s.engines {
		l.seen[i] = e.load()
	}
	l.s.after(l.s.scenario.lag, l.report)
}

func (l *leastOutstanding) least(live []*engine) *engine {
	best := live[0]
	for _, e := range live {
		if l.load(e) < l.load(best) {
			best = e
		}
	}
	return best
}

func (l *leastOutstanding) load(e *engine) int {
	if l.s.scenario.lag > 0 {
		return l.seen[e.index]
	}
	return e.load()
}

// oracle knows the exact state and speed of every engine and the length of
// every answer, at once and in all regions. It serves tiers strictly, and in a
// tier by order.
type oracle struct {
	s     *simulation
	order func(a, b *request) int
	// thrift is the weight of the work that a request adds at an engine.
	thrift  float64
	waiting [tiers][]*request
}

// newOracles returns the orders that are tried; a cell compares with the best.
func newOracles() []policy {
	deadline := func(a, b *request) int { return cmp.Compare(a.deadline, b.deadline) }
	length := func(a, b *request) int { return cmp.Compare(a.prompt+a.output, b.prompt+b.output) }
	return []policy{
		&oracle{order: deadline},
		&oracle{order: deadline, thrift: 4},
		&oracle{order: length, thrift: 4},
	}
}

func (o *oracle) name() string         { return "oracle" }
func (o *oracle) attach(s *simulation) { o.s = s }
func (o *oracle) finished(*request)    { o.serve() }
func (o *oracle) changed()             {}

func (o *oracle) arrive(r *request) {
	queue := o.waiting[r.tier]
	i, _ := slices.BinarySearchFunc(queue, r, o.order)
	o.waiting[r.tier] = slices.Insert(queue, i, r)
	o.serve()
}

// maxTries bounds the requests of a tier that are tried at one event.
const maxTries = 32

func (o *oracle) serve() {
	for tier := range o.waiting {
		o.waiting[tier] = slices.DeleteFunc(o.waiting[tier], func(r *request) bool { return r.abandoned })
		tried := 0
		o.waiting[tier] = slices.DeleteFunc(o.waiting[tier], func(r *request) bool {
			if tried >= maxTries {
				return false
			}
			placed := o.place(r)
			if !placed {
				tried++
			}
			return placed
		})
		if tried >= maxTries {
			return
		}
	}
}

// place starts a request on the engine with the lowest cost, if the goals hold
// there.
func (o *oracle) place(r *request) bool {
	var best *engine
	var lowest time.Duration
	for _, e := range o.s.engines {
		if e.leaving || !e.hasRoom() {
			continue
		}
		first := e.expectedFirst(r)
		if o.s.now+first > r.deadline {
			continue
		}
		cost := first + time.Duration(o.thrift*float64(e.prefillTime(r)))
		if best == nil || cost < lowest {
			best, lowest = e, cost
		}
	}
	if best == nil {
		return false
	}
	o.s.start(r, best)
	return true
}

// prefillTime is the work that a request's uncached prompt adds.
func (e *engine) prefillTime(r *request) time.Duration {
	uncached := max(r.prompt-e.match(r.blocks)*64, 1)
	return time.Duration(uncached/chunkTokens+1) * e.stepTime(len(e.decoding), chunkTokens)
}

// expectedFirst is the time to the first token of a request added now.
func (e *engine) expectedFirst(r *request) time.Duration {
	uncached := max(r.prompt-e.match(r.blocks)*64, 1)
	steps := (e.pendingPrefill() + uncached + chunkTokens - 1) / chunkTokens
	return time.Duration(steps) * e.stepTime(len(e.decoding), chunkTokens)
}

// hasRoom reports whether one more request keeps the mean step within the goal.
func (e *engine) hasRoom() bool {
	return e.stepTime(e.load()+1, chunkTokens/2) <= tokenTimeGoal && e.pendingPrefill() < oraclePrefill
}

// oraclePrefill is the prefill that the oracle keeps pending at an engine.
const oraclePrefill = 4000

package bench

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// baseline dispatches each request on arrival, as a load balancer without queueing
// does.
type baseline struct {
	label string
	s     *simulation
	pick  func(available []*engine) *engine
}

func (b *baseline) name() string             { return b.label }
func (b *baseline) attach(s *simulation)     { b.s = s }
func (b *baseline) requestFinished(*request) {}
func (b *baseline) targetsChanged()          {}

func (b *baseline) requestArrived(r *request) {
	var available []*engine
	for _, e := range b.s.engines {
		if !e.leaving {
			available = append(available, e)
		}
	}
	b.s.start(r, b.pick(available))
}

func newRandom() policy {
	rng := rand.New(rand.NewPCG(5, 5))
	return &baseline{label: "random", pick: func(available []*engine) *engine { return available[rng.IntN(len(available))] }}
}

func newRoundRobin() policy {
	next := 0
	return &baseline{label: "round robin", pick: func(available []*engine) *engine {
		next++
		return available[next%len(available)]
	}}
}

// leastOutstanding picks the engine with the fewest requests, by counts that are
// refreshed at the interval of the scenario's reportAge, or current if that is 0.
type leastOutstanding struct {
	baseline
	reported []int
}

func newLeastOutstanding() policy {
	l := &leastOutstanding{}
	l.label = "least outstanding"
	l.pick = l.pickLeast
	return l
}

func (l *leastOutstanding) attach(s *simulation) {
	l.s = s
	l.reported = make([]int, len(s.engines))
	if s.scenario.reportAge > 0 {
		l.refresh()
	}
}

// refresh copies the current counts and schedules the next refresh.
func (l *leastOutstanding) refresh() {
	for i, e := range l.s.engines {
		l.reported[i] = e.load()
	}
	l.s.after(l.s.scenario.reportAge, l.refresh)
}

func (l *leastOutstanding) pickLeast(available []*engine) *engine {
	best := available[0]
	for _, e := range available {
		if l.load(e) < l.load(best) {
			best = e
		}
	}
	return best
}

func (l *leastOutstanding) load(e *engine) int {
	if l.s.scenario.reportAge > 0 {
		return l.reported[e.index]
	}
	return e.load()
}

// oracle knows the exact state and speed of every engine and the length of
// every answer, without delay and in all regions. It serves tiers in strict
// priority, and the requests of a tier in the order of compare.
type oracle struct {
	s       *simulation
	compare func(a, b *request) int
	// prefillWeight weights the prefill time that a request adds at an engine
	// against its time to the first token.
	prefillWeight float64
	queues        [tiers][]*request
}

// newOracles returns oracles with different queue orders and weights. A cell
// compares with the best of them.
func newOracles() []policy {
	deadline := func(a, b *request) int { return cmp.Compare(a.deadline, b.deadline) }
	length := func(a, b *request) int {
		return cmp.Compare(a.promptTokens+a.outputTokens, b.promptTokens+b.outputTokens)
	}
	return []policy{
		&oracle{compare: deadline},
		&oracle{compare: deadline, prefillWeight: 4},
		&oracle{compare: length, prefillWeight: 4},
	}
}

func (o *oracle) name() string             { return "oracle" }
func (o *oracle) attach(s *simulation)     { o.s = s }
func (o *oracle) requestFinished(*request) { o.dispatch() }
func (o *oracle) targetsChanged()          {}

func (o *oracle) requestArrived(r *request) {
	queue := o.queues[r.tier]
	i, _ := slices.BinarySearchFunc(queue, r, o.compare)
	o.queues[r.tier] = slices.Insert(queue, i, r)
	o.dispatch()
}

// maxFailedAttempts bounds the requests of a tier that fail to start at one event.
const maxFailedAttempts = 32

func (o *oracle) dispatch() {
	for tier := range o.queues {
		o.queues[tier] = slices.DeleteFunc(o.queues[tier], func(r *request) bool { return r.abandoned })
		failed := 0
		o.queues[tier] = slices.DeleteFunc(o.queues[tier], func(r *request) bool {
			if failed >= maxFailedAttempts {
				return false
			}
			started := o.tryStart(r)
			if !started {
				failed++
			}
			return started
		})
		if failed >= maxFailedAttempts {
			return
		}
	}
}

// tryStart starts a request on the engine with the lowest cost among those that meet
// the goals, and reports whether there is one.
func (o *oracle) tryStart(r *request) bool {
	var best *engine
	var lowestCost time.Duration
	for _, e := range o.s.engines {
		if e.leaving || !e.hasRoom() {
			continue
		}
		firstToken := e.timeToFirstToken(r)
		if o.s.now+firstToken > r.deadline {
			continue
		}
		cost := firstToken + time.Duration(o.prefillWeight*float64(e.prefillTime(r)))
		if best == nil || cost < lowestCost {
			best, lowestCost = e, cost
		}
	}
	if best == nil {
		return false
	}
	o.s.start(r, best)
	return true
}

// prefillTime returns the time that the prefill of a request's uncached prompt adds.
func (e *engine) prefillTime(r *request) time.Duration {
	uncached := max(r.promptTokens-e.cachedBlocks(r.blocks)*64, 1)
	return time.Duration(uncached/chunkTokens+1) * e.stepTime(len(e.decoding), chunkTokens)
}

// timeToFirstToken returns the time to the first token of a request added now.
func (e *engine) timeToFirstToken(r *request) time.Duration {
	uncached := max(r.promptTokens-e.cachedBlocks(r.blocks)*64, 1)
	steps := (e.pendingPrefill() + uncached + chunkTokens - 1) / chunkTokens
	return time.Duration(steps) * e.stepTime(len(e.decoding), chunkTokens)
}

// hasRoom reports whether one more request keeps the mean step within the goal.
func (e *engine) hasRoom() bool {
	return e.stepTime(e.load()+1, chunkTokens/2) <= tokenTimeGoal && e.pendingPrefill() < maxOraclePrefill
}

// maxOraclePrefill bounds the tokens of prefill that the oracle keeps pending at an
// engine.
const maxOraclePrefill = 4000

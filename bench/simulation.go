package bench

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// policy decides where requests run. It answers by calling start, refuse.
type policy interface {
	name() string
	// attach is called once, before the first arrival.
	attach(s *simulation)
	arrive(r *request)
	// finished is called when a started request completed or was abandoned.
	finished(r *request)
	// changed is called when targets began to leave.
	changed()
}

// disturbance changes the simulation at a time.
type disturbance struct {
	at    time.Duration
	apply func(s *simulation)
}

// scenario is one cell of a table.
type scenario struct {
	mix  mix
	load float64
	seed uint64
	// length is the time in which requests arrive that count, after a warm-up.
	length       time.Duration
	disturbances []disturbance
	// burst multiplies the load from burstAt for burstFor.
	burst             float64
	burstAt, burstFor time.Duration
	// lag is the age of the load that the least outstanding baseline sees.
	lag time.Duration
}

const (
	// warmUp is the time before requests count.
	warmUp = 10 * time.Second
	// tail is how long requests go on to arrive after those that count, so that
	// these find the same load until their last deadline.
	tail = 30 * time.Second
)

// simulation runs one policy on one scenario in virtual time.
type simulation struct {
	scenario   scenario
	policy     policy
	now        time.Duration
	events     eventHeap
	sequence   int
	engines    []*engine
	requests   []*request
	rng        *rand.Rand
	crossBytes int
}

type event struct {
	at       time.Duration
	sequence int
	run      func()
}

// run plays a scenario to its end and returns the outcome.
func run(sc scenario, p policy) *outcome {
	return summarize(play(sc, p))
}

// play plays a scenario to its end.
func play(sc scenario, p policy) *simulation {
	s := &simulation{scenario: sc, policy: p, rng: rand.New(rand.NewPCG(sc.seed, 2))}
	for region, fleet := range sc.mix.fleet {
		for _, index := range fleet {
			e := newEngine(len(s.engines), region, generations[index])
			s.engines = append(s.engines, e)
		}
	}
	p.attach(s)
	s.schedule(newGenerator(sc.mix, sc.seed))
	for _, d := range sc.disturbances {
		s.at(d.at, func() { d.apply(s) })
	}
	for len(s.events) > 0 && s.events[0].at <= warmUp+sc.length+2*tail {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
	}
	return s
}

// schedule draws Poisson arrivals.
func (s *simulation) schedule(g *generator) {
	sc := &s.scenario
	rate := sc.load * sc.mix.capacity(tokenTimeGoal)
	arrivals := rand.New(rand.NewPCG(sc.seed, 3))
	for at := time.Duration(0); at < warmUp+sc.length+tail; {
		now := rate
		if sc.burst > 0 && at >= sc.burstAt && at < sc.burstAt+sc.burstFor {
			now *= sc.burst
		}
		at += time.Duration(arrivals.ExpFloat64() / now * float64(time.Second))
		r := g.draw(at)
		s.requests = append(s.requests, r)
		s.at(at, func() { s.policy.arrive(r) })
		s.at(r.deadline, func() { s.abandon(r) })
	}
}

// start sends a request to an engine.
func (s *simulation) start(r *request, e *engine) {
	if r.abandoned || r.refused {
		return
	}
	if r.region != e.region {
		r.crossed = true
		s.crossBytes += (r.prompt + r.output) * 4
	}
	e.add(s, r)
}

func (s *simulation) refuse(r *request) {
	r.refused = true
}

func (s *simulation) complete(r *request) {
	r.done = s.now
	s.policy.finished(r)
}

// abandon ends a request without a first token at its deadline, as a caller
// does that waits no longer.
func (s *simulation) abandon(r *request) {
	if r.first > 0 || r.refused {
		return
	}
	r.abandoned = true
	if r.engine != nil {
		r.engine.cancel(r)
		s.policy.finished(r)
	}
}

func (s *simulation) at(t time.Duration, run func()) {
	s.sequence++
	heap.Push(&s.events, event{t, s.sequence, run})
}

func (s *simulation) after(d time.Duration, run func()) {
	s.at(s.now+d, run)
}

// eventHeap orders events by time, then by insertion.
type eventHeap []event

// Len implements heap.Interface.
func (h eventHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].sequence < h[j].sequence
}

// Swap implements heap.Interface.
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

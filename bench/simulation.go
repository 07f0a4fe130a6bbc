package bench

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// policy decides which engine runs a request. It calls the simulation's start or
// refuse for each request.
type policy interface {
	name() string
	// attach is called once, before the first arrival.
	attach(s *simulation)
	requestArrived(r *request)
	// requestFinished is called when a started request has completed or was
	// abandoned.
	requestFinished(r *request)
	// targetsChanged is called when targets begin to leave.
	targetsChanged()
}

// disturbance is a change of the simulation at a given time.
type disturbance struct {
	at    time.Duration
	apply func(s *simulation)
}

// scenario is the configuration of one cell of a result table.
type scenario struct {
	mix  mix
	load float64
	seed uint64
	// duration is how long, after the warm-up, the requests arrive that are counted.
	duration     time.Duration
	disturbances []disturbance
	// burst multiplies the load from burstAt for the duration of burstFor.
	burst             float64
	burstAt, burstFor time.Duration
	// reportAge is the interval at which the least outstanding baseline refreshes
	// its counts, and so their maximum age.
	reportAge time.Duration
}

const (
	// warmUp is the time before requests are counted.
	warmUp = 10 * time.Second
	// cooldown is how long requests continue to arrive after the counted ones, so
	// that the load stays the same until the last deadline of a counted request.
	cooldown = 30 * time.Second
)

// simulation runs one policy on one scenario in virtual time.
type simulation struct {
	scenario     scenario
	policy       policy
	now          time.Duration
	events       eventHeap
	lastSequence int
	engines      []*engine
	requests     []*request
	rng          *rand.Rand
	crossBytes   int
}

type event struct {
	at       time.Duration
	sequence int
	run      func()
}

// run simulates a scenario to its end and returns the outcome.
func run(sc scenario, p policy) *outcome {
	return summarize(simulate(sc, p))
}

// simulate simulates a scenario to its end.
func simulate(sc scenario, p policy) *simulation {
	s := &simulation{scenario: sc, policy: p, rng: rand.New(rand.NewPCG(sc.seed, 2))}
	for region, fleet := range sc.mix.fleet {
		for _, index := range fleet {
			e := newEngine(len(s.engines), region, generations[index])
			s.engines = append(s.engines, e)
		}
	}
	p.attach(s)
	s.scheduleArrivals(newGenerator(sc.mix, sc.seed))
	for _, d := range sc.disturbances {
		s.at(d.at, func() { d.apply(s) })
	}
	for len(s.events) > 0 && s.events[0].at <= warmUp+sc.duration+2*cooldown {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
	}
	return s
}

// scheduleArrivals draws Poisson arrivals and schedules them and their deadlines.
func (s *simulation) scheduleArrivals(g *generator) {
	sc := &s.scenario
	rate := sc.load * sc.mix.capacity(tokenTimeGoal)
	arrivals := rand.New(rand.NewPCG(sc.seed, 3))
	for at := time.Duration(0); at < warmUp+sc.duration+cooldown; {
		currentRate := rate
		if sc.burst > 0 && at >= sc.burstAt && at < sc.burstAt+sc.burstFor {
			currentRate *= sc.burst
		}
		at += time.Duration(arrivals.ExpFloat64() / currentRate * float64(time.Second))
		r := g.draw(at)
		s.requests = append(s.requests, r)
		s.at(at, func() { s.policy.requestArrived(r) })
		s.at(r.deadline, func() { s.abandon(r) })
	}
}

// start sends a request to an engine, unless the request has ended.
func (s *simulation) start(r *request, e *engine) {
	if r.abandoned || r.refused {
		return
	}
	if r.region != e.region {
		r.crossRegion = true
		s.crossBytes += (r.promptTokens + r.outputTokens) * 4
	}
	e.add(s, r)
}

func (s *simulation) refuse(r *request) {
	r.refused = true
}

func (s *simulation) complete(r *request) {
	r.doneAt = s.now
	s.policy.requestFinished(r)
}

// abandon ends a request that has no first token at its deadline, as a caller that
// times out does.
func (s *simulation) abandon(r *request) {
	if r.firstTokenAt > 0 || r.refused {
		return
	}
	r.abandoned = true
	if r.engine != nil {
		r.engine.cancel(r)
		s.policy.requestFinished(r)
	}
}

func (s *simulation) at(t time.Duration, run func()) {
	s.lastSequence++
	heap.Push(&s.events, event{t, s.lastSequence, run})
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

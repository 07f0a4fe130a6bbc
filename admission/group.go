package admission

import (
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/primrosemoor/primrosemoor/scheduling"
	"github.com/primrosemoor/primrosemoor/schema"
	"github.com/primrosemoor/primrosemoor/topology"
)

// group is one owned group of targets with its queue.
type group struct {
	id      string
	service string
	region  string
	pool    *pool
	targets []*target
	queue   queue
	evicted []*Waiter
	// late waiters cannot meet their deadlines and only wait for them to end.
	late       []*Waiter
	permits    map[uint64]*permit
	drain      drain
	candidates []scheduling.Candidate
	scores     []scheduling.Score
	yielded    []string
	blocked    []*lane
}

// drain measures how fast a backlogged queue is served, in tokens a second.
type drain struct {
	rate   float64
	since  time.Time
	tokens float64
	grants int
}

func (d *drain) served(now time.Time, tokens float64) {
	if d.since.IsZero() {
		d.since = now
	}
	d.tokens += tokens
	d.grants++
	took := now.Sub(d.since)
	if took < drainInterval || d.grants < minDrainGrants {
		return
	}
	rate := d.tokens / took.Seconds()
	if d.rate > 0 {
		rate = drainMemory*d.rate + (1-drainMemory)*rate
	}
	*d = drain{rate: rate, since: now}
}

// idle stops the measurement, because the queue is empty.
func (d *drain) idle() {
	d.since, d.tokens, d.grants = time.Time{}, 0, 0
}

// apply takes the group's targets from the topology; known are the states of
// targets by name.
func (g *group) apply(info topology.Group, known map[string]*target) {
	g.service = info.Service
	g.region = info.Region
	g.targets = g.targets[:0]
	for _, t := range info.Targets {
		state, ok := known[t.Name]
		if !ok {
			state = newTarget(t)
			known[t.Name] = state
		}
		state.info = t
		state.models = t.Models
		g.targets = append(g.targets, state)
	}
}

// decide chooses a target for a waiter. The decision is valid until the next
// call.
func (g *group) decide(now time.Time, policy *scheduling.Policy, w *Waiter) scheduling.Decision {
	w.request.Remaining = max(w.deadline.Sub(now), 1)
	g.candidates = g.candidates[:0]
	for _, t := range g.targets {
		g.candidates = append(g.candidates, t.candidate(now, w))
	}
	d := scheduling.Decide(policy, &w.request, g.candidates, g.yielded, g.scores)
	g.scores = d.Scores
	return d
}

// wait returns the expected time in the queue of a new request, or 0 if it is
// not known.
func (g *group) wait(rank uint32, key laneKey, team string, weight float64) time.Duration {
	if g.drain.rate <= 0 {
		return 0
	}
	tokens := g.queue.tokensAhead(rank, key, team, weight)
	return time.Duration(tokens / g.drain.rate * float64(time.Second))
}

// backlog returns the time to serve all waiters of a rank and the better ones.
func (g *group) backlog(rank uint32) time.Duration {
	tokens := 0.0
	for i := range rank + 1 {
		tokens += g.queue.ranks[i].tokens
	}
	if tokens == 0 || g.drain.rate <= 0 {
		return 0
	}
	return time.Duration(tokens / g.drain.rate * float64(time.Second))
}

// grant gives a waiter its permit for the chosen target.
func (o *Owner) grant(now time.Time, g *group, w *Waiter, d *scheduling.Decision) {
	c := &g.candidates[d.Chosen]
	t := g.targets[d.Chosen]
	if g.queue.length > 1 || !w.fresh {
		g.drain.served(now, w.cost)
	}
	g.queue.serve(w)
	p := &permit{
		number:    o.nextNumber(),
		requestID: w.asked.GetRequestId(),
		entryNode: w.asked.GetEntryNode(),
		target:    t,
		rank:      w.rank,
		cost:      w.request.Decode(c),
		granted:   now,
		print:     w.asked.GetFingerprint(),
	}
	t.take(now, &w.request, c, p)
	expected := p.wait + c.TokenTime*time.Duration(w.request.OutputTokens)
	p.expires = now.Add(max(expected*expiryFactor, minExpiry))
	g.permits[p.number] = p
	w.permit = p.number
	w.answer(&schema.PermitReply{Permit: &schema.Permit{
		Number:               p.number,
		Group:                g.id,
		Target:               t.info.Name,
		Address:              t.info.Address,
		ValidFor:             durationpb.New(o.permitTimeout),
		Decision:             o.decisionLine(now, g, w, d),
		ExpectedCachedTokens: uint32(p.cached),
	}}, nil)
}

// dispatch serves the queue as far as targets and leases allow: strictly by
// rank, and a target that a waiting request could use is not given to a less
// important one.
func (o *Owner) dispatch(now time.Time, g *group) {
	g.yielded = g.yielded[:0]
	g.blocked = g.blocked[:0]
	for rank := uint32(0); rank < MaxRanks && g.queue.length > 0; rank++ {
		r := &g.queue.ranks[rank]
		if r.length == 0 {
			continue
		}
		leased := g.pool.mayDispatch(now, rank)
		for o.dispatchNext(now, g, r, leased) {
		}
		if g.allYielded() {
			break
		}
	}
	if g.queue.length == 0 {
		g.drain.idle()
	}
}

// dispatchNext grants or refuses one waiter of a rank and reports whether it
// did. Lanes that have to wait are yielded to.
func (o *Owner) dispatchNext(now time.Time, g *group, r *rankQueue, leased bool) bool {
	for {
		w := r.next(g.yielded, g.blocked)
		if w == nil || g.allYielded() {
			return false
		}
		if !leased && !(w.fresh && g.pool.admits(w.rank)) {
			g.block(w)
			continue
		}
		d := g.decide(now, &o.policy, w)
		switch d.Why {
		case scheduling.VerdictChosen:
			o.grant(now, g, w, &d)
			return true
		case scheduling.VerdictImpossible:
			g.queue.remove(w)
			o.noTarget(g, w)
			return true
		case scheduling.VerdictTooLate:
			g.queue.remove(w)
			o.giveUp(now, g, w)
			return true
		}
		if w.request.Alone {
			g.reserve(w)
		}
		g.block(w)
	}
}

// allYielded reports whether every target is left to a waiting request.
func (g *group) allYielded() bool {
	if len(g.yielded) == 0 {
		return false
	}
	for _, t := range g.targets {
		if !t.info.Leaving && !t.holdsAny(g.yielded) {
			return false
		}
	}
	return true
}

// block passes over a waiter's lane until the next dispatch.
func (g *group) block(w *Waiter) {
	if w.request.Alone {
		g.blocked = append(g.blocked, w.flow.lane)
		return
	}
	g.yielded = append(g.yielded, w.request.Model)
}

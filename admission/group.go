package admission

import (
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/primrosemoor/primrosemoor/scheduling"
	"github.com/primrosemoor/primrosemoor/schema"
	"github.com/primrosemoor/primrosemoor/topology"
)

// group is a group of targets that this node owns, with its queue and permits.
type group struct {
	id          string
	service     string
	region      string
	coordinator *shedCoordinator
	targets     []*target
	queue       queue
	// evicted waiters left the queue because a more important request was shed.
	// They are refused as soon as the order of tiers allows it.
	evicted []*Waiter
	// infeasible waiters cannot meet their deadlines, but the order of tiers
	// does not allow shedding them yet. They are refused at their deadlines.
	infeasible []*Waiter
	permits    map[uint64]*permit
	throughput throughputMeter
	candidates []scheduling.Candidate
	scores     []scheduling.Score
	// blockedModels and blockedLanes belong to waiters that the current
	// dispatch could not serve. Targets that can run a blocked model are kept
	// free for them.
	blockedModels []string
	blockedLanes  []*lane
}

// throughputMeter measures the rate at which a backlogged queue is served, in
// tokens per second.
type throughputMeter struct {
	rate   float64
	since  time.Time
	tokens float64
	grants int
}

// record adds one grant and updates the smoothed rate at the end of each
// measurement interval.
func (m *throughputMeter) record(now time.Time, tokens float64) {
	if m.since.IsZero() {
		m.since = now
	}
	m.tokens += tokens
	m.grants++
	elapsed := now.Sub(m.since)
	if elapsed < throughputInterval || m.grants < minThroughputGrants {
		return
	}
	rate := m.tokens / elapsed.Seconds()
	if m.rate > 0 {
		rate = throughputSmoothing*m.rate + (1-throughputSmoothing)*rate
	}
	*m = throughputMeter{rate: rate, since: now}
}

// reset discards the current interval because the queue is empty, and keeps the
// rate.
func (m *throughputMeter) reset() {
	m.since, m.tokens, m.grants = time.Time{}, 0, 0
}

// applyTopology sets the group's service, region and targets. known maps target
// names to existing state; new targets are added to it.
func (g *group) applyTopology(groupInfo topology.Group, known map[string]*target) {
	g.service = groupInfo.Service
	g.region = groupInfo.Region
	g.targets = g.targets[:0]
	for _, info := range groupInfo.Targets {
		t, ok := known[info.Name]
		if !ok {
			t = newTarget(info)
			known[info.Name] = t
		}
		t.info = info
		t.models = info.Models
		g.targets = append(g.targets, t)
	}
}

// chooseTarget selects a target for a waiter. The decision is valid until the
// next call, which reuses its buffers.
func (g *group) chooseTarget(now time.Time, policy *scheduling.Policy, w *Waiter) scheduling.Decision {
	w.request.Remaining = max(w.deadline.Sub(now), 1)
	g.candidates = g.candidates[:0]
	for _, t := range g.targets {
		g.candidates = append(g.candidates, t.candidate(now, w))
	}
	d := scheduling.Decide(policy, &w.request, g.candidates, g.blockedModels, g.scores)
	g.scores = d.Scores
	return d
}

// expectedWait estimates the queueing time of a new request. It returns 0 if no
// throughput has been measured yet.
func (g *group) expectedWait(rank uint32, key laneKey, team string, weight float64) time.Duration {
	if g.throughput.rate <= 0 {
		return 0
	}
	tokens := g.queue.tokensAhead(rank, key, team, weight)
	return time.Duration(tokens / g.throughput.rate * float64(time.Second))
}

// backlogTime estimates the time to serve all waiters of a rank and of the more
// important ones. It returns 0 if no throughput has been measured yet.
func (g *group) backlogTime(rank uint32) time.Duration {
	tokens := 0.0
	for i := range rank + 1 {
		tokens += g.queue.ranks[i].tokens
	}
	if tokens == 0 || g.throughput.rate <= 0 {
		return 0
	}
	return time.Duration(tokens / g.throughput.rate * float64(time.Second))
}

// grant removes a waiter from the queue and answers it with a permit for the
// chosen target.
func (o *Owner) grant(now time.Time, g *group, w *Waiter, d *scheduling.Decision) {
	c := &g.candidates[d.Chosen]
	t := g.targets[d.Chosen]
	if g.queue.length > 1 || !w.firstAttempt {
		g.throughput.record(now, w.cost)
	}
	g.queue.dequeue(w)
	p := &permit{
		number:      o.nextPermitNumber(),
		requestID:   w.permitRequest.GetRequestId(),
		entryNode:   w.permitRequest.GetEntryNode(),
		target:      t,
		rank:        w.rank,
		cost:        w.request.DecodeCost(c),
		granted:     now,
		fingerprint: w.permitRequest.GetFingerprint(),
	}
	t.addPermit(now, &w.request, c, p)
	expected := p.prefillWait + c.TokenTime*time.Duration(w.request.OutputTokens)
	p.expires = now.Add(max(expected*permitExpiryFactor, minPermitExpiry))
	g.permits[p.number] = p
	w.permitNumber = p.number
	w.answer(&schema.PermitReply{Permit: &schema.Permit{
		Number:               p.number,
		Group:                g.id,
		Target:               t.info.Name,
		Address:              t.info.Address,
		ValidFor:             durationpb.New(o.permitTimeout),
		Decision:             o.decisionLine(now, g, w, d),
		ExpectedCachedTokens: uint32(p.expectedCached),
	}}, nil)
}

// dispatch serves the queue as far as targets and leases allow. It serves ranks
// in strict order and never gives a target that a waiting request could use to
// a less important one.
func (o *Owner) dispatch(now time.Time, g *group) {
	g.blockedModels = g.blockedModels[:0]
	g.blockedLanes = g.blockedLanes[:0]
	for rank := uint32(0); rank < MaxRanks && g.queue.length > 0; rank++ {
		r := &g.queue.ranks[rank]
		if r.length == 0 {
			continue
		}
		leased := g.coordinator.mayDispatch(now, rank)
		for o.dispatchNext(now, g, r, leased) {
		}
		if g.allTargetsBlocked() {
			break
		}
	}
	if g.queue.length == 0 {
		g.throughput.reset()
	}
}

// dispatchNext grants or refuses one waiter of a rank and reports whether it
// did. It blocks the lanes of waiters that have to wait, so that their targets
// stay free.
func (o *Owner) dispatchNext(now time.Time, g *group, r *rankQueue, leased bool) bool {
	for {
		w := r.nextWaiter(g.blockedModels, g.blockedLanes)
		if w == nil || g.allTargetsBlocked() {
			return false
		}
		if !leased && !(w.firstAttempt && g.coordinator.admits(w.rank)) {
			g.block(w)
			continue
		}
		d := g.chooseTarget(now, &o.policy, w)
		switch d.Verdict {
		case scheduling.VerdictChosen:
			o.grant(now, g, w, &d)
			return true
		case scheduling.VerdictImpossible:
			g.queue.remove(w)
			o.handleNoTarget(g, w)
			return true
		case scheduling.VerdictTooLate:
			g.queue.remove(w)
			o.handleInfeasible(now, g, w)
			return true
		}
		if w.request.Exclusive {
			g.reserveTarget(w)
		}
		g.block(w)
	}
}

// allTargetsBlocked reports whether every target is kept free for a waiting
// request.
func (g *group) allTargetsBlocked() bool {
	if len(g.blockedModels) == 0 {
		return false
	}
	for _, t := range g.targets {
		if !t.info.Leaving && !t.servesAny(g.blockedModels) {
			return false
		}
	}
	return true
}

// block skips a waiter's lane, or all lanes of its model, until the next
// dispatch. A waiter that needs an idle target blocks only its own lane.
func (g *group) block(w *Waiter) {
	if w.request.Exclusive {
		g.blockedLanes = append(g.blockedLanes, w.flow.lane)
		return
	}
	g.blockedModels = append(g.blockedModels, w.request.Model)
}

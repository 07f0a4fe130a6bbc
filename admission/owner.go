package admission

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/primrosemoor/primrosemoor/scheduling"
	"github.com/primrosemoor/primrosemoor/schema"
	"github.com/primrosemoor/primrosemoor/topology"
)

// SendFloorUpdate sends a floor update to a sibling owner without blocking. The
// answer is passed to Owner.HandleFloorAck together with now.
type SendFloorUpdate func(now time.Time, node string, u *schema.FloorUpdate)

// OwnerOptions configures an Owner.
type OwnerOptions struct {
	Node     string
	Settings *schema.SchedulingSettings
	// PermitNumberBase precedes the first permit number. It must differ between
	// owners and restarts, so that permit numbers do not repeat.
	PermitNumberBase uint64
	// SendFloorUpdate may be nil if there are no siblings.
	SendFloorUpdate SendFloorUpdate
	// OnFloorChange is called after each change of this owner's floor. It may be
	// nil.
	OnFloorChange func(service string, floor uint32)
	// FingerprintScreener may be nil, which disables the check of fingerprints.
	FingerprintScreener FingerprintScreener
	// Explain adds the log line of the scheduling decision to each permit.
	Explain bool
}

// Owner is the state of all groups that one node owns. Its methods must be
// called from one goroutine, with times that never decrease.
type Owner struct {
	options          OwnerOptions
	policy           scheduling.Policy
	permitTimeout    time.Duration
	maxQueue         int
	snapshot         *topology.Snapshot
	groups           map[string]*group
	sortedGroups     []*group
	coordinators     map[string]*shedCoordinator
	targets          map[string]*target
	estimator        *scheduling.Estimator
	pendingHandovers map[string]handover
	lastPermitNumber uint64
	draining         bool
	counts           Counts
	// hardMaxQueue limits the waiters of a group, whatever the order of tiers.
	hardMaxQueue int
	// onShed and skipAck are set only by tests.
	onShed  func(*Waiter)
	skipAck bool
}

// Counts are totals since the start.
type Counts struct {
	Granted     uint64
	Shed        [MaxRanks]uint64
	Expired     [MaxRanks]uint64
	LostPermits uint64
	// OutOfOrder counts requests that were shed at the hard limit of the queue
	// before all siblings had confirmed the floor.
	OutOfOrder uint64
}

// NewOwner returns an owner without groups. Apply adds them.
func NewOwner(options OwnerOptions) *Owner {
	s := options.Settings
	maxQueue := cmp.Or(int(s.GetMaxQueueRequests()), defaultMaxQueue)
	return &Owner{
		options: options,
		policy: scheduling.Policy{
			FirstTokenGoal:   cmp.Or(s.GetFirstTokenGoal().AsDuration(), defaultFirstTokenGoal),
			TokenTimeGoal:    cmp.Or(s.GetInterTokenGoal().AsDuration(), defaultTokenTimeGoal),
			CrossRegionPrice: s.GetCrossRegionPrice(),
		},
		permitTimeout:    cmp.Or(s.GetPermitTimeout().AsDuration(), defaultPermitTimeout),
		maxQueue:         maxQueue,
		hardMaxQueue:     hardMaxQueueFactor * maxQueue,
		groups:           make(map[string]*group),
		coordinators:     make(map[string]*shedCoordinator),
		targets:          make(map[string]*target),
		estimator:        scheduling.NewEstimator(),
		pendingHandovers: make(map[string]handover),
		lastPermitNumber: options.PermitNumberBase,
	}
}

// Counts returns the totals since the start.
func (o *Owner) Counts() Counts {
	return o.counts
}

// nextPermitNumber returns a new permit number and counts the grant.
func (o *Owner) nextPermitNumber() uint64 {
	o.lastPermitNumber++
	o.counts.Granted++
	return o.lastPermitNumber
}

// Apply replaces the topology. Waiters of groups that another node now owns are
// refused with an error of kind not-owner, so that their entry nodes ask that
// node.
func (o *Owner) Apply(now time.Time, s *topology.Snapshot) {
	o.snapshot = s
	owned := make(map[string]bool)
	for _, info := range s.GroupsOwnedBy(o.options.Node) {
		owned[info.ID] = true
		g := o.groups[info.ID]
		if g == nil {
			g = &group{id: info.ID, permits: make(map[uint64]*permit)}
			o.groups[info.ID] = g
		}
		g.applyTopology(info, o.targets)
		g.coordinator = o.coordinator(now, info.Service)
	}
	for id, g := range o.groups {
		if !owned[id] {
			o.releaseGroup(g)
		}
	}
	o.updateSiblings(now)
	o.removeUnusedTargets()
	o.sortedGroups = slices.SortedFunc(maps.Values(o.groups), func(a, b *group) int { return cmp.Compare(a.id, b.id) })
	o.applyPendingHandovers(now)
	o.expirePermitsOfDepartedEntries(now)
	o.dispatchAll(now)
}

// coordinator returns the coordinator of a service and creates it if needed.
func (o *Owner) coordinator(now time.Time, service string) *shedCoordinator {
	c, ok := o.coordinators[service]
	if !ok {
		c = newShedCoordinator(now, service)
		c.skipAck = o.skipAck
		o.coordinators[service] = c
	}
	return c
}

// updateSiblings sets the lowest tier and the sibling owners of each service
// from the topology.
func (o *Owner) updateSiblings(now time.Time) {
	lowest := min(o.snapshot.LowestTierRank(), MaxRanks-1)
	for service, c := range o.coordinators {
		nodes := make(map[string]bool)
		for _, g := range o.snapshot.ServiceGroups(service) {
			if g.Owner != "" && g.Owner != o.options.Node {
				nodes[g.Owner] = true
			}
		}
		c.setLowestRank(lowest)
		c.updateSiblings(now, nodes)
	}
}

// removeUnusedTargets drops the state of targets that are in no owned group.
func (o *Owner) removeUnusedTargets() {
	used := make(map[string]bool)
	for _, g := range o.groups {
		for _, t := range g.targets {
			used[t.info.Name] = true
		}
	}
	maps.DeleteFunc(o.targets, func(name string, _ *target) bool { return !used[name] })
}

// releaseGroup removes a group and refuses its waiters, so that their entry
// nodes ask the new owner.
func (o *Owner) releaseGroup(g *group) {
	delete(o.groups, g.id)
	g.refuseAll(func() error { return errNotOwner(g.id) })
}

// refuseAll answers all waiters of the group with an error.
func (g *group) refuseAll(newError func() error) {
	for rank := range uint32(MaxRanks) {
		g.queue.forEach(rank, func(w *Waiter) {
			g.queue.remove(w)
			w.answer(nil, newError())
		})
	}
	for _, w := range append(g.evicted, g.infeasible...) {
		w.answer(nil, newError())
	}
	g.evicted, g.infeasible = nil, nil
}

// expirePermitsOfDepartedEntries expires the permits of entry nodes that are no
// longer members, because they can no longer return them.
func (o *Owner) expirePermitsOfDepartedEntries(now time.Time) {
	for _, g := range o.groups {
		for _, p := range g.permits {
			if _, ok := o.snapshot.Member(p.entryNode); !ok && p.entryNode != "" {
				p.expires = now
			}
		}
	}
}

// Drain refuses all waiting and later requests, so that their entry nodes ask
// the next owner. Permits in use may still be returned to this owner.
func (o *Owner) Drain() {
	o.draining = true
	for _, g := range o.groups {
		g.refuseAll(errDraining)
	}
}

// Enqueue adds a request for a permit. The waiter is answered within this call
// or a later one.
func (o *Owner) Enqueue(now time.Time, w *Waiter) {
	g, ok := o.groups[w.permitRequest.GetGroup()]
	if !ok {
		w.answer(nil, errNotOwner(w.permitRequest.GetGroup()))
		return
	}
	if o.draining {
		w.answer(nil, errDraining())
		return
	}
	o.prepareRequest(w, g)
	if err := o.checkFingerprint(now, w); err != nil {
		w.answer(nil, err)
		return
	}
	if o.evictIfOutranked(now, g, w) || o.shedIfTooLate(now, g, w) {
		return
	}
	g.queue.push(w)
	o.dispatch(now, g)
	w.firstAttempt = false
	if w.Answered() {
		return
	}
	if o.redirect(now, g, w) {
		return
	}
	o.enforceQueueLimit(now, g)
	o.renewLeases(now, g.coordinator)
}

// prepareRequest sets the fields of the waiter that scheduling uses from the
// permit request: its group, rank, scheduling request, cost and weight.
func (o *Owner) prepareRequest(w *Waiter, g *group) {
	permitRequest := w.permitRequest
	w.group = g
	w.rank = min(w.rank, g.coordinator.lowestRank)
	w.request = scheduling.Request{
		Team:         permitRequest.GetTeam(),
		Service:      g.service,
		Model:        permitRequest.GetModel(),
		Rank:         int(w.rank),
		PromptTokens: int(permitRequest.GetPromptTokens()),
		Blocks:       permitRequest.GetPrefixBlocks(),
		Region:       permitRequest.GetEntryRegion(),
		BodyBytes:    int(permitRequest.GetBodyBytes()),
	}
	if service, ok := o.snapshot.Service(g.service); ok && service.GetKind() == schema.ServiceKind_SERVICE_KIND_PLAIN {
		w.request.Model = ""
		w.cost = 1
	} else {
		w.request.OutputTokens = o.estimator.Estimate(permitRequest.GetTeam(), g.service, int(permitRequest.GetMaxOutputTokens()))
		w.cost = float64(w.request.PromptTokens + w.request.OutputTokens)
	}
	if team, ok := o.snapshot.Team(permitRequest.GetTeam()); ok && team.GetWeight() > 0 {
		w.weight = team.GetWeight()
	}
}

// Cancel removes a waiter whose requester is gone. A permit that was already
// granted is released as unused.
func (o *Owner) Cancel(now time.Time, w *Waiter) {
	w.reply = nil
	if w.group == nil {
		return
	}
	if w.permitNumber != 0 {
		o.Return(now, &schema.PermitReturn{
			Number: w.permitNumber, Group: w.group.id, Result: schema.PermitResult_PERMIT_RESULT_UNUSED,
		})
		return
	}
	w.group.queue.remove(w)
	isCancelled := func(other *Waiter) bool { return other == w }
	w.group.evicted = slices.DeleteFunc(w.group.evicted, isCancelled)
	w.group.infeasible = slices.DeleteFunc(w.group.infeasible, isCancelled)
}

// Return releases a permit and updates the estimates from its result. Unknown
// permit numbers are ignored, so late and repeated returns have no effect.
func (o *Owner) Return(now time.Time, r *schema.PermitReturn) {
	g, ok := o.groups[r.GetGroup()]
	if !ok {
		return
	}
	p, ok := g.permits[r.GetNumber()]
	if !ok {
		return
	}
	delete(g.permits, p.number)
	batch := p.target.inFlight
	p.target.removePermit(p)
	switch r.GetResult() {
	case schema.PermitResult_PERMIT_RESULT_COMPLETED:
		p.target.recordCompletion(now, &o.policy, p, r, batch)
		o.estimator.Observe(r.GetTeam(), g.service, int(r.GetOutputTokens()))
	case schema.PermitResult_PERMIT_RESULT_TARGET_FAILED,
		schema.PermitResult_PERMIT_RESULT_TARGET_DIED,
		schema.PermitResult_PERMIT_RESULT_REFUSED:
		// A target that refuses new work is leaving or overloaded. In both cases
		// it is paused as after a failure.
		p.target.recordFailure(now)
	}
	o.reportFingerprintResult(now, p, r)
	o.dispatch(now, g)
}

func (o *Owner) dispatchAll(now time.Time) {
	for _, g := range o.sortedGroups {
		o.dispatch(now, g)
	}
}

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

// SendFloor passes a floor update on to a sibling owner. The answer is handed
// to Owner.FloorAnswered with the time of this call.
type SendFloor func(now time.Time, node string, u *schema.FloorUpdate)

// OwnerOptions configures an Owner.
type OwnerOptions struct {
	Node     string
	Settings *schema.SchedulingSettings
	// FirstNumber is the first permit number; it must differ between owners
	// and restarts.
	FirstNumber uint64
	// SendFloor may be nil if there are no siblings.
	SendFloor SendFloor
	// FloorMoved is told of each move of this owner's floor; it may be nil.
	FloorMoved func(service string, floor uint32)
	// Screen may be nil.
	Screen Screen
	// Explain adds the decision's log line to permits.
	Explain bool
}

// Owner is the state of all groups that one node owns. Its methods must be
// called from one goroutine, with a time that does not go back.
type Owner struct {
	options       OwnerOptions
	policy        scheduling.Policy
	permitTimeout time.Duration
	maxQueue      int
	snapshot      *topology.Snapshot
	groups        map[string]*group
	ordered       []*group
	pools         map[string]*pool
	targets       map[string]*target
	estimator     *scheduling.Estimator
	handovers     map[string]handover
	next          uint64
	draining      bool
	counts        Counts
	// hardQueue bounds the waiters of a group, whatever the order of tiers.
	hardQueue int
	// onShed and skipAck serve tests.
	onShed  func(*Waiter)
	skipAck bool
}

// Counts are totals since the start.
type Counts struct {
	Granted     uint64
	Shed        [MaxRanks]uint64
	Expired     [MaxRanks]uint64
	LostPermits uint64
	// OutOfOrder counts requests refused at the hard bound of the queue before
	// siblings had confirmed the floor.
	OutOfOrder uint64
}

// NewOwner returns an owner without groups.
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
		permitTimeout: cmp.Or(s.GetPermitTimeout().AsDuration(), defaultPermitTimeout),
		maxQueue:      maxQueue,
		hardQueue:     hardQueueFactor * maxQueue,
		groups:        make(map[string]*group),
		pools:         make(map[string]*pool),
		targets:       make(map[string]*target),
		estimator:     scheduling.NewEstimator(),
		handovers:     make(map[string]handover),
		next:          options.FirstNumber,
	}
}

// Counts returns the totals so far.
func (o *Owner) Counts() Counts {
	return o.counts
}

func (o *Owner) nextNumber() uint64 {
	o.next++
	o.counts.Granted++
	return o.next
}

// Apply takes over a new topology. Waiters of groups that another node owns
// now are refused as not-owner, so that their entries ask that node.
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
		g.apply(info, o.targets)
		g.pool = o.pool(now, info.Service)
	}
	for id, g := range o.groups {
		if !owned[id] {
			o.disown(g)
		}
	}
	o.listSiblings(now)
	o.forgetTargets()
	o.ordered = slices.SortedFunc(maps.Values(o.groups), func(a, b *group) int { return cmp.Compare(a.id, b.id) })
	o.takeHandovers(now)
	o.releaseGoneEntries(now)
	o.dispatchAll(now)
}

func (o *Owner) pool(now time.Time, service string) *pool {
	p, ok := o.pools[service]
	if !ok {
		p = newPool(now, service)
		p.skipAck = o.skipAck
		o.pools[service] = p
	}
	return p
}

func (o *Owner) listSiblings(now time.Time) {
	lowest := min(o.snapshot.LowestTier(), MaxRanks-1)
	for service, p := range o.pools {
		nodes := make(map[string]bool)
		for _, g := range o.snapshot.ServiceGroups(service) {
			if g.Owner != "" && g.Owner != o.options.Node {
				nodes[g.Owner] = true
			}
		}
		p.setLowest(lowest)
		p.list(now, nodes)
	}
}

// forgetTargets drops the state of targets that are in no owned group.
func (o *Owner) forgetTargets() {
	used := make(map[string]bool)
	for _, g := range o.groups {
		for _, t := range g.targets {
			used[t.info.Name] = true
		}
	}
	maps.DeleteFunc(o.targets, func(name string, _ *target) bool { return !used[name] })
}

// disown refuses all waiters of a group so that they ask its new owner.
func (o *Owner) disown(g *group) {
	delete(o.groups, g.id)
	g.refuseAll(func() error { return errNotOwner(g.id) })
}

func (g *group) refuseAll(reason func() error) {
	for rank := range uint32(MaxRanks) {
		g.queue.all(rank, func(w *Waiter) {
			g.queue.remove(w)
			w.answer(nil, reason())
		})
	}
	for _, w := range append(g.evicted, g.late...) {
		w.answer(nil, reason())
	}
	g.evicted, g.late = nil, nil
}

// releaseGoneEntries releases the permits of entries that are no longer
// members and can return them no more.
func (o *Owner) releaseGoneEntries(now time.Time) {
	for _, g := range o.groups {
		for _, p := range g.permits {
			if _, ok := o.snapshot.Member(p.entryNode); !ok && p.entryNode != "" {
				p.expires = now
			}
		}
	}
}

// Drain refuses all waiters and all later requests, so that they ask the next
// owner. Permits in use are still returned here.
func (o *Owner) Drain() {
	o.draining = true
	for _, g := range o.groups {
		g.refuseAll(errDraining)
	}
}

// Enqueue takes a request for a permit. The waiter is answered within this
// call or a later one.
func (o *Owner) Enqueue(now time.Time, w *Waiter) {
	g, ok := o.groups[w.asked.GetGroup()]
	if !ok {
		w.answer(nil, errNotOwner(w.asked.GetGroup()))
		return
	}
	if o.draining {
		w.answer(nil, errDraining())
		return
	}
	o.describe(w, g)
	if err := o.screen(now, w); err != nil {
		w.answer(nil, err)
		return
	}
	if o.passedOver(now, g, w) || o.tooLate(now, g, w) {
		return
	}
	g.queue.push(w)
	o.dispatch(now, g)
	w.fresh = false
	if w.Answered() {
		return
	}
	if o.redirect(now, g, w) {
		return
	}
	o.trim(now, g)
	o.renew(now, g.pool)
}

// describe derives what decisions need from the request as asked.
func (o *Owner) describe(w *Waiter, g *group) {
	a := w.asked
	w.group = g
	w.rank = min(w.rank, g.pool.lowest)
	w.request = scheduling.Request{
		Team:         a.GetTeam(),
		Service:      g.service,
		Model:        a.GetModel(),
		Rank:         int(w.rank),
		PromptTokens: int(a.GetPromptTokens()),
		Blocks:       a.GetPrefixBlocks(),
		Region:       a.GetEntryRegion(),
		BodyBytes:    int(a.GetBodyBytes()),
	}
	if service, ok := o.snapshot.Service(g.service); ok && service.GetKind() == schema.ServiceKind_SERVICE_KIND_PLAIN {
		w.request.Model = ""
		w.cost = 1
	} else {
		w.request.OutputTokens = o.estimator.Estimate(a.GetTeam(), g.service, int(a.GetMaxOutputTokens()))
		w.cost = float64(w.request.PromptTokens + w.request.OutputTokens)
	}
	if team, ok := o.snapshot.Team(a.GetTeam()); ok && team.GetWeight() > 0 {
		w.weight = team.GetWeight()
	}
}

// Cancel removes a waiter whose asker is gone. A permit that it was granted
// is released as unused.
func (o *Owner) Cancel(now time.Time, w *Waiter) {
	w.reply = nil
	if w.group == nil {
		return
	}
	if w.permit != 0 {
		o.Return(now, &schema.PermitReturn{
			Number: w.permit, Group: w.group.id, Result: schema.PermitResult_PERMIT_RESULT_UNUSED,
		})
		return
	}
	w.group.queue.remove(w)
	gone := func(c *Waiter) bool { return c == w }
	w.group.evicted = slices.DeleteFunc(w.group.evicted, gone)
	w.group.late = slices.DeleteFunc(w.group.late, gone)
}

// Return takes a permit back. An unknown number is ignored, so late and
// repeated returns do no harm.
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
	p.target.give(p)
	switch r.GetResult() {
	case schema.PermitResult_PERMIT_RESULT_COMPLETED:
		p.target.learn(now, &o.policy, p, r, batch)
		o.estimator.Observe(r.GetTeam(), g.service, int(r.GetOutputTokens()))
	case schema.PermitResult_PERMIT_RESULT_TARGET_FAILED,
		schema.PermitResult_PERMIT_RESULT_TARGET_DIED,
		schema.PermitResult_PERMIT_RESULT_REFUSED:
		// A target that refuses new work is leaving or overloaded; both pass
		// over it as a failure does.
		p.target.failed(now)
	}
	o.screenResult(now, p, r)
	o.dispatch(now, g)
}

func (o *Owner) dispatchAll(now time.Time) {
	for _, g := range o.ordered {
		o.dispatch(now, g)
	}
}

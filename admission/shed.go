package admission

import (
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/primrosemoor/primrosemoor/scheduling"
	"github.com/primrosemoor/primrosemoor/schema"
)

// evictIfOutranked evicts a new request if a more important one was shed after
// its arrival. That is possible because the request may have waited elsewhere
// before, for example for its claim. It reports whether it did.
func (o *Owner) evictIfOutranked(now time.Time, g *group, w *Waiter) bool {
	if !w.arrived.Before(g.coordinator.lastShedAbove(w.rank)) {
		return false
	}
	g.evicted = append(g.evicted, w)
	o.shedEvicted(now, g.coordinator)
	return true
}

// shedIfTooLate redirects or sheds a request that would wait beyond its
// deadline, if the order of tiers allows that now, and reports whether it did.
// A request whose caller stated the deadline stays queued until then unless its
// tier is the lowest, because shedding it earlier would require shedding all
// queued requests of the tiers below.
func (o *Owner) shedIfTooLate(now time.Time, g *group, w *Waiter) bool {
	lowest := w.rank >= g.coordinator.lowestRank
	if !lowest && w.permitRequest.GetStatedDeadline() {
		return false
	}
	margin := higherTierWaitMargin
	if lowest {
		margin = lowestTierWaitMargin
	}
	wait := g.expectedWait(w.rank, w.laneKey(), w.request.Team, w.weight)
	if time.Duration(margin*float64(wait)) <= w.deadline.Sub(now) {
		return false
	}
	if o.redirect(now, g, w) {
		return true
	}
	g.coordinator.requestShed(now, w.rank)
	o.tightenFloor(now, g.coordinator)
	if !g.coordinator.mayShed(now, w.rank) {
		return false
	}
	o.shedWithError(now, w, errDeadline())
	return true
}

// handleInfeasible redirects or sheds a request that cannot meet its deadline
// in this group. If the order of tiers does not allow shedding it now, it is
// refused at its deadline.
func (o *Owner) handleInfeasible(now time.Time, g *group, w *Waiter) {
	switch {
	case o.redirect(now, g, w):
	case g.coordinator.mayShed(now, w.rank):
		o.shedWithError(now, w, errDeadline())
	default:
		g.infeasible = append(g.infeasible, w)
	}
}

// enforceQueueLimit sheds the waiters above the queue's limit, the least
// important first. It waits for siblings to confirm the floor unless the hard
// limit is exceeded.
func (o *Owner) enforceQueueLimit(now time.Time, g *group) {
	for g.queue.length > o.maxQueue {
		rank, _ := g.queue.lowestRank()
		g.coordinator.requestShed(now, rank)
		o.tightenFloor(now, g.coordinator)
		lowest, ok := g.queue.lowestRank()
		if !ok || lowest != rank {
			continue
		}
		w := g.queue.shedCandidate(rank)
		if !g.coordinator.mayShed(now, rank) {
			if g.queue.length+len(g.evicted)+len(g.infeasible) <= o.hardMaxQueue {
				return
			}
			o.counts.OutOfOrder++
		}
		g.queue.remove(w)
		o.shedOverloaded(now, w)
	}
}

// shedOverloaded sheds a request with an error of kind overloaded.
func (o *Owner) shedOverloaded(now time.Time, w *Waiter) {
	o.shedWithError(now, w, errOverloaded(w.request.Service))
}

// shedWithError records a shed, refuses the request with err and evicts the
// queued less important requests of the service.
func (o *Owner) shedWithError(now time.Time, w *Waiter, err error) {
	w.group.coordinator.lastShed[w.rank] = now
	o.counts.Shed[w.rank]++
	if o.onShed != nil {
		o.onShed(w)
	}
	w.answer(nil, err)
	if c := w.group.coordinator; c.recordShed(w.rank) {
		o.evictBelow(c, w.rank)
	}
}

// tightenFloor moves a service's floor to the rank that has to be shed and
// sends it to the siblings.
func (o *Owner) tightenFloor(now time.Time, c *shedCoordinator) {
	if c.tightenFloor(now) {
		o.notifyFloorChange(c)
		o.broadcastFloor(now, c)
	}
}

func (o *Owner) notifyFloorChange(c *shedCoordinator) {
	if o.options.OnFloorChange != nil {
		o.options.OnFloorChange(c.service, c.floor)
	}
}

// evictBelow evicts the queued requests that are less important than floor. A
// more important request was shed while they were queued, so they must never be
// dispatched. They are refused as soon as the order of tiers allows it.
func (o *Owner) evictBelow(c *shedCoordinator, floor uint32) {
	for _, g := range o.sortedGroups {
		if g.coordinator != c {
			continue
		}
		for rank := floor + 1; rank < MaxRanks; rank++ {
			g.queue.forEach(rank, func(w *Waiter) {
				g.queue.remove(w)
				g.evicted = append(g.evicted, w)
			})
		}
	}
}

// shedEvicted sheds evicted waiters, the least important first, as far as the
// order of tiers allows. For the others it requests a stricter floor from the
// siblings.
func (o *Owner) shedEvicted(now time.Time, c *shedCoordinator) {
	for rank := c.lowestRank; rank > 0; rank-- {
		if !o.hasEvicted(c, rank) {
			continue
		}
		if !c.mayShed(now, rank) {
			c.requestShed(now, rank)
			o.tightenFloor(now, c)
		}
		if !c.mayShed(now, rank) {
			return
		}
		for _, g := range o.sortedGroups {
			if g.coordinator != c {
				continue
			}
			var refused []*Waiter
			g.evicted, refused = partition(g.evicted, func(w *Waiter) bool { return w.rank != rank })
			for _, w := range refused {
				o.shedOverloaded(now, w)
			}
		}
	}
}

func (o *Owner) hasEvicted(c *shedCoordinator, rank uint32) bool {
	for _, g := range o.sortedGroups {
		if g.coordinator != c {
			continue
		}
		if slices.ContainsFunc(g.evicted, func(w *Waiter) bool { return w.rank == rank }) {
			return true
		}
	}
	return false
}

// partition splits waiters into those for which keep returns true and the
// others.
func partition(waiters []*Waiter, keep func(*Waiter) bool) (kept, others []*Waiter) {
	for _, w := range waiters {
		if keep(w) {
			kept = append(kept, w)
		} else {
			others = append(others, w)
		}
	}
	return kept, others
}

// HandleFloorUpdate applies a sibling owner's floor update and returns the
// acknowledgement.
func (o *Owner) HandleFloorUpdate(now time.Time, from string, u *schema.FloorUpdate) *schema.FloorAck {
	c := o.coordinator(now, u.GetService())
	ack, queuedFloor := c.handleUpdate(now, from, u)
	ack.Owner = o.options.Node
	ack.Loads = o.groupLoads(now, c)
	o.evictBelow(c, queuedFloor)
	o.shedEvicted(now, c)
	if c.siblingFloor() < c.lowestRank {
		o.renewLeases(now, c)
	}
	return ack
}

// HandleFloorAck applies the answer to an update that was sent at sent. ack is
// nil if the update was not answered.
func (o *Owner) HandleFloorAck(now, sent time.Time, node, service string, ack *schema.FloorAck) {
	c, ok := o.coordinators[service]
	if !ok {
		return
	}
	if ack == nil {
		c.recordUnanswered(now, sent, node)
	} else {
		o.evictBelow(c, c.handleAck(now, sent, node, ack))
	}
	o.shedEvicted(now, c)
	o.tightenFloor(now, c)
	for _, g := range o.sortedGroups {
		if g.coordinator == c {
			o.dispatch(now, g)
			o.redirectWaiters(now, g)
			o.enforceQueueLimit(now, g)
		}
	}
}

// broadcastFloor sends the floor to all siblings.
func (o *Owner) broadcastFloor(now time.Time, c *shedCoordinator) {
	for _, s := range c.siblings {
		if s.ownsGroup {
			o.sendFloorUpdate(now, c, s)
		}
	}
}

func (o *Owner) sendFloorUpdate(now time.Time, c *shedCoordinator, s *sibling) {
	s.lastSent = now
	if o.options.SendFloorUpdate == nil {
		return
	}
	o.options.SendFloorUpdate(now, s.node, &schema.FloorUpdate{
		Service:  c.service,
		Owner:    o.options.Node,
		Floor:    c.leasedFloor(),
		Keep:     c.queuedFloor,
		Sequence: c.sequence,
		Loads:    o.groupLoads(now, c),
	})
}

// renewLeases sends updates to siblings that were not sent one for
// leaseRenewInterval, as long as they are needed. The updates request leases
// for queued requests, get this owner's floor confirmed and return the
// siblings' floors.
func (o *Owner) renewLeases(now time.Time, c *shedCoordinator) {
	if !o.needsSiblingUpdates(c) {
		return
	}
	for _, s := range c.siblings {
		if s.ownsGroup && now.Sub(s.lastSent) >= leaseRenewInterval {
			o.sendFloorUpdate(now, c, s)
		}
	}
}

// needsSiblingUpdates reports whether a floor of the service is in force or
// requests are queued or evicted.
func (o *Owner) needsSiblingUpdates(c *shedCoordinator) bool {
	if c.floor < c.lowestRank || c.siblingFloor() < c.lowestRank {
		return true
	}
	for _, g := range o.sortedGroups {
		if g.coordinator == c && g.queue.length+len(g.evicted) > 0 {
			return true
		}
	}
	return false
}

// groupLoads returns the loads of this owner's groups of a service.
func (o *Owner) groupLoads(now time.Time, c *shedCoordinator) []*schema.GroupLoad {
	var loads []*schema.GroupLoad
	for _, g := range o.sortedGroups {
		if g.coordinator == c {
			loads = append(loads, g.load(now, &o.policy))
		}
	}
	return loads
}

// load returns the free capacity, the models and the expected waits by rank of
// the group.
func (g *group) load(now time.Time, policy *scheduling.Policy) *schema.GroupLoad {
	l := &schema.GroupLoad{Group: g.id}
	models := make(map[string]bool)
	for _, t := range g.targets {
		if t.info.Leaving {
			continue
		}
		if t.plain() {
			l.FreeTokens += float64(max(t.maxInFlight()-t.inFlight, 0))
			continue
		}
		l.FreeTokens += t.freePromptTokens(now, policy)
		for _, m := range t.models {
			models[m] = true
		}
	}
	l.Models = slices.Sorted(maps.Keys(models))
	for rank := uint32(0); rank <= g.coordinator.lowestRank; rank++ {
		l.Waits = append(l.Waits, durationpb.New(g.backlogTime(rank)))
	}
	return l
}

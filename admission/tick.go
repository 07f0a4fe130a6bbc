package admission

import (
	"slices"
	"time"

	"github.com/primrosemoor/primrosemoor/schema"
)

// Tick does the periodic work: it refuses waiters at their deadlines, expires
// lost permits, renews leases and relaxes floors. It should be called every
// 50 ms.
func (o *Owner) Tick(now time.Time) {
	for _, g := range o.sortedGroups {
		o.expireWaiters(now, g)
		o.expirePermits(now, g)
		g.queue.removeIdleFlows()
		g.driftRates(now)
	}
	for _, c := range o.coordinators {
		if c.relaxFloor(now) {
			o.notifyFloorChange(c)
			o.broadcastFloor(now, c)
		}
		o.tightenFloor(now, c)
		o.shedEvicted(now, c)
		o.renewLeases(now, c)
	}
	for _, g := range o.sortedGroups {
		o.enforceQueueLimit(now, g)
		o.dispatch(now, g)
	}
}

// expireWaiters refuses waiters at their deadlines. If the caller did not state
// the deadline, that counts as a shed, so a stricter floor is requested
// shedLeadTime before it.
func (o *Owner) expireWaiters(now time.Time, g *group) {
	beforeDeadline := func(w *Waiter) bool {
		remaining := w.deadline.Sub(now)
		if remaining <= shedLeadTime && w.rank < g.coordinator.lowestRank && !w.permitRequest.GetStatedDeadline() {
			g.coordinator.requestShed(now, w.rank)
		}
		return remaining > 0
	}
	var expired []*Waiter
	for rank := range uint32(MaxRanks) {
		g.queue.forEach(rank, func(w *Waiter) {
			if !beforeDeadline(w) {
				g.queue.remove(w)
				expired = append(expired, w)
			}
		})
	}
	evicted, infeasible := []*Waiter(nil), []*Waiter(nil)
	g.evicted, evicted = partition(g.evicted, beforeDeadline)
	g.infeasible, infeasible = partition(g.infeasible, beforeDeadline)
	for _, w := range slices.Concat(expired, evicted, infeasible) {
		o.expireWaiter(now, w)
	}
}

// expireWaiter refuses a waiter whose deadline has passed. It counts as expired
// if the caller stated the deadline or the order of tiers does not allow a
// shed.
func (o *Owner) expireWaiter(now time.Time, w *Waiter) {
	c := w.group.coordinator
	if !w.permitRequest.GetStatedDeadline() && c.mayShed(now, w.rank) {
		o.shedWithError(now, w, errDeadline())
		return
	}
	o.counts.Expired[w.rank]++
	w.answer(nil, errDeadline())
}

// expirePermits releases permits that were not returned before their expiry.
func (o *Owner) expirePermits(now time.Time, g *group) {
	for number, p := range g.permits {
		if p.expires.After(now) {
			continue
		}
		delete(g.permits, number)
		p.target.removePermit(p)
		o.counts.LostPermits++
	}
}

// driftRates moves the rates of idle targets without recent observations
// towards the group's median, so that a target that was slow once is tried
// again.
func (g *group) driftRates(now time.Time) {
	rates := make([]float64, 0, len(g.targets))
	for _, t := range g.targets {
		rates = append(rates, t.rates.PrefillRate())
	}
	slices.Sort(rates)
	for _, t := range g.targets {
		if !t.plain() && t.inFlight == 0 && now.Sub(t.lastObserved) >= rateDriftInterval {
			t.rates.MoveTowards(rates[len(rates)/2])
			t.lastObserved = now
		}
	}
}

// Status returns the status of the owned groups.
func (o *Owner) Status() []*schema.GroupStatus {
	groups := make([]*schema.GroupStatus, 0, len(o.sortedGroups))
	for _, g := range o.sortedGroups {
		s := &schema.GroupStatus{Id: g.id, ShedFloor: min(g.coordinator.floor, g.coordinator.siblingFloor())}
		for _, t := range g.targets {
			s.Targets = append(s.Targets, t.status())
		}
		for rank := range g.coordinator.lowestRank + 1 {
			s.Queued = append(s.Queued, uint32(g.queue.ranks[rank].length))
		}
		groups = append(groups, s)
	}
	return groups
}

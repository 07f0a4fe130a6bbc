package admission

import (
	"slices"
	"time"

	"github.com/primrosemoor/primrosemoor/schema"
)

// Tick does what time alone brings about: it ends waits at their deadlines,
// releases lost permits, renews leases and lowers floors. It should be called
// every 50 ms.
func (o *Owner) Tick(now time.Time) {
	for _, g := range o.ordered {
		o.expireWaiters(now, g)
		o.expirePermits(now, g)
		g.queue.sweep()
		g.drift(now)
	}
	for _, p := range o.pools {
		if p.relax(now) {
			o.floorMoved(p)
			o.broadcast(now, p)
		}
		o.advance(now, p)
		o.refuseEvicted(now, p)
		o.renew(now, p)
	}
	for _, g := range o.ordered {
		o.trim(now, g)
		o.dispatch(now, g)
	}
}

// expireWaiters refuses waiters at their deadlines. If the caller did not
// choose the deadline, that is a shed, so the floor is asked for before.
func (o *Owner) expireWaiters(now time.Time, g *group) {
	inTime := func(w *Waiter) bool {
		left := w.deadline.Sub(now)
		if left <= pressAhead && w.rank < g.pool.lowest && !w.asked.GetStatedDeadline() {
			g.pool.press(now, w.rank)
		}
		return left > 0
	}
	var expired []*Waiter
	for rank := range uint32(MaxRanks) {
		g.queue.all(rank, func(w *Waiter) {
			if !inTime(w) {
				g.queue.remove(w)
				expired = append(expired, w)
			}
		})
	}
	evicted, late := []*Waiter(nil), []*Waiter(nil)
	g.evicted, evicted = partition(g.evicted, inTime)
	g.late, late = partition(g.late, inTime)
	for _, w := range slices.Concat(expired, evicted, late) {
		o.expire(now, w)
	}
}

func (o *Owner) expire(now time.Time, w *Waiter) {
	p := w.group.pool
	if !w.asked.GetStatedDeadline() && p.mayShed(now, w.rank) {
		o.shedAs(now, w, errDeadline())
		return
	}
	o.counts.Expired[w.rank]++
	w.answer(nil, errDeadline())
}

// expirePermits releases permits that were not returned in any plausible time.
func (o *Owner) expirePermits(now time.Time, g *group) {
	for number, p := range g.permits {
		if p.expires.After(now) {
			continue
		}
		delete(g.permits, number)
		p.target.give(p)
		o.counts.LostPermits++
	}
}

// drift moves the rates of targets that were not observed lately towards the
// group's median, so that a target with a bad memory is tried again.
func (g *group) drift(now time.Time) {
	rates := make([]float64, 0, len(g.targets))
	for _, t := range g.targets {
		rates = append(rates, t.rates.Prefill())
	}
	slices.Sort(rates)
	for _, t := range g.targets {
		if !t.plain() && t.inFlight == 0 && now.Sub(t.observed) >= driftInterval {
			t.rates.Drift(rates[len(rates)/2])
			t.observed = now
		}
	}
}

// Status describes the owned groups.
func (o *Owner) Status() []*schema.GroupStatus {
	groups := make([]*schema.GroupStatus, 0, len(o.ordered))
	for _, g := range o.ordered {
		s := &schema.GroupStatus{Id: g.id, ShedFloor: min(g.pool.floor, g.pool.imposed())}
		for _, t := range g.targets {
			s.Targets = append(s.Targets, t.status())
		}
		for rank := range g.pool.lowest + 1 {
			s.Queued = append(s.Queued, uint32(g.queue.ranks[rank].length))
		}
		groups = append(groups, s)
	}
	return groups
}

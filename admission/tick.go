package admission

import (
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
	}
	for _, p := range o.pools {
		if p.relax(now) {
			o.broadcast(now, p)
		}
		o.advance(now, p)
		o.refuseCondemned(now, p)
		o.renew(now, p)
	}
	for _, g := range o.ordered {
		o.trim(now, g)
		o.dispatch(now, g)
	}
}

func (o *Owner) expireWaiters(now time.Time, g *group) {
	late := func(w *Waiter) {
		o.counts.Expired[w.rank]++
		w.answer(nil, errDeadline())
	}
	for rank := range uint32(MaxRanks) {
		g.queue.all(rank, func(w *Waiter) {
			if !w.deadline.After(now) {
				g.queue.remove(w)
				late(w)
			}
		})
	}
	g.keepCondemned(func(w *Waiter) bool { return w.deadline.After(now) }, late)
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

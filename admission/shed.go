package admission

import (
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/primrosemoor/primrosemoor/scheduling"
	"github.com/primrosemoor/primrosemoor/schema"
)

// passedOver evicts a new request that waited elsewhere, as for its claim,
// when a more important one was shed.
func (o *Owner) passedOver(now time.Time, g *group, w *Waiter) bool {
	if !w.arrived.Before(g.pool.lastShedAbove(w.rank)) {
		return false
	}
	g.evicted = append(g.evicted, w)
	o.refuseEvicted(now, g.pool)
	return true
}

// tooLate sheds a request that would wait beyond its deadline, if the order of
// tiers allows that now. A request whose caller stated the deadline is tried
// until then, unless its tier is the lowest: to refuse it earlier would cost
// all that waits in the tiers below.
func (o *Owner) tooLate(now time.Time, g *group, w *Waiter) bool {
	lowest := w.rank >= g.pool.lowest
	if !lowest && w.asked.GetStatedDeadline() {
		return false
	}
	margin := pressMargin
	if lowest {
		margin = waitMargin
	}
	wait := g.wait(w.rank, w.lane(), w.request.Team, w.weight)
	if time.Duration(margin*float64(wait)) <= w.deadline.Sub(now) {
		return false
	}
	if o.redirect(now, g, w) {
		return true
	}
	g.pool.press(now, w.rank)
	o.advance(now, g.pool)
	if !g.pool.mayShed(now, w.rank) {
		return false
	}
	o.shedAs(now, w, errDeadline())
	return true
}

// giveUp refuses a request that cannot meet its deadline here: at once if the
// order of tiers allows it, and else at the deadline.
func (o *Owner) giveUp(now time.Time, g *group, w *Waiter) {
	switch {
	case o.redirect(now, g, w):
	case g.pool.mayShed(now, w.rank):
		o.shedAs(now, w, errDeadline())
	default:
		g.late = append(g.late, w)
	}
}

// trim sheds waiters above the queue's bound, the least important first.
func (o *Owner) trim(now time.Time, g *group) {
	for g.queue.length > o.maxQueue {
		rank, _ := g.queue.lowest()
		g.pool.press(now, rank)
		o.advance(now, g.pool)
		lowest, ok := g.queue.lowest()
		if !ok || lowest != rank {
			continue
		}
		w := g.queue.last(rank)
		if !g.pool.mayShed(now, rank) {
			if g.queue.length+len(g.evicted)+len(g.late) <= o.hardQueue {
				return
			}
			o.counts.OutOfOrder++
		}
		g.queue.remove(w)
		o.shed(now, w)
	}
}

func (o *Owner) shed(now time.Time, w *Waiter) {
	o.shedAs(now, w, errOverloaded(w.request.Service))
}

func (o *Owner) shedAs(now time.Time, w *Waiter, reason error) {
	w.group.pool.shedAt[w.rank] = now
	o.counts.Shed[w.rank]++
	if o.onShed != nil {
		o.onShed(w)
	}
	w.answer(nil, reason)
	if p := w.group.pool; p.shed(w.rank) {
		o.evict(p, w.rank)
	}
}

// advance moves a pool's floor to the rank that has to be shed and tells the
// siblings.
func (o *Owner) advance(now time.Time, p *pool) {
	if p.advance(now) {
		o.floorMoved(p)
		o.broadcast(now, p)
	}
}

func (o *Owner) floorMoved(p *pool) {
	if o.options.FloorMoved != nil {
		o.options.FloorMoved(p.service, p.floor)
	}
}

// evict takes the waiters less important than keep out of the queues: a more
// important request was shed while they waited, so they must never be
// dispatched. They are refused as soon as the order of tiers allows it.
func (o *Owner) evict(p *pool, keep uint32) {
	for _, g := range o.ordered {
		if g.pool != p {
			continue
		}
		for rank := keep + 1; rank < MaxRanks; rank++ {
			g.queue.all(rank, func(w *Waiter) {
				g.queue.remove(w)
				g.evicted = append(g.evicted, w)
			})
		}
	}
}

// refuseEvicted sheds evicted waiters, the least important first, as far
// as the order of tiers allows, and asks siblings for the rest.
func (o *Owner) refuseEvicted(now time.Time, p *pool) {
	for rank := p.lowest; rank > 0; rank-- {
		if !o.hasEvicted(p, rank) {
			continue
		}
		if !p.mayShed(now, rank) {
			p.press(now, rank)
			o.advance(now, p)
		}
		if !p.mayShed(now, rank) {
			return
		}
		for _, g := range o.ordered {
			if g.pool != p {
				continue
			}
			var refused []*Waiter
			g.evicted, refused = partition(g.evicted, func(w *Waiter) bool { return w.rank != rank })
			for _, w := range refused {
				o.shed(now, w)
			}
		}
	}
}

func (o *Owner) hasEvicted(p *pool, rank uint32) bool {
	for _, g := range o.ordered {
		if g.pool != p {
			continue
		}
		if slices.ContainsFunc(g.evicted, func(w *Waiter) bool { return w.rank == rank }) {
			return true
		}
	}
	return false
}

// partition splits waiters into those for which keep is true and the others.
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

// Floor takes a sibling owner's floor update and returns the answer.
func (o *Owner) Floor(now time.Time, from string, u *schema.FloorUpdate) *schema.FloorAck {
	p := o.pool(now, u.GetService())
	ack, keep := p.receive(now, from, u)
	ack.Owner = o.options.Node
	ack.Loads = o.loads(now, p)
	o.evict(p, keep)
	o.refuseEvicted(now, p)
	if p.imposed() < p.lowest {
		o.renew(now, p)
	}
	return ack
}

// FloorAnswered takes the answer to an update sent at sent; ack is nil if
// there was none.
func (o *Owner) FloorAnswered(now, sent time.Time, node, service string, ack *schema.FloorAck) {
	p, ok := o.pools[service]
	if !ok {
		return
	}
	if ack == nil {
		p.unanswered(now, sent, node)
	} else {
		o.evict(p, p.acknowledged(now, sent, node, ack))
	}
	o.refuseEvicted(now, p)
	o.advance(now, p)
	for _, g := range o.ordered {
		if g.pool == p {
			o.dispatch(now, g)
			o.redirectWaiting(now, g)
			o.trim(now, g)
		}
	}
}

func (o *Owner) broadcast(now time.Time, p *pool) {
	for _, s := range p.siblings {
		if s.listed {
			o.sendFloor(now, p, s)
		}
	}
}

func (o *Owner) sendFloor(now time.Time, p *pool, s *sibling) {
	s.sent = now
	if o.options.SendFloor == nil {
		return
	}
	o.options.SendFloor(now, s.node, &schema.FloorUpdate{
		Service:  p.service,
		Owner:    o.options.Node,
		Floor:    p.granting(),
		Keep:     p.keep,
		Sequence: p.sequence,
		Loads:    o.loads(now, p),
	})
}

// renew asks siblings for leases while requests wait, confirms this owner's
// floor, and follows floors of siblings.
func (o *Owner) renew(now time.Time, p *pool) {
	if !o.needsSiblings(p) {
		return
	}
	for _, s := range p.siblings {
		if s.listed && now.Sub(s.sent) >= renewInterval {
			o.sendFloor(now, p, s)
		}
	}
}

func (o *Owner) needsSiblings(p *pool) bool {
	if p.floor < p.lowest || p.imposed() < p.lowest {
		return true
	}
	for _, g := range o.ordered {
		if g.pool == p && g.queue.length+len(g.evicted) > 0 {
			return true
		}
	}
	return false
}

// loads describes the room in this owner's groups of a pool.
func (o *Owner) loads(now time.Time, p *pool) []*schema.GroupLoad {
	var loads []*schema.GroupLoad
	for _, g := range o.ordered {
		if g.pool == p {
			loads = append(loads, g.load(now, &o.policy))
		}
	}
	return loads
}

func (g *group) load(now time.Time, p *scheduling.Policy) *schema.GroupLoad {
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
		l.FreeTokens += t.room(now, p)
		for _, m := range t.models {
			models[m] = true
		}
	}
	l.Models = slices.Sorted(maps.Keys(models))
	for rank := uint32(0); rank <= g.pool.lowest; rank++ {
		l.Waits = append(l.Waits, durationpb.New(g.backlog(rank)))
	}
	return l
}

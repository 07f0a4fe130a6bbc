package admission

import (
	"slices"
	"time"

	"github.com/primrosemoor/primrosemoor/schema"
	"github.com/primrosemoor/primrosemoor/topology"
)

const (
	// maxHops bounds the redirects of one request.
	maxHops = 2
	// loadMaxAge is the age beyond which a sibling's load is not relied on.
	loadMaxAge = 2 * time.Second
)

// redirect sends a request that would wait too long here to a group of the
// same service that has room for it, and reports whether it did.
func (o *Owner) redirect(now time.Time, g *group, w *Waiter) bool {
	if w.asked.GetHops() >= maxHops {
		return false
	}
	wait := g.wait(w.rank, laneKey{w.request.Model, w.request.Alone}, w.request.Team, w.weight)
	if wait < o.policy.FirstTokenGoal/2 {
		return false
	}
	load := o.roomiest(now, g, w)
	if load == nil {
		return false
	}
	load.FreeTokens -= w.cost
	g.queue.remove(w)
	w.answer(&schema.PermitReply{RedirectGroup: load.Group}, nil)
	return true
}

// roomiest returns the load of the sibling group with the most free tokens
// that can take the request at once, or nil.
func (o *Owner) roomiest(now time.Time, g *group, w *Waiter) *schema.GroupLoad {
	var best *schema.GroupLoad
	for _, s := range g.pool.siblings {
		if !s.listed || s.split || now.Sub(s.loadsAt) > loadMaxAge {
			continue
		}
		for _, l := range s.loads {
			best = roomier(best, l, w)
		}
	}
	for _, other := range o.ordered {
		if other.pool == g.pool && other != g && other.queue.length == 0 {
			best = roomier(best, other.load(g.pool.lowest), w)
		}
	}
	return best
}

func roomier(best, l *schema.GroupLoad, w *Waiter) *schema.GroupLoad {
	if w.request.Model != "" && !slices.Contains(l.GetModels(), w.request.Model) {
		return best
	}
	if l.GetFreeTokens() < w.cost || queued(l, w.rank) {
		return best
	}
	if best == nil || l.GetFreeTokens() > best.GetFreeTokens() {
		return l
	}
	return best
}

func queued(l *schema.GroupLoad, rank uint32) bool {
	waits := l.GetWaits()
	return int(rank) < len(waits) && waits[rank].AsDuration() > 0
}

// noTarget redirects a request to a group that can run it, or refuses it.
func (o *Owner) noTarget(g *group, w *Waiter) {
	if w.asked.GetHops() < maxHops {
		for _, other := range o.snapshot.ServiceGroups(g.service) {
			if other.ID != g.id && canRun(other, w.request.Model) {
				w.answer(&schema.PermitReply{RedirectGroup: other.ID}, nil)
				return
			}
		}
	}
	w.answer(nil, errNoTarget(g.service, w.request.Model))
}

func canRun(g topology.Group, model string) bool {
	for _, t := range g.Targets {
		if t.Leaving {
			continue
		}
		if model == "" || slices.Contains(t.Models, model) {
			return true
		}
	}
	return false
}

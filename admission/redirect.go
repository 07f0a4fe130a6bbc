package admission

import (
	"slices"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/primrosemoor/primrosemoor/schema"
	"github.com/primrosemoor/primrosemoor/topology"
)

const (
	// maxHops limits the redirects of one request.
	maxHops = 2
	// maxLoadAge is the age beyond which a sibling's reported load is ignored.
	maxLoadAge = 2 * time.Second
	// minRedirectGain is the minimum saving in waiting time for which a request
	// is redirected.
	minRedirectGain = 100 * time.Millisecond
)

// redirect answers a request that has to wait here with a group of the same
// service where it would wait less. It reports whether it did.
func (o *Owner) redirect(now time.Time, g *group, w *Waiter) bool {
	if w.permitRequest.GetHops() >= maxHops || w.request.Exclusive {
		return false
	}
	load := o.bestRedirect(now, g, w)
	if load == nil {
		return false
	}
	g.chargeRedirect(load, w)
	g.queue.remove(w)
	w.answer(&schema.PermitReply{RedirectGroup: load.Group}, nil)
	return true
}

// chargeRedirect adds a redirected request to the reported load of its new
// group, because the report does not include it yet.
func (g *group) chargeRedirect(load *schema.GroupLoad, w *Waiter) {
	load.FreeTokens -= w.uncachedPromptTokens()
	if load.FreeTokens > 0 || g.throughput.rate <= 0 {
		return
	}
	added := time.Duration(w.cost / g.throughput.rate * float64(time.Second))
	for rank := int(w.rank); rank < len(load.Waits); rank++ {
		load.Waits[rank] = durationpb.New(load.Waits[rank].AsDuration() + added)
	}
}

// uncachedPromptTokens is the capacity that a request takes at another group,
// assuming that none of its prompt is cached there.
func (w *Waiter) uncachedPromptTokens() float64 {
	return max(float64(w.request.PromptTokens), 1)
}

// redirectWaiters redirects queued requests to groups with reported free
// capacity, the most important first.
func (o *Owner) redirectWaiters(now time.Time, g *group) {
	for rank := range uint32(MaxRanks) {
		g.queue.forEach(rank, func(w *Waiter) { o.redirect(now, g, w) })
	}
}

// bestRedirect returns the load of the other group of the service where the
// request would wait least, or nil if no group is worth a redirect. A group is,
// if the request would wait there for less than half of its wait here, minus
// minRedirectGain and the prefill time that the prefix caches save here. If no
// group is that much faster, one that can start the request at once and has
// free capacity for twice the request also qualifies.
func (o *Owner) bestRedirect(now time.Time, g *group, w *Waiter) *schema.GroupLoad {
	wait := g.expectedWait(w.rank, w.laneKey(), w.request.Team, w.weight)
	best, leastWait := (*schema.GroupLoad)(nil), wait/2-minRedirectGain-g.cachedPrefillTime(now, w)
	consider := func(l *schema.GroupLoad) {
		if w.request.Model != "" && !slices.Contains(l.GetModels(), w.request.Model) {
			return
		}
		wait := reportedWait(l, w)
		if wait < leastWait || best == nil && wait == 0 && hasSpareCapacity(l, w) {
			best, leastWait = l, wait
		}
	}
	for _, s := range g.coordinator.siblings {
		if !s.ownsGroup || s.unreachable || now.Sub(s.loadsReceived) > maxLoadAge {
			continue
		}
		for _, l := range s.loads {
			consider(l)
		}
	}
	for _, other := range o.sortedGroups {
		if other.coordinator == g.coordinator && other != g {
			consider(other.load(now, &o.policy))
		}
	}
	return best
}

// cachedPrefillTime returns the prefill time that the targets' prefix caches
// save the request in this group. A redirect would lose it.
func (g *group) cachedPrefillTime(now time.Time, w *Waiter) time.Duration {
	var most time.Duration
	for _, t := range g.targets {
		if t.plain() {
			continue
		}
		tokens := t.prefixIndex.CachedTokens(w.request.Blocks, w.request.PromptTokens)
		saved := time.Duration(float64(tokens) / t.rates.PrefillRate() * float64(time.Second))
		most = max(most, saved)
	}
	return most
}

// reportedWait returns the wait that a group's load reports for the request's
// rank. It returns 0 if the group has free capacity now, and minRedirectGain if
// the group reports neither a wait nor enough free capacity.
func reportedWait(l *schema.GroupLoad, w *Waiter) time.Duration {
	wait := time.Duration(0)
	if waits := l.GetWaits(); int(w.rank) < len(waits) {
		wait = waits[w.rank].AsDuration()
	}
	if wait == 0 && l.GetFreeTokens() < w.uncachedPromptTokens() {
		return minRedirectGain
	}
	return wait
}

// handleNoTarget redirects a request that no target of the group can run to a
// group that can, or refuses it if there is none.
func (o *Owner) handleNoTarget(g *group, w *Waiter) {
	if w.permitRequest.GetHops() < maxHops {
		for _, other := range o.snapshot.ServiceGroups(g.service) {
			if other.ID != g.id && canServe(other, w.request.Model) {
				w.answer(&schema.PermitReply{RedirectGroup: other.ID}, nil)
				return
			}
		}
	}
	w.answer(nil, errNoTarget(g.service, w.request.Model))
}

// canServe reports whether the group has a target that is not leaving and runs
// the model. An empty model matches every target.
func canServe(g topology.Group, model string) bool {
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

// hasSpareCapacity reports whether the group has free capacity for twice the
// request.
func hasSpareCapacity(l *schema.GroupLoad, w *Waiter) bool {
	return l.GetFreeTokens() >= 2*w.uncachedPromptTokens()
}

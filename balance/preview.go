package balance

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"
)

// Preview says where a request would go now, without sending it or changing anything.
type Preview struct {
	// Target is the id of the target that it would be sent to; empty if it would wait or be
	// refused.
	Target string
	// Refusal is set if it would be refused at once.
	Refusal *Refusal
	// Ahead counts the waiting requests that are considered first. Those that may not take the
	// free targets do not hold the request back.
	Ahead int
	// Targets holds all targets of the service: those that may take the request, the best
	// first, and then the others by their id.
	Targets []TargetPreview
}

// TargetPreview is the state of one target for a request.
type TargetPreview struct {
	ID, Zone string
	Slots    int
	// Excluded is why the target gets no request now; empty if it may.
	Excluded   Exclusion
	Prediction Prediction
	Cost       time.Duration
	OnTime     bool
}

// Exclusion is why a target gets no request.
type Exclusion string

// The reasons, in the order in which they are checked.
const (
	ExcludedLeaving  Exclusion = "leaving"
	ExcludedBackoff  Exclusion = "backoff"
	ExcludedVersion  Exclusion = "version"
	ExcludedPaused   Exclusion = "paused"
	ExcludedOverdue  Exclusion = "overdue"
	ExcludedLimit    Exclusion = "limit"
	ExcludedFull     Exclusion = "full"
	ExcludedMemory   Exclusion = "memory"
	ExcludedReserved Exclusion = "reserved"
)

var errPreviewEnded = errors.New("balance: the node stops")

// Preview returns where a request would go now.
func (m *Manager) Preview(ctx context.Context, w *Work) (Preview, error) {
	reply := make(chan Preview, 1)
	m.submit(previewRequested{w, reply})
	select {
	case p := <-reply:
		return p, nil
	case <-m.done:
		return Preview{}, errPreviewEnded
	case <-ctx.Done():
		return Preview{}, context.Cause(ctx)
	}
}

// previewRequested asks where a request would go.
type previewRequested struct {
	work  *Work
	reply chan Preview
}

func (e previewRequested) apply(m *Manager, now time.Time) {
	p := m.pools[e.work.Service]
	if p == nil {
		e.reply <- Preview{Refusal: &Refusal{Reason: ReasonNoTarget, RetryAfter: noTargetRetryAfter}}
		return
	}
	if m.changed[p] {
		// The free targets are those that the requests which wait have left.
		delete(m.changed, p)
		m.assign(p, now)
	}
	e.reply <- p.preview(e.work, now, m.location, m.heardShare, &m.remoteQueues)
}

// preview runs the choice for a request that is not added to the queue. The waiting requests
// must have been assigned.
func (p *pool) preview(w *Work, now time.Time, here location, limitShare float64, queues *remoteQueues) Preview {
	preview := Preview{Refusal: p.unservable(w)}
	p.updateFastestStep(now)
	preview.Ahead = p.ahead(w, now)
	free := p.capacity(now, here, limitShare)
	reserve := time.Duration(0)
	if p.engine != nil {
		reserve = queues.reserveTime(p.name, w.Tier, p.countOnTime(now)[w.Tier])
	}
	for _, t := range p.targets {
		preview.Targets = append(preview.Targets, p.previewTarget(t, w, now, here, &free, reserve))
	}
	slices.SortFunc(preview.Targets, compareTargetPreviews)
	if preview.Refusal != nil {
		return preview
	}
	if c, ok := p.pick(w, now, here, &free, reserve); ok && (c.onTime || p.late(w, now) || c.onTimeAsLearned && !waitsForReports(w, now)) {
		preview.Target = c.target.ID
	}
	return preview
}

// ahead counts the waiting requests that are considered before one that arrives now.
func (p *pool) ahead(w *Work, now time.Time) int {
	newcomer := &waiter{work: w, late: p.late(w, now), valueDensity: p.valueDensity(w)}
	if p.sharing != nil {
		newcomer.overShare = p.sharing.account.Shares(p.waitingWork(), now).Over(shareKey(w))
	}
	count := 0
	for _, other := range p.waiting {
		if p.compareWaiters(other, newcomer) <= 0 {
			count++
		}
	}
	return count
}

func (p *pool) previewTarget(t *target, w *Work, now time.Time, here location, free *capacity, reserve time.Duration) TargetPreview {
	c := p.score(t, w, now, here, free.squaredUtilization())
	return TargetPreview{
		ID: t.ID, Zone: t.Zone, Slots: t.Slots, Excluded: p.exclusion(t, w, now, here, free, reserve),
		Prediction: c.prediction(), Cost: c.cost, OnTime: c.onTime,
	}
}

// exclusion returns why a target gets no request now, or an empty reason if it may.
func (p *pool) exclusion(t *target, w *Work, now time.Time, here location, free *capacity, reserve time.Duration) Exclusion {
	listed := func(list []*target) bool { return slices.Contains(list, t) }
	switch {
	case t.leaves() && !listed(free.leaving):
		return ExcludedLeaving
	case t.health.inBackoff(now):
		return ExcludedBackoff
	case !w.Allows(t.Target):
		return ExcludedVersion
	case !t.wants(w.Node, now):
		return ExcludedPaused
	case free.exhausted(t):
		return ExcludedLimit
	case t.occupied(now) >= t.usableSlots():
		return ExcludedFull
	case !listed(free.sameZone) && !listed(free.otherZones) && !listed(free.suspects) && !listed(free.leaving):
		return ExcludedOverdue
	case !p.hasMemory(t, w, now):
		return ExcludedMemory
	case !eligible(t, w, now, p.slotReserveTime(t, here, reserve)) || t.reserved(now) && !p.occupiesLong(w):
		return ExcludedReserved
	default:
		return ""
	}
}

// compareTargetPreviews orders targets that may take the request by preference, before all
// others.
func compareTargetPreviews(a, b TargetPreview) int {
	if c := compareBools(a.Excluded != "", b.Excluded != ""); c != 0 {
		return c
	}
	if a.Excluded != "" {
		return cmp.Compare(a.ID, b.ID)
	}
	return cmp.Or(compareBools(!a.OnTime, !b.OnTime), cmp.Compare(a.Cost, b.Cost), cmp.Compare(a.ID, b.ID))
}

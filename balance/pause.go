package balance

import (
	"maps"
	"slices"
	"time"
)

// ReasonPaused is the reason of a refusal while all targets ask for a pause.
const ReasonPaused = "targets_paused"

// pause is a time in which a target wants no request from one node. After it, the node
// sends one request at a time until the target takes one: requests that have waited for
// the end of the pause would all reach a target in need at once. Load: a target that is
// overwhelmed for a moment while requests for it wait at every node.
type pause struct {
	until time.Time
	// trial is the request that was sent after the pause and has not been answered.
	trial *Work
}

// pause records that the target wants no request from a node until a time. A shorter
// pause does not end a longer one.
func (t *target) pause(node string, now, until time.Time) {
	t.dropOldPauses(now)
	if t.pauses == nil {
		t.pauses = make(map[string]*pause)
	}
	p := t.pauses[node]
	if p == nil {
		p = &pause{}
		t.pauses[node] = p
	}
	if until.After(p.until) {
		p.until = until
	}
}

// dropOldPauses drops pauses that ended long ago without a request since.
func (t *target) dropOldPauses(now time.Time) {
	maps.DeleteFunc(t.pauses, func(_ string, p *pause) bool {
		return p.trial == nil && now.Sub(p.until) > pauseRetention
	})
}

// paused reports whether the pause that the target asked of a node still lasts.
func (t *target) paused(node string, now time.Time) bool {
	p := t.pauses[node]
	return p != nil && now.Before(p.until)
}

// wants reports whether the target may get a request from a node: its pause has ended
// and no other request tries whether it takes requests again.
func (t *target) wants(node string, now time.Time) bool {
	p := t.pauses[node]
	return p == nil || p.trial == nil && !now.Before(p.until)
}

// beginTrial records a request that is sent after a pause.
func (t *target) beginTrial(w *Work) {
	if p := t.pauses[w.Node]; p != nil {
		p.trial = w
	}
}

// endTrial records the end of a request. If the target took it, the node may send
// several at a time again.
func (t *target) endTrial(w *Work, taken bool, now time.Time) {
	p := t.pauses[w.Node]
	if p == nil || p.trial != w {
		return
	}
	p.trial = nil
	if taken && !now.Before(p.until) {
		delete(t.pauses, w.Node)
	}
}

// pausedNodes finds the nodes of which all targets of a service ask for a pause.
type pausedNodes struct {
	pool  *pool
	now   time.Time
	known map[string]bool
}

// contains reports whether all targets that do not leave ask a node for a pause. One in
// backoff may be back sooner, so that it counts as one that does not.
func (n *pausedNodes) contains(node string) bool {
	all, known := n.known[node]
	if known {
		return all
	}
	for _, t := range n.pool.targets {
		if t.leaves() {
			continue
		}
		if all = t.paused(node, n.now); !all {
			break
		}
	}
	if n.known == nil {
		n.known = make(map[string]bool)
	}
	n.known[node] = all
	return all
}

// pauseRefusal returns the refusal of a request while all targets ask its node for a
// pause, or nil if one of them wants requests again before the request's goal. Load: a
// service whose engines all state Retry-After; callers that are refused at once may reach
// another node, of which the targets have not asked it.
func (p *pool) pauseRefusal(w *Work, now time.Time) *Refusal {
	var earliest time.Time
	for _, t := range p.targets {
		if t.leaves() {
			continue
		}
		until := t.pauses[w.Node].until
		if until.Before(w.Goal) && !slices.Contains(w.Tried, t.ID) {
			return nil
		}
		if earliest.IsZero() || until.Before(earliest) {
			earliest = until
		}
	}
	return &Refusal{Reason: ReasonPaused, RetryAfter: max(min(earliest.Sub(now), w.End.Sub(now)/retryDivisor), minRetryAfter)}
}

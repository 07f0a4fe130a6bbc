package balance

import (
	"time"

	"github.com/primrosemoor/primrosemoor/catalog"
)

// pool holds the targets of one service and the requests that wait for one.
type pool struct {
	name    string
	engine  *engine
	targets map[string]*target
	waiting []*waiter
	// fastestStep is the step time of the fastest available engine in seconds.
	fastestStep float64
	// publishedWaiting is the last published number of waiting requests of each
	// tier.
	publishedWaiting map[int]int
	// routeFailures is the share of requests that fail, by route, over all targets.
	routeFailures map[string]float64
	// sharing is nil if teams do not share the capacity fairly.
	sharing *sharing
}

// setTargets replaces the targets of the service and returns the new ones. A
// restarted instance counts as new.
func (p *pool) setTargets(list []*catalog.Target, now time.Time) (added []*target) {
	listed := make(map[string]bool, len(list))
	for _, c := range list {
		listed[c.ID] = true
		t := p.targets[c.ID]
		if t == nil || t.Started != c.Started {
			t = &target{prefillUpdatedAt: now, prefilling: make(map[*Work]*pendingPrompt), remote: make(map[string]remoteLoad)}
			p.targets[c.ID] = t
			added = append(added, t)
		}
		t.Target = c
	}
	for id := range p.targets {
		if !listed[id] {
			delete(p.targets, id)
		}
	}
	return added
}

// unused reports whether the pool has no targets and no requests wait for one, here or
// as published.
func (p *pool) unused() bool {
	for _, waiting := range p.publishedWaiting {
		if waiting > 0 {
			return false
		}
	}
	return len(p.targets) == 0 && len(p.waiting) == 0 && !p.sharing.publishes()
}

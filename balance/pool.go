package balance

import (
	"cmp"
	"slices"
	"time"

	"github.com/primrosemoor/primrosemoor/catalog"
)

// pool is one service: its targets and the requests that wait for one.
type pool struct {
	name    string
	engine  *engine
	targets map[string]*target
	waiting []*waiter
}

// waiter is a request that waits for a target.
type waiter struct {
	work  *Work
	reply chan decision
}

// decision ends a wait.
type decision struct {
	choice  choice
	refusal *Refusal
}

// apply takes over the targets of the service and returns the new ones.
func (p *pool) apply(list []*catalog.Target, now time.Time) (joined []*target) {
	known := make(map[string]bool, len(list))
	for _, c := range list {
		known[c.ID] = true
		t := p.targets[c.ID]
		if t == nil || t.Started != c.Started {
			t = &target{read: now, remote: make(map[string]Load)}
			p.targets[c.ID] = t
			joined = append(joined, t)
		}
		t.Target = c
	}
	for id := range p.targets {
		if !known[id] {
			delete(p.targets, id)
		}
	}
	return joined
}

// assign gives targets to the waiting requests, the most important first.
func (p *pool) assign(now time.Time, at place, granted func(*waiter, choice)) {
	if len(p.waiting) == 0 {
		return
	}
	slices.SortStableFunc(p.waiting, func(a, b *waiter) int { return order(a.work, b.work, now) })
	kept := p.waiting[:0]
	for _, w := range p.waiting {
		c, ok := p.choose(w.work, now, at)
		if !ok {
			kept = append(kept, w)
			continue
		}
		c.target.own.Requests++
		c.target.own.PromptTokens += w.work.PromptTokens
		granted(w, c)
	}
	clear(p.waiting[len(kept):])
	p.waiting = kept
}

// order compares two waiting requests: first those that can still be on time,
// then by tier, then by arrival.
func order(a, b *Work, now time.Time) int {
	lateA, lateB := now.After(a.Goal), now.After(b.Goal)
	if lateA != lateB {
		if lateB {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(a.Tier, b.Tier), a.Arrived.Compare(b.Arrived))
}

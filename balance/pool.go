package balance

import (
	"time"

	"github.com/primrosemoor/primrosemoor/catalog"
)

// pool is one service: its targets and the requests that wait for one.
type pool struct {
	name    string
	engine  *engine
	targets map[string]*target
	waiting []*waiter
	// fastest is the step time of the fastest engine in seconds.
	fastest float64
	// published is how many requests of each tier the others were told of.
	published map[int]int
}

// apply takes over the targets of the service and returns the new ones.
func (p *pool) apply(list []*catalog.Target, now time.Time) (joined []*target) {
	known := make(map[string]bool, len(list))
	for _, c := range list {
		known[c.ID] = true
		t := p.targets[c.ID]
		if t == nil || t.Started != c.Started {
			t = &target{read: now, reading: make(map[*Work]*prompt), remote: make(map[string]told)}
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

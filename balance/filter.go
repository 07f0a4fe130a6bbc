package balance

import (
	"math/rand/v2"
	"slices"
	"time"
)

// capacity is what the targets of a pool can take at an instant.
type capacity struct {
	// here are the targets with a free slot in this node's zone, elsewhere the others.
	here, elsewhere []*target
	// slots and taken are those of all targets that may be used.
	slots, taken int
}

// capacity finds the targets that are there to stay, answer, and have a free
// slot.
func (p *pool) capacity(now time.Time, at place) capacity {
	var c capacity
	for _, t := range p.targets {
		if t.Draining || t.health.paused(now) {
			continue
		}
		requests := t.load().Requests
		c.slots += t.Slots
		c.taken += min(requests, t.Slots)
		switch {
		case requests >= t.Slots:
		case t.Zone == at.zone || p.engine == nil:
			c.here = append(c.here, t)
		default:
			c.elsewhere = append(c.elsewhere, t)
		}
	}
	return c
}

// take counts one more request at a target, which has got it already.
func (c *capacity) take(t *target) {
	c.taken++
	if t.load().Requests < t.Slots {
		return
	}
	full := func(f *target) bool { return f == t }
	c.here = slices.DeleteFunc(c.here, full)
	c.elsewhere = slices.DeleteFunc(c.elsewhere, full)
}

// candidates returns the targets that are compared for a request: all of this
// zone, and a few of the others at random. What is known of those is old, and
// nodes of all zones that know the same would choose the same one.
func (c *capacity) candidates() []*target {
	few := min(elsewhereCandidates, len(c.elsewhere))
	for i := range few {
		j := i + rand.IntN(len(c.elsewhere)-i)
		c.elsewhere[i], c.elsewhere[j] = c.elsewhere[j], c.elsewhere[i]
	}
	return slices.Concat(c.here, c.elsewhere[:few])
}

// elsewhereCandidates is how many targets of other zones are compared for one
// request: two choices at random spread load about as well as many.
const elsewhereCandidates = 3

// busy returns the share of the slots that are taken, squared, so that it
// matters only when few are left.
func (c *capacity) busy() float64 {
	if c.slots == 0 {
		return 0
	}
	share := float64(c.taken) / float64(c.slots)
	return share * share
}

// eligible reports whether a target with a free slot may take a request now: the
// slot has been free for the reserved time, and it was not tried for the request.
func eligible(t *target, w *Work, now time.Time, reserved time.Duration) bool {
	return now.Sub(t.freed) >= reserved && !slices.Contains(w.Tried, t.ID)
}

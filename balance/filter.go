package balance

import (
	"slices"
	"time"
)

// capacity is what the targets of a pool can take at an instant.
type capacity struct {
	// free are the targets with a free slot.
	free []*target
	// slots and taken are those of all targets that may be used.
	slots, taken int
}

// capacity finds the targets that are there to stay, answer, and have a free
// slot.
func (p *pool) capacity(now time.Time) capacity {
	var c capacity
	for _, t := range p.targets {
		if t.Draining || t.health.paused(now) {
			continue
		}
		requests := t.load().Requests
		c.slots += t.Slots
		c.taken += min(requests, t.Slots)
		if requests < t.Slots {
			c.free = append(c.free, t)
		}
	}
	return c
}

// take counts one more request at a target, which has got it already.
func (c *capacity) take(t *target) {
	c.taken++
	if t.load().Requests >= t.Slots {
		c.free = slices.DeleteFunc(c.free, func(f *target) bool { return f == t })
	}
}

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

package balance

import (
	"slices"
	"time"
)

// choice is a target for a request, with the inputs that decided.
type choice struct {
	target *target
	// expected is the predicted time to the first event or to the answer.
	expected time.Duration
	cost     time.Duration
}

// remoteCost is added for a target in another zone or region: it is what the
// way there and back takes, and what the bytes are worth.
const (
	otherZoneCost   = 3 * time.Millisecond
	otherRegionCost = 60 * time.Millisecond
)

// place is where this node stands.
type place struct {
	zone    string
	regions map[string]string
}

func (p place) cost(zone string) time.Duration {
	switch {
	case zone == p.zone:
		return 0
	case p.regions[zone] == p.regions[p.zone]:
		return otherZoneCost
	default:
		return otherRegionCost
	}
}

// eligible reports whether a target may take a request now.
func eligible(t *target, w *Work, now time.Time) bool {
	return !t.Draining && !t.health.paused(now) && t.load().Requests < t.Slots && !slices.Contains(w.Tried, t.ID)
}

// choose returns the target with the lowest cost, or false if none is free.
func (p *pool) choose(w *Work, now time.Time, at place) (choice, bool) {
	var best choice
	for _, t := range p.targets {
		if !eligible(t, w, now) {
			continue
		}
		c := p.rate(t, w, now, at)
		if best.target == nil || c.cost < best.cost {
			best = c
		}
	}
	return best, best.target != nil
}

func (p *pool) rate(t *target, w *Work, now time.Time, at place) choice {
	c := choice{target: t}
	if p.engine == nil {
		share := float64(t.load().Requests) / float64(t.Slots)
		c.expected = time.Duration(share * float64(plainCost))
	} else {
		t.advance(now, p.engine)
		c.expected = p.engine.firstEvent(t, w.PromptTokens)
	}
	c.cost = c.expected + at.cost(t.Zone)
	return c
}

// plainCost weighs the load of a plain target against the way to it: a target
// whose slots are all taken is as far as this.
const plainCost = 200 * time.Millisecond

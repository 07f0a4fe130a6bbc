package balance

import "time"

// better reports whether c is the better of two choices: one that is on time, then one whose
// answer will be whole, then the cheaper.
func (c choice) better(other choice) bool {
	switch {
	case other.target == nil:
		return true
	case c.onTime != other.onTime:
		return c.onTime
	case c.whole != other.whole:
		return c.whole
	default:
		return c.cost < other.cost
	}
}

// pick returns the best target of those with a free slot, or false if none may
// take the request.
func (p *pool) pick(w *Work, now time.Time, at place, c *capacity, reserved time.Duration) (choice, bool) {
	var best choice
	busy := c.busy()
	for _, t := range c.candidates() {
		if !eligible(t, w, now, p.reserved(t, at, reserved)) {
			continue
		}
		if c := p.score(t, w, now, at, busy); c.better(best) {
			best = c
		}
	}
	return best, best.target != nil
}

// reserved returns how long a slot of a target is left to others once it is free:
// what is left to more important requests, and at a target in another zone what
// its owner takes to use the slot itself and to tell of it.
func (p *pool) reserved(t *target, at place, others time.Duration) time.Duration {
	if p.engine == nil || t.Zone == at.zone {
		return others
	}
	return max(others, elsewhereTime)
}

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

// pick returns the best eligible target, or false if none is free.
func (p *pool) pick(w *Work, now time.Time, at place, busy float64, reserved time.Duration) (choice, bool) {
	var best choice
	for _, t := range p.targets {
		if !eligible(t, w, now, reserved) {
			continue
		}
		if c := p.score(t, w, now, at, busy); c.better(best) {
			best = c
		}
	}
	return best, best.target != nil
}

package balance

import "time"

// better reports whether c is better than other: a choice that is on time is
// preferred, then one whose response completes, then the cheaper one.
func (c choice) better(other choice) bool {
	switch {
	case other.target == nil:
		return true
	case c.onTime != other.onTime:
		return c.onTime
	case c.completes != other.completes:
		return c.completes
	default:
		return c.cost < other.cost
	}
}

// pick returns the best target of those with a free slot, suspect and leaving ones last,
// or false if none may take the request.
func (p *pool) pick(w *Work, now time.Time, here location, c *capacity, reserve time.Duration) (choice, bool) {
	if best, ok := p.best(c.candidates(), w, now, here, c, reserve); ok {
		return best, true
	}
	if w.Version != "" || len(w.Barred) > 0 {
		// Those that were picked at random may all have other versions.
		if best, ok := p.best(c.otherZones, w, now, here, c, reserve); ok {
			return best, true
		}
	}
	if best, ok := p.best(c.suspects, w, now, here, c, reserve); ok {
		return best, true
	}
	if !waitsForReports(w, now) {
		if best, ok := p.best(c.reportedFull, w, now, here, c, reserve); ok {
			return best, true
		}
	}
	return p.best(c.leaving, w, now, here, c, reserve)
}

// best returns the best of some targets, or false if none may take the request.
func (p *pool) best(candidates []*target, w *Work, now time.Time, here location, c *capacity, reserve time.Duration) (choice, bool) {
	var best choice
	squaredUtilization := c.squaredUtilization()
	for _, t := range candidates {
		if !eligible(t, w, now, p.slotReserveTime(t, here, reserve)) {
			continue
		}
		if t.reserved(now) && !p.occupiesLong(w) {
			continue
		}
		if !p.hasMemory(t, w, now) {
			continue
		}
		if c := p.score(t, w, now, here, squaredUtilization); c.better(best) {
			best = c
		}
	}
	return best, best.target != nil
}

// slotReserveTime returns how long a free slot of a target is reserved for
// other requests: for the more important ones of this zone, and at a target in
// another zone for as long as its owner needs to use the slot itself and to
// report that.
func (p *pool) slotReserveTime(t *target, here location, zoneReserve time.Duration) time.Duration {
	if p.engine == nil || t.Zone == here.zone {
		return zoneReserve
	}
	return max(zoneReserve, otherZoneReserveTime)
}

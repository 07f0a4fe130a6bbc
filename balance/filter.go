package balance

import (
	"math/rand/v2"
	"slices"
	"time"
)

// capacity is a snapshot of the free slots of a pool.
type capacity struct {
	now time.Time
	// sameZone and otherZones are the targets with a free slot in this node's
	// zone and in other zones. All targets of a plain service count as sameZone.
	sameZone, otherZones []*target
	// suspects are those that are used only if no others have a free slot.
	suspects []*target
	// leaving are those that have said that they leave, if all targets leave or cannot be
	// reached.
	leaving []*target
	// reportedFull are those that have a free slot as far as the nodes know, but not as they
	// report.
	reportedFull []*target
	// slots and taken count all slots of the available targets and those in use.
	slots, taken int
	// exhausted reports whether a target takes no request now: its limit allows none, or it
	// is brittle and could turn one of this zone away.
	exhausted func(t *target) bool
}

// capacity returns the free slots of the available targets, which are those
// that neither leave nor are in backoff. While there are none, those that only said so
// themselves are used for requests that arrived soon enough (load: all targets of a
// service are replaced at once). A target whose limit is exhausted has
// none, nor has a brittle one of which this zone uses its part. A target with an overdue
// request may stand still. While more than half of the targets are in such a state, the cause
// is likely elsewhere, and all of them are used.
func (p *pool) capacity(now time.Time, here location, limitShare float64) capacity {
	c := capacity{now: now, exhausted: func(t *target) bool { return t.exhausted(now, limitShare) }}
	if p.isBrittle(now) {
		slots := p.divideSlots(here)
		c.exhausted = func(t *target) bool { return t.exhausted(now, limitShare) || !t.brittleRoom(now, here, slots) }
	}
	ignoreOverdue := p.mostlyOverdue(now)
	available := false
	for _, t := range p.targets {
		if t.Draining || t.health.inBackoff(now) {
			continue
		}
		if t.leaving {
			if t.occupied(now) < t.usableSlots() && !c.exhausted(t) {
				c.leaving = append(c.leaving, t)
			}
			continue
		}
		available = true
		requests := t.occupied(now)
		slots := t.usableSlots()
		if c.exhausted(t) {
			slots = min(slots, requests)
		}
		c.slots += slots
		c.taken += min(requests, slots)
		switch {
		case requests >= slots && t.load().Requests < slots && !t.health.suspect(now) && !c.exhausted(t) && (ignoreOverdue || !t.overdue(now)):
			c.reportedFull = append(c.reportedFull, t)
		case requests >= slots || !ignoreOverdue && t.overdue(now):
		case t.health.suspect(now):
			c.suspects = append(c.suspects, t)
		case t.Zone == here.zone || p.engine == nil:
			c.sameZone = append(c.sameZone, t)
		default:
			c.otherZones = append(c.otherZones, t)
		}
	}
	if available {
		c.leaving = nil
	}
	return c
}

// addRequest counts one more request at a target, whose load already includes
// it.
func (c *capacity) addRequest(t *target) {
	c.taken++
	if t.load().Requests >= t.usableSlots() || c.exhausted(t) {
		c.reportedFull = slices.DeleteFunc(c.reportedFull, func(other *target) bool { return other == t })
	}
	if t.occupied(c.now) < t.usableSlots() && !c.exhausted(t) {
		return
	}
	isTarget := func(other *target) bool { return other == t }
	c.suspects = slices.DeleteFunc(c.suspects, isTarget)
	c.leaving = slices.DeleteFunc(c.leaving, isTarget)
	c.sameZone = slices.DeleteFunc(c.sameZone, isTarget)
	c.otherZones = slices.DeleteFunc(c.otherZones, isTarget)
}

// usableSlots returns how many requests the target may have: one if it failed and
// has not answered since.
func (t *target) usableSlots() int {
	if t.health.onTrial() {
		return min(1, t.Slots)
	}
	return t.Slots
}

// candidates returns the targets to compare for a request: all of this zone,
// and a few random ones of other zones. Load reports from other zones are
// delayed, and nodes of all zones that compare the same targets on the same
// reports would choose the same one.
func (c *capacity) candidates() []*target {
	count := min(otherZoneCandidates, len(c.otherZones))
	for i := range count {
		j := i + rand.IntN(len(c.otherZones)-i)
		c.otherZones[i], c.otherZones[j] = c.otherZones[j], c.otherZones[i]
	}
	return slices.Concat(c.sameZone, c.otherZones[:count])
}

// otherZoneCandidates is how many targets of other zones are compared for one
// request: two random choices spread load about as well as many.
const otherZoneCandidates = 3

// squaredUtilization returns the square of the share of slots in use, so that
// it matters only when few slots are left.
func (c *capacity) squaredUtilization() float64 {
	if c.slots == 0 {
		return 0
	}
	share := float64(c.taken) / float64(c.slots)
	return share * share
}

// eligible reports whether a target with a free slot may take a request now:
// the slot has been free for the reserve time, the target has the version that the
// request needs and was not sent it before, and it has not asked the request's node to
// send none.
func eligible(t *target, w *Work, now time.Time, reserve time.Duration) bool {
	return now.Sub(t.freedAt) >= reserve && w.Allows(t.Target) && t.wants(w.Node, now) &&
		(!t.leaving || w.Arrived.Before(t.lastArrival))
}

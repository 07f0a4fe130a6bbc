package balance

import (
	"cmp"
	"time"
)

// zoneState counts what a balancer knows of the targets of one or several zones.
type zoneState struct {
	// targets counts those that stay, and the other fields those of them that get no
	// request and why, in the order in which that is decided.
	targets, inBackoff, overdue, exhausted, full, reserved, memory int
	// slots counts the slots of all, and used the requests there.
	slots, used int
}

// add counts a target. reserve is how long a free slot of it is reserved.
func (s *zoneState) add(t *target, now time.Time, reserve time.Duration, exhausted, hasMemory bool) {
	s.targets++
	s.slots += t.Slots
	s.used += t.load().Requests
	switch {
	case t.health.inBackoff(now):
		s.inBackoff++
	case t.overdue(now):
		s.overdue++
	case exhausted:
		s.exhausted++
	case t.occupied(now) >= t.usableSlots():
		s.full++
	case now.Sub(t.freedAt) < reserve:
		s.reserved++
	case !hasMemory:
		s.memory++
	}
}

// zoneStates returns what is known of the targets of this zone and of all others, and which
// have no memory for a request.
func (p *pool) zoneStates(w *Work, now time.Time, here location, limitShare float64) (own, others zoneState) {
	c := p.capacity(now, here, limitShare)
	for _, t := range p.targets {
		switch {
		case t.leaves():
		case t.Zone == here.zone:
			own.add(t, now, 0, c.exhausted(t), p.hasMemory(t, w, now))
		default:
			others.add(t, now, p.slotReserveTime(t, here, 0), c.exhausted(t), p.hasMemory(t, w, now))
		}
	}
	return own, others
}

// logRefused logs a refusal with what it was based on.
func (m *Manager) logRefused(p *pool, w *waiter, r *Refusal, now time.Time) {
	own, others := p.zoneStates(w.work, now, m.location, m.heardShare)
	event := "request_refused"
	if w.work.NoWait {
		event = "copy_refused"
	}
	entry := m.options.Logger.Info().Str("event", event).Str("request", w.work.ID).Str("reason", r.Reason).
		Str("service", p.name).Str("node", cmp.Or(w.work.Node, m.options.Node)).Int("tier", w.work.Tier).Bool("late", w.late).
		Dur("waited", now.Sub(w.work.Arrived)).Dur("goal_in", w.work.Goal.Sub(now)).Int("waiting", len(p.waiting)).Bool("over_share", w.overShare)
	for _, z := range []struct {
		prefix string
		zoneState
	}{{"own_", own}, {"other_", others}} {
		entry.Int(z.prefix+"targets", z.targets).Int(z.prefix+"slots", z.slots).Int(z.prefix+"used", z.used).
			Int(z.prefix+"backoff", z.inBackoff).Int(z.prefix+"overdue", z.overdue).Int(z.prefix+"exhausted", z.exhausted).
			Int(z.prefix+"full", z.full).Int(z.prefix+"reserved", z.reserved).Int(z.prefix+"memory", z.memory)
	}
	entry.Msg("")
}

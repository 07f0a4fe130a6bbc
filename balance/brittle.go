package balance

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// brittleLifetime is how long a target counts as brittle if it does not answer again.
	brittleLifetime = 15 * time.Second
	// otherZonesShare is the share of a brittle target's slots that the nodes of other
	// zones may use together.
	otherZonesShare = 0.4
	// rejectionPause is how long a zone sends no request to a brittle target that has
	// turned one away, so that in a second each zone has few turned away. Up to
	// rejectionJitter is added, lest all zones come back at the same moment.
	rejectionPause  = time.Second
	rejectionJitter = 500 * time.Millisecond
)

// brittleness is whether a target falls over when it has to turn a few requests away.
type brittleness struct {
	// statedAt is when the target last said so to this node, zero if it says so no more.
	statedAt time.Time
	// rejectedUntil is the end of the pause after a request that it turned away.
	rejectedUntil time.Time
}

// own reports whether the target has said to this node that it is brittle.
func (b *brittleness) own(now time.Time) bool {
	return !b.statedAt.IsZero() && now.Sub(b.statedAt) <= brittleLifetime
}

func (b *brittleness) recordRejection(now time.Time) {
	b.rejectedUntil = now.Add(rejectionPause + rand.N(rejectionJitter))
}

// isBrittle reports whether a target of the service has said to any node that it is
// brittle. Then all of them may be.
func (p *pool) isBrittle(now time.Time) bool {
	for _, t := range p.targets {
		if t.brittle.own(now) {
			return true
		}
		for _, l := range t.remote {
			if l.brittle {
				return true
			}
		}
	}
	return false
}

// brittleRoom reports whether a brittle target takes one more request of this zone for
// certain. It answers the load of several zones that see the same slot free, as each learns
// late what the others have sent: the slots are divided among the zones.
func (t *target) brittleRoom(now time.Time, here location, slots zoneSlots) bool {
	return !now.Before(t.brittle.rejectedUntil) && t.zoneRequests(here) < slots.of(here.zone, t.Zone, t.Slots)
}

// zoneRequests counts the requests of this zone at the target.
func (t *target) zoneRequests(here location) int {
	count := t.own.Requests
	for source, l := range t.remote {
		if _, isZone := here.regions[source]; !isZone {
			count += l.Requests
		}
	}
	return count
}

// zoneSlots divides the slots of brittle targets among the zones, so that together they
// use no more than there are. All nodes that know the same targets divide them alike.
type zoneSlots struct {
	// zones is the number of zones.
	zones int
	// home is the zone whose targets a zone uses first: itself, if it has any. guests
	// counts the other zones whose home a zone is.
	home   map[string]string
	guests map[string]int
}

// divideSlots divides the slots of a service's targets.
func (p *pool) divideSlots(here location) zoneSlots {
	s := zoneSlots{home: make(map[string]string), guests: make(map[string]int)}
	var with, without []string
	for _, t := range p.targets {
		s.home[t.Zone] = t.Zone
	}
	for zone := range here.regions {
		if s.home[zone] == "" {
			without = append(without, zone)
		}
	}
	for zone := range s.home {
		with = append(with, zone)
	}
	slices.Sort(with)
	slices.Sort(without)
	s.zones = len(with) + len(without)
	for i, zone := range without {
		if len(with) > 0 {
			home := with[i%len(with)]
			s.home[zone] = home
			s.guests[home]++
		}
	}
	return s
}

// of returns how many slots of a target in targetZone a zone may use.
func (s zoneSlots) of(zone, targetZone string, slots int) int {
	guests := s.guests[targetZone]
	others := s.zones - 1 - guests
	other := 0
	if others > 0 {
		other = int(otherZonesShare * float64(slots) / float64(others))
	}
	guest := (slots - others*other) / (1 + guests)
	switch {
	case zone == targetZone:
		return slots - others*other - guests*guest
	case s.home[zone] == targetZone:
		return guest
	default:
		return other
	}
}

// RecordBrittle records whether an answer of a target said that it is brittle.
func (m *Manager) RecordBrittle(id string, brittle bool) {
	if brittle || m.brittle.contains(id) {
		m.submit(brittleStated{id, brittle})
	}
}

// brittleStated says whether an answer of a target said that it is brittle.
type brittleStated struct {
	id      string
	brittle bool
}

func (e brittleStated) apply(m *Manager, now time.Time) {
	t, p := m.target(e.id)
	if t == nil {
		return
	}
	before := t.brittle.own(now)
	t.brittle.statedAt = time.Time{}
	if e.brittle {
		t.brittle.statedAt = now
	}
	if before != e.brittle {
		m.brittleChanged(t, p, e.brittle)
	}
}

// brittleChanged logs and publishes that a target has become brittle, or no longer is.
func (m *Manager) brittleChanged(t *target, p *pool, brittle bool) {
	m.brittle.set(t.ID, brittle)
	m.options.Logger.Info().Str("event", "target_brittle").Str("target", t.ID).Str("service", p.name).
		Bool("brittle", brittle).Int("running", t.load().Requests).Msg("")
	m.publish(t)
	m.markChanged(p)
}

// expireBrittle publishes that targets which have not answered for long are no longer
// brittle, and those that are gone.
func (m *Manager) expireBrittle(now time.Time) {
	for _, id := range m.brittle.list() {
		t, p := m.target(id)
		switch {
		case t == nil:
			m.brittle.set(id, false)
			m.options.Publish(id, Use{})
		case !t.brittle.own(now):
			m.brittleChanged(t, p, false)
		}
	}
}

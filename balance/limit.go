package balance

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

const (
	// minStatedLimit is the lowest limit that is applied, in requests a second, so that
	// a target which takes nothing is asked again.
	minStatedLimit = 0.05
	// limitLifetime is how long a stated limit holds if the target does not answer again,
	// and limitLifetimeRequests the number of requests at that limit that it holds at least.
	limitLifetime         = 15 * time.Second
	limitLifetimeRequests = 2
	// limitBurst is the time whose requests, beyond the reserved one, may be sent at once
	// to a limited target.
	limitBurst = 250 * time.Millisecond
	// reservedRequests is how many requests of a limited target are kept for those that
	// occupy a slot for long: they gain most from its slots, which are left free.
	reservedRequests = 1
	// earlyTime is the time before a limit is known whose requests count against it: a
	// target states it in its answers, which take a while.
	earlyTime = time.Second
	// freeEarlyRequests, and what the limit allows in freeEarlyTime, are not counted of
	// them: a target bears a short excess.
	freeEarlyRequests = 2
	freeEarlyTime     = time.Second
	// maxLimitDebt bounds what all nodes together have sent too early, as the time that
	// it takes to make up for it.
	maxLimitDebt = 4 * time.Second
	// limitCheckInterval is the time between two checks for limits that have expired.
	limitCheckInterval = time.Second
)

// rateLimit limits the requests that all nodes together send to a target, as the
// target has stated. The nodes count each other's requests; as long as they know of
// all, the mean rate stays within the limit.
type rateLimit struct {
	// stated is the limit that the target stated to this node, 0 for none, at statedAt.
	stated   float64
	statedAt time.Time
	// available is how many requests may be sent, as of updatedAt; negative if too many
	// were sent.
	available float64
	updatedAt time.Time
	// early holds the requests that were sent while no limit was known, those of this node
	// and of others that knew it sooner.
	early []earlyRequest
	// wait is what must be available beyond a request before this node sends one, from 0
	// to 1. It is drawn anew after each request of any node, so that nodes that wait for
	// the same target do not send at the same moment.
	wait float64
}

// earlyRequest is a request that was sent before a limit was known.
type earlyRequest struct {
	at  time.Time
	own bool
}

// own returns the limit that was stated to this node and still holds, or 0.
func (l *rateLimit) own(now time.Time) float64 {
	if l.stated == 0 || now.Sub(l.statedAt) > max(limitLifetime, seconds(limitLifetimeRequests/l.stated)) {
		return 0
	}
	return l.stated
}

// limit returns the lowest limit that the target has stated to any node, or 0.
func (t *target) limit(now time.Time) float64 {
	lowest := t.rate.own(now)
	for _, l := range t.remote {
		if l.limit > 0 && (lowest == 0 || l.limit < lowest) {
			lowest = l.limit
		}
	}
	return lowest
}

// exhausted reports whether a target gets no request now because of its limit. share is
// the part of the limit that this node may use with the nodes that it hears.
func (t *target) exhausted(now time.Time, share float64) bool {
	limit := t.limit(now) * share
	if limit == 0 {
		t.rate.updatedAt = time.Time{}
		return false
	}
	t.rate.refill(now, limit)
	return t.rate.available < 1+t.rate.wait
}

// reserved reports whether a target with a limit is kept for requests that occupy a
// slot for long.
func (t *target) reserved(now time.Time) bool {
	return t.limit(now) > 0 && t.rate.available < 1+t.rate.wait+reservedRequests
}

func (l *rateLimit) refill(now time.Time, limit float64) {
	burst := 1 + reservedRequests + max(1, limit*limitBurst.Seconds())
	if l.updatedAt.IsZero() {
		l.dropEarly(now)
		l.available = burst - max(0, float64(len(l.early))-freeEarlyRequests-limit*freeEarlyTime.Seconds())
		l.early = nil
	} else {
		l.available += limit * now.Sub(l.updatedAt).Seconds()
	}
	l.available = min(max(l.available, -limit*maxLimitDebt.Seconds()), burst)
	l.updatedAt = now
}

// spend counts a request that was sent to the target, by this node or another one.
func (l *rateLimit) spend(now time.Time, own bool) {
	if l.updatedAt.IsZero() {
		l.dropEarly(now)
		l.early = append(l.early, earlyRequest{now, own})
		return
	}
	l.available--
	l.wait = rand.Float64()
}

// dropEarly drops the early requests that no longer count.
func (l *rateLimit) dropEarly(now time.Time) {
	l.early = slices.DeleteFunc(l.early, func(r earlyRequest) bool { return now.Sub(r.at) > earlyTime })
}

// bookEarly tells the other nodes of this node's requests that were sent before it knew of
// the limit of a target.
func (m *Manager) bookEarly(t *target, now time.Time) {
	if t.limit(now) == 0 || !t.rate.updatedAt.IsZero() {
		return
	}
	t.rate.dropEarly(now)
	for _, r := range t.rate.early {
		if r.own {
			m.options.PublishSend(t.ID)
		}
	}
	t.rate.refill(now, t.limit(now)*m.heardShare)
}

// targetSet is a set of ids of targets. It is safe for concurrent use, so that an
// answer of a target without a limit costs no event.
type targetSet struct {
	mu  sync.Mutex
	ids map[string]bool
}

func (s *targetSet) set(id string, member bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !member {
		delete(s.ids, id)
		return
	}
	if s.ids == nil {
		s.ids = make(map[string]bool)
	}
	s.ids[id] = true
}

func (s *targetSet) contains(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ids[id]
}

func (s *targetSet) any() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.ids) > 0
}

func (s *targetSet) list() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]string, 0, len(s.ids))
	for id := range s.ids {
		list = append(list, id)
	}
	return list
}

// RecordLimit records the limit of a target that an answer stated, or that it stated
// none.
func (m *Manager) RecordLimit(id string, perSecond float64, stated bool) {
	if !stated && !m.limited.contains(id) {
		return
	}
	if stated {
		perSecond = max(perSecond, minStatedLimit)
	} else {
		perSecond = 0
	}
	m.submit(limitStated{id, perSecond})
}

// limitStated is the limit that an answer of a target stated, or 0.
type limitStated struct {
	id        string
	perSecond float64
}

func (e limitStated) apply(m *Manager, now time.Time) {
	t, p := m.target(e.id)
	if t == nil {
		return
	}
	before := t.rate.own(now)
	t.rate.stated, t.rate.statedAt = e.perSecond, now
	m.bookEarly(t, now)
	if before != e.perSecond {
		m.limitChanged(t, p, e.perSecond)
	}
}

// limitChanged logs and publishes a new limit that was stated to this node.
func (m *Manager) limitChanged(t *target, p *pool, perSecond float64) {
	m.limited.set(t.ID, perSecond > 0)
	m.options.Logger.Info().Str("event", "target_limited").Str("target", t.ID).Str("service", p.name).
		Float64("per_second", perSecond).Int("running", t.load().Requests).Msg("")
	m.publish(t)
	m.markChanged(p)
}

// target returns a target and its pool, or nil.
func (m *Manager) target(id string) (*target, *pool) {
	for _, p := range m.pools {
		if t := p.targets[id]; t != nil {
			return t, p
		}
	}
	return nil, nil
}

// expireLimits publishes the end of limits that no answer has stated for long, and of
// targets that are gone.
func (m *Manager) expireLimits(now time.Time) {
	for _, id := range m.limited.list() {
		t, p := m.target(id)
		switch {
		case t == nil:
			m.limited.set(id, false)
			m.options.Publish(id, Use{})
		case t.rate.own(now) == 0:
			m.limitChanged(t, p, 0)
		}
	}
}

// RecordRemoteSends counts requests that other nodes sent to a target with a limit.
func (m *Manager) RecordRemoteSends(id string, requests float64) {
	m.submit(remoteSends{id, requests})
}

type remoteSends struct {
	id       string
	requests float64
}

func (e remoteSends) apply(m *Manager, now time.Time) {
	if t, _ := m.target(e.id); t != nil {
		for range int(e.requests) {
			t.rate.spend(now, false)
		}
	}
}

// SetSilentShare sets the share of the nodes that are not heard, for whose requests a
// share of each target's limit is left.
func (m *Manager) SetSilentShare(share float64) { m.submit(silentShareChanged{share}) }

type silentShareChanged struct{ share float64 }

func (e silentShareChanged) apply(m *Manager, _ time.Time) { m.heardShare = 1 - e.share }

package rollout

import (
	"maps"
	"slices"
	"time"

	"github.com/primrosemoor/primrosemoor/balance"
	"github.com/primrosemoor/primrosemoor/clock"
)

// access says which versions a request may go to.
type access struct {
	// barred lists the versions that it must not go to.
	barred []string
	// try is the version under trial that the request is to go to, empty for none. It counts
	// as sent there until the try is given back.
	try string
	// refused is set if the request needs a version that gets nothing any more.
	refused bool
	// tracked is set if the service has an order or several versions. changed is closed when
	// the phase of a rollout changes, nil if the service has none that is in progress and no
	// version that is held back.
	tracked bool
	changed <-chan struct{}
	// recheck is the time after which a version may no longer be held back; 0 if that
	// shows as a change.
	recheck time.Duration
}

// oldRetention is how long the versions that a rollout has replaced get nothing after its end.
// Their targets stop at once, but may be listed for a while.
const oldRetention = time.Minute

// access decides which versions a request may go to. mayTry is set if it may go to a version
// under trial, and anyVersion if no target of a completed one was left for it.
func (m *Manager) access(w *balance.Work, mayTry, anyVersion bool) access {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.accessNow(w, mayTry, anyVersion)
}

// accessNow is access with the lock held. Without mayTry it changes nothing.
func (m *Manager) accessNow(w *balance.Work, mayTry, anyVersion bool) access {
	s := m.services[w.Service]
	if s == nil || s.rollout == nil && len(s.versions) < 2 {
		return access{}
	}
	now, r := m.options.Now(), s.rollout
	a := access{tracked: true}
	if r != nil && !r.phase.Ended() {
		a.changed = m.changed
	}
	var held []string
	switch {
	case w.Version != "" || w.Only != "":
		// A stream goes on at its version, as long as that is sent anything.
		a.refused = r != nil && w.Version == r.Target && (r.stopped() || m.isCutOff(s, now))
	case r == nil && anyVersion && len(w.Tried) == 0:
		// All targets that served before leave.
	case r == nil:
		held = s.unsettled(m.known, m.knownAt)
	case r.stopped():
		a.barred = []string{r.Target}
	case r.phase == Completed && now.Sub(r.phaseSince) > oldRetention:
	case r.phase == Shifting || r.phase == Completed:
		if s.versions[r.Target] != nil && !anyVersion {
			a.barred = slices.Collect(maps.Keys(r.old))
		}
	case len(s.versions) == 1:
		// The version that is ordered serves alone already.
	case mayTry && len(w.Tried) == 0 && s.versions[r.Target] != nil && m.triesNow(r, now) && m.takeTry(r, w.Route):
		a.try = r.Target
	default:
		a.barred = []string{r.Target}
	}
	if s.reverted != "" && a.try == "" && (r == nil || r.Target != s.reverted) {
		a.barred = append(a.barred, s.reverted)
	}
	if r != nil && w.Version == "" && w.Only == "" {
		held = s.heldBack(a.barred, m.knownAt)
	}
	if len(held) > 0 {
		a.barred = append(a.barred, held...)
		a.changed = m.changed
		if m.known {
			a.recheck = s.untilRelease(held, now)
		}
	}
	return a
}

// minRecheck bounds how often a request that waits asks again while a node is cut off and
// therefore holds versions back.
const minRecheck = 250 * time.Millisecond

// untilRelease returns the time after which the first of the versions may be released.
func (s *service) untilRelease(held []string, now clock.Instant) time.Duration {
	until := newVersionDelay
	for _, name := range held {
		until = min(until, s.versions[name].firstSeen.Add(newVersionDelay).Sub(now))
	}
	return max(until, minRecheck)
}

// heldBack returns the versions, beside those that are barred already, that were listed after
// the phase of the known order began and get nothing yet: another order for them may follow.
// It is empty if no other version would be left.
func (s *service) heldBack(barred []string, knownAt clock.Instant) (held []string) {
	allowed := 0
	for name, v := range s.versions {
		if slices.Contains(barred, name) {
			continue
		}
		allowed++
		if name != s.rollout.Target && v.firstSeen > s.rollout.phaseSince && knownAt.Sub(v.firstSeen) < newVersionDelay {
			held = append(held, name)
		}
	}
	if len(held) == allowed {
		return nil
	}
	return held
}

// Barred returns the versions that a request which is not part of a trial must not be sent to
// now. It changes nothing.
func (m *Manager) Barred(w *balance.Work) []string {
	a := m.access(w, false, false)
	if a.refused {
		return []string{w.Version}
	}
	return a.barred
}

// stopped reports whether nothing is sent to the new version.
func (r *rollout) stopped() bool { return r.phase == Reverted || r.bad && r.phase != Completed }

// triesNow reports whether requests are sent to a version under trial now.
func (m *Manager) triesNow(r *rollout, now clock.Instant) bool {
	return r.phase == Trial && now >= r.tryFrom && m.inContact(r, now)
}

// inContact reports whether this node's knowledge of an order is recent.
func (m *Manager) inContact(r *rollout, now clock.Instant) bool {
	return m.known && now.Sub(r.heardAt) <= contactLimit
}

// isCutOff reports whether the version under trial gets nothing, not even the rest of a stream,
// because this node may not know that it is bad.
func (m *Manager) isCutOff(s *service, now clock.Instant) bool {
	return s.rollout.phase == Trial && len(s.versions) > 1 && !m.inContact(s.rollout, now)
}

// takeTry counts a request of a route as sent to the version under trial, unless this
// node's share is used up.
func (m *Manager) takeTry(r *rollout, route string) bool {
	c := r.route(route)
	if !mayTry(c.sends, c.tries, TrialShare(m.options.Bound), c.start) {
		return false
	}
	c.tries++
	return true
}

// tryPause is the time after a request got no target of the version under trial in which no
// other one waits for it. The targets may not have started yet, or all have failed.
const tryPause = time.Second

// giveBack takes back a try that was not sent.
func (m *Manager) giveBack(service, version, route string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if s := m.services[service]; s != nil && s.rollout != nil && s.rollout.Target == version {
		if c := s.rollout.route(route); c.tries > 0 {
			c.tries--
		}
		s.rollout.tryFrom = m.options.Now().Add(tryPause)
	}
}

// unsettled returns the versions that get nothing, though no order is known: those for which
// an order may exist that this node has not heard of, because it has just started, is cut off,
// or because their targets came before the order. The one that has served for longest is none
// of them.
func (s *service) unsettled(known bool, knownAt clock.Instant) (barred []string) {
	oldest := ""
	for name, v := range s.versions {
		o := s.versions[oldest]
		if o == nil || v.started < o.started || v.started == o.started && name < oldest {
			oldest = name
		}
	}
	for name, v := range s.versions {
		if name != oldest && (!known || knownAt.Sub(v.firstSeen) < newVersionDelay) {
			barred = append(barred, name)
		}
	}
	return barred
}

// begin records that a request is sent to a target of a version, and returns the rollout that
// its outcome counts for, nil if there is none. It reports whether the request may be sent
// there: the phase may have changed, or the version have been listed, while it waited.
func (m *Manager) begin(w *balance.Work, version string, tried, anyVersion bool) (r *rollout, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.services[w.Service]
	if a := m.accessNow(w, false, anyVersion); !tried && slices.Contains(a.barred, version) {
		return nil, false
	}
	if s == nil || s.rollout == nil {
		return nil, true
	}
	r = s.rollout
	isNew := version == r.Target
	switch {
	case isNew && (r.stopped() || m.isCutOff(s, m.options.Now())):
		return nil, false
	case isNew && !tried && w.Version == "" && w.Only == "" && r.phase < Shifting && len(s.versions) > 1:
		// The order came while the request waited.
		return nil, false
	case r.phase.Ended():
		return nil, true
	}
	c := r.route(w.Route)
	if len(w.Tried) == 0 {
		c.sends++
	}
	if isNew && !tried && r.phase == Trial {
		c.tries++
	}
	return r, true
}

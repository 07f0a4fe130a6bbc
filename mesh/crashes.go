package mesh

import (
	"time"

	"github.com/primrosemoor/primrosemoor/clock"
	"github.com/primrosemoor/primrosemoor/culprit"
	"github.com/primrosemoor/primrosemoor/schema"
)

// CrashRelay holds the evidence on which requests crash their targets. What one node
// learns reaches all others, as each passes on what is new to it.
type CrashRelay interface {
	// Since returns the evidence that was added after a version, and the version that
	// includes it.
	Since(version uint64) (crashes []culprit.Crash, survivals []culprit.Survival, current uint64)
	// Apply adds evidence from another node.
	Apply(crashes []culprit.Crash, survivals []culprit.Survival)
}

// CrashesChanged makes the links send new evidence.
func (m *Manager) CrashesChanged() { m.changed.broadcast() }

// addCrashes adds the new evidence to an update, and reports whether there is any.
func (l *link) addCrashes(u *schema.MeshUpdate) bool {
	relay := l.manager.options.CrashRelay
	if relay == nil {
		return false
	}
	crashes, survivals, version := relay.Since(l.sentCrashes)
	l.sentCrashes = version
	now := clock.Now()
	for _, c := range crashes {
		m := &schema.MeshCrash{Target: c.Target, AgeMicros: micros(now.Sub(c.At))}
		for _, f := range c.Features {
			m.Features = append(m.Features, uint64(f))
		}
		u.Crashes = append(u.Crashes, m)
	}
	for _, s := range survivals {
		u.Survivals = append(u.Survivals, &schema.MeshSurvival{Feature: uint64(s.Feature), AgeMicros: micros(now.Sub(s.At))})
	}
	return len(crashes)+len(survivals) > 0
}

// applyCrashes applies the evidence in an update.
func (m *Manager) applyCrashes(u *schema.MeshUpdate) {
	if m.options.CrashRelay == nil || len(u.GetCrashes())+len(u.GetSurvivals()) == 0 {
		return
	}
	now := clock.Now()
	var crashes []culprit.Crash
	for _, c := range u.GetCrashes() {
		crash := culprit.Crash{Target: c.GetTarget(), At: before(now, c.GetAgeMicros())}
		for _, f := range c.GetFeatures() {
			crash.Features = append(crash.Features, culprit.Feature(f))
		}
		crashes = append(crashes, crash)
	}
	var survivals []culprit.Survival
	for _, s := range u.GetSurvivals() {
		survivals = append(survivals, culprit.Survival{Feature: culprit.Feature(s.GetFeature()), At: before(now, s.GetAgeMicros())})
	}
	m.options.CrashRelay.Apply(crashes, survivals)
}

func micros(d time.Duration) uint64 { return uint64(max(d.Microseconds(), 0)) }

// maxAge bounds the ages that other nodes state.
const maxAge = 24 * time.Hour

// before returns the instant that lies an age before now.
func before(now clock.Instant, ageMicros uint64) clock.Instant {
	return now.Add(-time.Duration(min(ageMicros, micros(maxAge))) * time.Microsecond)
}

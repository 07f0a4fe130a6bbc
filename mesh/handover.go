package mesh

import (
	"time"

	"github.com/primrosemoor/primrosemoor/peer"
)

const (
	// handoverTime is how long a former owner goes on reporting for its zone, so that the
	// new owner's links are open before.
	handoverTime = 3 * silenceCheckInterval
	// informedLifetime is the time after which totals that another zone was told no longer
	// serve as the first report of a new stream.
	informedLifetime = 2 * time.Second
)

// A receiver takes the first report of a stream as the baseline of its counters. So that
// what was booked since another zone was last told is not lost, the first report to that
// zone states the counters as they were then, and the second one the present ones.

// recordInformed records that another zone has been told this zone's present sums. The
// lock must be held.
func (m *Manager) recordInformed(zone string) { m.informed[zone] = m.zoneSums.totals() }

// recordInformedByOwner records that the owner of this zone, a process that has just been
// heard, tells all other zones this zone's present sums. The lock must be held.
func (m *Manager) recordInformedByOwner(owner peer.Identity, now time.Time) {
	if owner != m.informant || now.Sub(m.informedByOwner.at) >= silenceCheckInterval {
		m.informant, m.informedByOwner = owner, m.zoneSums.totals()
	}
}

// informedTotals returns the totals that another zone was last told; ok is false if that
// was too long ago. The lock must be held.
func (m *Manager) informedTotals(zone string) (t totals, ok bool) {
	t = m.informed[zone]
	if m.succeeded.at.After(t.at) {
		t = m.succeeded
	}
	return t, t.version > 0 && t.isRecent()
}

// isRecent reports whether the totals can serve as the first report of a stream.
func (t totals) isRecent() bool {
	return !t.at.IsZero() && time.Since(t.at) <= informedLifetime
}

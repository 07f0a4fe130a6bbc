package membership

import (
	"slices"
	"time"
)

// burstShare of a set may be lost without being held back for long: one in
// burstShare, and at least one.
const burstShare = 8

// maxHolds bounds how long a burst is held back, in holding times.
const maxHolds = 5

// burst holds back the removal of suspects until the picture is stable, so
// that what they own moves once.
type burst struct {
	names   []string
	began   time.Time
	changed time.Time
}

// holds are the times for which suspects must stay the same: a few, or many at
// once.
type holds struct {
	few  time.Duration
	many time.Duration
}

// admit reports whether the suspects, in order, may be removed from a set of
// total now.
func (b *burst) admit(suspects []string, total int, holds holds, now time.Time) bool {
	if len(suspects) == 0 {
		*b = burst{}
		return false
	}
	if !slices.Equal(b.names, suspects) {
		if len(b.names) == 0 {
			b.began = now
		}
		b.names = slices.Clone(suspects)
		b.changed = now
	}
	hold := holds.few
	if len(suspects) > max(1, total/burstShare) {
		hold = holds.many
	}
	if now.Sub(b.changed) < hold && now.Sub(b.began) < maxHolds*holds.many {
		return false
	}
	*b = burst{}
	return true
}

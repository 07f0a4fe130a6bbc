package membership

import (
	"slices"
	"time"
)

// smallLossDivisor separates small from large losses: a loss is small if it is
// of one element, or of at most 1/smallLossDivisor of the set.
const smallLossDivisor = 8

// maxHoldFactor bounds how long a removal is delayed, as a multiple of the
// longer hold time.
const maxHoldFactor = 5

// removalDebouncer delays the removal of suspects until their list is stable,
// so that a loss of many causes one change of owners rather than several.
type removalDebouncer struct {
	suspects       []string
	firstSuspected time.Time
	lastChange     time.Time
}

// holdTimes holds how long the list of suspects must stay unchanged before they
// are removed: few applies to a small loss, many to a large one.
type holdTimes struct {
	few  time.Duration
	many time.Duration
}

// removalDue reports whether the suspects, a sorted list, may now be removed
// from a set of total elements.
func (d *removalDebouncer) removalDue(suspects []string, total int, holds holdTimes, now time.Time) bool {
	if len(suspects) == 0 {
		*d = removalDebouncer{}
		return false
	}
	if !slices.Equal(d.suspects, suspects) {
		if len(d.suspects) == 0 {
			d.firstSuspected = now
		}
		d.suspects = slices.Clone(suspects)
		d.lastChange = now
	}
	holdTime := holds.few
	if len(suspects) > max(1, total/smallLossDivisor) {
		holdTime = holds.many
	}
	if now.Sub(d.lastChange) < holdTime && now.Sub(d.firstSuspected) < maxHoldFactor*holds.many {
		return false
	}
	*d = removalDebouncer{}
	return true
}

package culprit

import (
	"slices"
	"time"

	"github.com/primrosemoor/primrosemoor/clock"
)

const (
	// confirmTime is the longest time between two breaks that one crash of a target brought
	// about: the time in which one node has shown it, and in which others are told.
	confirmTime = time.Second
	// maxDoubtful bounds the breaks, and the crashes, that are remembered for it.
	maxDoubtful = 256
)

// doubtful holds requests that a target broke off as in a crash, which their node could not
// confirm, and the latest crashes that were shown. It is ready for use when zero.
type doubtful struct {
	breaks, shown []Crash
}

// add adds a break, and reports whether the crash of its target was shown already.
func (d *doubtful) add(c Crash) bool {
	d.breaks = appendBounded(d.breaks, c)
	return slices.ContainsFunc(d.shown, func(other Crash) bool { return sameCrash(c, other) })
}

// confirm adds a crash that was shown, and returns the breaks that it brought about.
func (d *doubtful) confirm(c Crash) (confirmed []Crash) {
	d.shown = appendBounded(d.shown, c)
	d.breaks = slices.DeleteFunc(d.breaks, func(other Crash) bool {
		same := sameCrash(c, other)
		if same {
			confirmed = append(confirmed, other)
		}
		return same
	})
	return confirmed
}

func sameCrash(a, b Crash) bool {
	return a.Target == b.Target && abs(a.At.Sub(b.At)) <= confirmTime
}

func abs(d time.Duration) time.Duration { return max(d, -d) }

// appendBounded appends a crash and drops those that are too old for it, and the oldest if
// there are too many.
func appendBounded(list []Crash, c Crash) []Crash {
	list = slices.DeleteFunc(list, func(other Crash) bool { return isStale(other, c.At) })
	list = append(list, c)
	return list[max(0, len(list)-maxDoubtful):]
}

func isStale(c Crash, now clock.Instant) bool { return now.Sub(c.At) > 2*confirmTime }

package balance

import (
	"slices"
	"time"
)

// eligible reports whether a target may take a request now: it is there to
// stay, answers, has a slot that has been free for the reserved time, and was
// not tried for this request.
func eligible(t *target, w *Work, now time.Time, reserved time.Duration) bool {
	return !t.Draining && !t.health.paused(now) && t.load().Requests < t.Slots &&
		now.Sub(t.freed) >= reserved && !slices.Contains(w.Tried, t.ID)
}

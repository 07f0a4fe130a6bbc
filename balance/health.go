package balance

import "time"

const (
	// firstPause keeps requests from a target that could not be reached, and
	// doubles with each further failure up to maxPause.
	firstPause = 500 * time.Millisecond
	maxPause   = 4 * time.Second
)

// health is the record of a target's failures.
type health struct {
	failures int
	until    time.Time
}

// paused reports whether the target is to be left alone.
func (h *health) paused(now time.Time) bool {
	return now.Before(h.until)
}

func (h *health) failed(now time.Time) {
	pause := min(firstPause<<min(h.failures, 8), maxPause)
	h.failures++
	h.until = now.Add(pause)
}

func (h *health) answered() {
	h.failures = 0
	h.until = time.Time{}
}

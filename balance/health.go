package balance

import "time"

const (
	// initialBackoff is how long no requests are sent to a target that could not
	// be reached or sent a broken response. It doubles with each further failure
	// up to maxBackoff.
	initialBackoff = 500 * time.Millisecond
	maxBackoff     = 4 * time.Second
)

// health is the failure record of a target.
type health struct {
	failures     int
	backoffUntil time.Time
}

// inBackoff reports whether no requests are to be sent to the target for now.
func (h *health) inBackoff(now time.Time) bool {
	return now.Before(h.backoffUntil)
}

func (h *health) recordFailure(now time.Time) {
	backoff := min(initialBackoff<<min(h.failures, 8), maxBackoff)
	h.failures++
	h.backoffUntil = now.Add(backoff)
}

func (h *health) recordSuccess() {
	h.failures = 0
	h.backoffUntil = time.Time{}
}

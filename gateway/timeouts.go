package gateway

import (
	"sync"
	"time"
)

// A timeout below retriedTimeoutShare of the longest one stated on its route is
// assumed to come from a caller that was refused and retries with the time it has
// left. The timeouts that callers state on their first attempt vary by less.
const retriedTimeoutShare = 0.8

// callerTimeouts records the longest timeout that callers state on each route.
type callerTimeouts struct {
	mu      sync.Mutex
	longest map[string]time.Duration
}

// elapsed estimates how long ago a caller made its first attempt: the difference
// between the route's longest timeout and its own. It returns zero for a first
// attempt.
func (t *callerTimeouts) elapsed(route string, timeout time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.longest == nil {
		t.longest = make(map[string]time.Duration)
	}
	longest := max(t.longest[route], timeout)
	t.longest[route] = longest
	if float64(timeout) >= retriedTimeoutShare*float64(longest) {
		return 0
	}
	return longest - timeout
}

package gateway

import (
	"sync"
	"time"
)

// returnedShare of the longest limit that callers of a route state is what a
// caller has left at most that was refused and came back. Callers' own limits
// differ by less.
const returnedShare = 0.8

// limits knows the longest time limit that callers of each route state.
type limits struct {
	mu      sync.Mutex
	longest map[string]time.Duration
}

// passed returns how long ago a caller first asked, judged by what its limit
// lacks of the route's longest; zero if it asks for the first time.
func (l *limits) passed(route string, limit time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.longest == nil {
		l.longest = make(map[string]time.Duration)
	}
	longest := max(l.longest[route], limit)
	l.longest[route] = longest
	if float64(limit) >= returnedShare*float64(longest) {
		return 0
	}
	return longest - limit
}

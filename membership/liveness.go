package membership

import (
	"sync"
	"time"
)

// liveness notices that the process was paused. The monotonic clock goes on
// while a process is stopped, and the wall clock also while its VM is.
type liveness struct {
	mu        sync.Mutex
	last      time.Time
	resuming  bool
	resumedAt time.Time
}

// gap returns the longer of the monotonic and the wall-clock time from last to
// now.
func gap(last, now time.Time) time.Duration {
	return max(now.Sub(last), now.Round(0).Sub(last.Round(0)))
}

// tick records that the control loop runs.
func (l *liveness) tick(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.last = now
}

// paused returns the time since the last tick if it is longer than limit, and
// then begins the resumption.
func (l *liveness) paused(now time.Time, limit time.Duration) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	d := gap(l.last, now)
	if d <= limit {
		return 0, false
	}
	l.resuming = true
	l.resumedAt = now
	return d, true
}

// confirm ends the resumption if the call that confirmed the view began after
// the pause.
func (l *liveness) confirm(began time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !began.Before(l.resumedAt) {
		l.resuming = false
	}
}

// current reports whether the loop runs and a resumption, if any, has ended.
func (l *liveness) current(now time.Time, limit time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.last.IsZero() || gap(l.last, now) > limit {
		return false
	}
	return !l.resuming || now.Sub(l.resumedAt) > limit
}

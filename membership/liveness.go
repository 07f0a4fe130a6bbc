package membership

import (
	"sync"
	"time"
)

// pauseDetector detects that the process was paused. The monotonic clock
// advances while a process is stopped, and the wall clock also while its VM is
// stopped.
type pauseDetector struct {
	mu        sync.Mutex
	lastTick  time.Time
	resuming  bool
	resumedAt time.Time
}

// elapsed returns the longer of the monotonic and the wall-clock time from last
// to now.
func elapsed(last, now time.Time) time.Duration {
	return max(now.Sub(last), now.Round(0).Sub(last.Round(0)))
}

// tick records that the control loop runs.
func (p *pauseDetector) tick(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastTick = now
}

// paused reports whether the last tick is longer ago than limit, and how long.
// If so, the process is resuming until confirmView is called or limit has
// passed.
func (p *pauseDetector) paused(now time.Time, limit time.Duration) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	d := elapsed(p.lastTick, now)
	if d <= limit {
		return 0, false
	}
	p.resuming = true
	p.resumedAt = now
	return d, true
}

// confirmView ends the resumption if the call that confirmed the view started
// after the pause was detected.
func (p *pauseDetector) confirmView(startedAt time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !startedAt.Before(p.resumedAt) {
		p.resuming = false
	}
}

// current reports whether the control loop has run within limit and a
// resumption, if any, has ended.
func (p *pauseDetector) current(now time.Time, limit time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.lastTick.IsZero() || elapsed(p.lastTick, now) > limit {
		return false
	}
	return !p.resuming || now.Sub(p.resumedAt) > limit
}

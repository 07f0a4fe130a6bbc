package quota

import (
	"sync"
	"time"
)

// Retries bounds the requests sent to a further target.
type Retries struct {
	// Ratio of the first sends may be sent again, and Extra in each Window.
	Ratio  float64
	Extra  float64
	Window time.Duration

	mu     sync.Mutex
	levels map[string]*bucket
}

// bucket is what is left of the retries of one service.
type bucket struct {
	level float64
	at    time.Time
}

// Sent implements gateway.RetryBudget.
func (r *Retries) Sent(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.bucket(service)
	b.level = min(b.level+r.Ratio, 2*r.Extra)
}

// Again implements gateway.RetryBudget.
func (r *Retries) Again(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.bucket(service)
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}

func (r *Retries) bucket(service string) *bucket {
	now := time.Now()
	if r.levels == nil {
		r.levels = make(map[string]*bucket)
	}
	b := r.levels[service]
	if b == nil {
		b = &bucket{level: r.Extra / 2, at: now}
		r.levels[service] = b
	}
	b.level = min(b.level+now.Sub(b.at).Seconds()*r.Extra/2/r.Window.Seconds(), max(b.level, r.Extra/2))
	b.at = now
	return b
}

// Package quota keeps teams within their limits, and the node within its share
// of the retries.
package quota

import (
	"sync"
	"time"

	"github.com/primrosemoor/primrosemoor/catalog"
)

// Allowance is a token bucket for each team.
type Allowance struct {
	mu      sync.Mutex
	buckets map[string]*bucket
}

type bucket struct {
	level float64
	at    time.Time
}

// NewAllowance returns an Allowance with empty buckets.
func NewAllowance() *Allowance {
	return &Allowance{buckets: make(map[string]*bucket)}
}

// Take books an amount for a team. If the team has not enough left, it returns
// when it will have.
func (a *Allowance) Take(team *catalog.Team, amount float64) (time.Duration, bool) {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	b := a.buckets[team.Name]
	if b == nil {
		b = &bucket{at: now, level: team.Burst}
		a.buckets[team.Name] = b
	}
	b.level = min(team.Burst, b.level+now.Sub(b.at).Seconds()*team.Rate)
	b.at = now
	if b.level < amount {
		return time.Duration((amount - b.level) / team.Rate * float64(time.Second)), false
	}
	b.level -= amount
	return 0, true
}

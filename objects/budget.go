package objects

import (
	"context"
	"math"
	"time"

	"golang.org/x/time/rate"

	"github.com/primrosemoor/primrosemoor/delay"
)

// Priority ranks calls that compete for a node's budget.
type Priority int

// Priorities, most important first. Reports are few a second whatever the load,
// and the members' views depend on them; claims grow with the load.
const (
	PriorityReport Priority = iota
	PriorityClaim
	PriorityHousekeeping
)

// reservedShare is the part of the burst that a priority leaves to the more
// important ones.
var reservedShare = [...]float64{PriorityReport: 0, PriorityClaim: 0.1, PriorityHousekeeping: 0.5}

// budgetPoll is how often a waiting call looks at the budget again.
const budgetPoll = 20 * time.Millisecond

// burstDuration is the time whose budget may be spent at once.
const burstDuration = 2 * time.Second

type priorityKey struct{}

// WithPriority returns a context whose calls have the given priority. Calls
// without one are of PriorityReport.
func WithPriority(ctx context.Context, p Priority) context.Context {
	return context.WithValue(ctx, priorityKey{}, p)
}

func priorityOf(ctx context.Context) Priority {
	if p, ok := ctx.Value(priorityKey{}).(Priority); ok {
		return p
	}
	return PriorityReport
}

// budget bounds one node's calls and bytes per second.
type budget struct {
	calls *rate.Limiter
	bytes *rate.Limiter
}

func newBudget(callsPerSecond, bytesPerSecond float64) *budget {
	return &budget{calls: newLimiter(callsPerSecond, 1), bytes: newLimiter(bytesPerSecond, MaxValueBytes)}
}

// newLimiter returns a limiter whose burst admits at least one call of size
// least; a rate of zero means unlimited.
func newLimiter(perSecond float64, least int) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, math.MaxInt32)
	}
	burst := max(int(perSecond*burstDuration.Seconds()), 2*least)
	return rate.NewLimiter(rate.Limit(perSecond), burst)
}

// acquire waits until the budget admits a call that sends size bytes.
func (b *budget) acquire(ctx context.Context, size int) error {
	p := priorityOf(ctx)
	for !b.admit(p, size) {
		if !delay.Sleep(ctx, budgetPoll) {
			return errThrottled(budgetPoll)
		}
	}
	return nil
}

func (b *budget) admit(p Priority, size int) bool {
	if !aboveReserve(b.calls, p, 1) || !aboveReserve(b.bytes, p, size) {
		return false
	}
	if !b.calls.Allow() {
		return false
	}
	return b.bytes.AllowN(time.Now(), size)
}

func aboveReserve(l *rate.Limiter, p Priority, n int) bool {
	if l.Limit() == rate.Inf {
		return true
	}
	return l.Tokens()-float64(n) >= reservedShare[p]*float64(l.Burst())-1e-9
}

// spend charges received bytes, which are known only afterwards.
func (b *budget) spend(size int) {
	if b.bytes.Limit() == rate.Inf {
		return
	}
	b.bytes.ReserveN(time.Now(), min(size, b.bytes.Burst()))
}

package objects

import (
	"context"
	"math"
	"time"

	"golang.org/x/time/rate"

	"github.com/primrosemoor/primrosemoor/delay"
)

// Priority is the priority of a call within a node's budget.
type Priority int

// Priorities, highest first. The rate of reports is a few per second at any
// load, and the members' views depend on them; the rate of claims grows with the
// load.
const (
	PriorityReport Priority = iota
	PriorityClaim
	PriorityHousekeeping
)

// reservedShare is the fraction of the burst that calls of a priority leave to
// those of higher priorities.
var reservedShare = [...]float64{PriorityReport: 0, PriorityClaim: 0.1, PriorityHousekeeping: 0.5}

// budgetPollInterval is the interval at which a waiting call checks the budget.
const budgetPollInterval = 20 * time.Millisecond

// burstDuration is the length of time whose budget may be used in one burst.
const burstDuration = 2 * time.Second

type priorityKey struct{}

// WithPriority returns a context whose calls have the given priority. Calls
// without a priority have PriorityReport.
func WithPriority(ctx context.Context, p Priority) context.Context {
	return context.WithValue(ctx, priorityKey{}, p)
}

func priorityOf(ctx context.Context) Priority {
	if p, ok := ctx.Value(priorityKey{}).(Priority); ok {
		return p
	}
	return PriorityReport
}

// budget limits one node's calls and bytes per second.
type budget struct {
	calls *rate.Limiter
	bytes *rate.Limiter
}

func newBudget(callsPerSecond, bytesPerSecond float64) *budget {
	return &budget{calls: newLimiter(callsPerSecond, 1), bytes: newLimiter(bytesPerSecond, MaxValueBytes)}
}

// newLimiter returns a limiter whose burst is at least twice maxCost, so that it
// admits a call of that cost at any priority; a rate of zero means unlimited.
func newLimiter(perSecond float64, maxCost int) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, math.MaxInt32)
	}
	burst := max(int(perSecond*burstDuration.Seconds()), 2*maxCost)
	return rate.NewLimiter(rate.Limit(perSecond), burst)
}

// acquire blocks until the budget admits a call that sends size bytes.
func (b *budget) acquire(ctx context.Context, size int) error {
	p := priorityOf(ctx)
	for !b.admit(p, size) {
		if !delay.Sleep(ctx, budgetPollInterval) {
			return errThrottled(budgetPollInterval)
		}
	}
	return nil
}

func (b *budget) admit(p Priority, size int) bool {
	if !leavesReserve(b.calls, p, 1) || !leavesReserve(b.bytes, p, size) {
		return false
	}
	if !b.calls.Allow() {
		return false
	}
	return b.bytes.AllowN(time.Now(), size)
}

func leavesReserve(l *rate.Limiter, p Priority, n int) bool {
	if l.Limit() == rate.Inf {
		return true
	}
	return l.Tokens()-float64(n) >= reservedShare[p]*float64(l.Burst())-1e-9
}

// chargeReceived charges received bytes, whose number is known only after the
// call.
func (b *budget) chargeReceived(size int) {
	if b.bytes.Limit() == rate.Inf {
		return
	}
	b.bytes.ReserveN(time.Now(), min(size, b.bytes.Burst()))
}

package rollout

import (
	"time"

	"github.com/primrosemoor/primrosemoor/clock"
)

const (
	// The lease is leaseShare of the time limit, between minLease and maxLease: shorter than
	// endMargin, so that a rollout whose decider fails in the end still ends in time.
	leaseShare = 0.08
	minLease   = 2 * time.Second
	maxLease   = 5 * time.Second
	// renewDivisor divides the lease to give the time after which it is renewed. A write that
	// fails is repeated every 0.5 s in the other half.
	renewDivisor = 2
)

// leaseOf returns the lease of the decider of a rollout with a time limit.
func leaseOf(duration time.Duration) time.Duration {
	return min(max(share(duration, leaseShare), minLease), maxLease)
}

// lease is what a node knows of the right to decide.
type lease struct {
	holder string
	// length is the lease that the holder wrote, and seen when this node first saw the write.
	// The node measures the lease by its own clock alone: clocks of nodes differ.
	length time.Duration
	seen   clock.Instant
	// revision is that of the object with the write.
	revision uint64
}

// mayDecide reports whether a process may write the status. The store accepts only one of
// several writes on the same revision.
func (l lease) mayDecide(self string, now clock.Instant) bool {
	return l.holder == "" || l.holder == self || now.Sub(l.seen) > l.length
}

// renewDue reports whether a process has to write the status though nothing has changed.
func (l lease) renewDue(self string, now clock.Instant) bool {
	return l.holder != self || now.Sub(l.seen) >= l.length/renewDivisor
}

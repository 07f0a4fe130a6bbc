package limits

import (
	"math"
	"time"
)

// burstWindow is the time for which a full rateBucket can admit requests or
// tokens at its rate without a refill. setRate states the minimum capacity.
const burstWindow = 2 * time.Second

// rateBucket is a token bucket whose level may become negative.
type rateBucket struct {
	limited  bool
	level    float64
	rate     float64
	capacity float64
	updated  time.Time
}

// setRate changes the refill rate from now on. The capacity is at least minBurst
// and at least an even share of the limit over all nodes for burstWindow, so
// that a caller may start with a burst after it was idle.
func (b *rateBucket) setRate(now time.Time, limit, rate float64, nodes int) {
	first := b.updated.IsZero()
	b.refill(now)
	b.limited = limit > 0
	b.rate = rate
	b.capacity = max(minBurst, max(rate, limit/float64(nodes))*burstWindow.Seconds())
	if first {
		b.level = b.capacity
	}
	b.level = min(b.level, b.capacity)
}

// refill adds what has accrued since the last update, up to the capacity.
func (b *rateBucket) refill(now time.Time) {
	if elapsed := now.Sub(b.updated).Seconds(); elapsed > 0 && !b.updated.IsZero() {
		b.level = min(b.capacity, b.level+b.rate*elapsed)
	}
	b.updated = now
}

// wait returns the time until the level reaches need, rounded up to
// milliseconds and at most an hour. It returns 0 if the level is already there
// or the bucket is not limited.
func (b *rateBucket) wait(need float64) time.Duration {
	if !b.limited || b.level >= need {
		return 0
	}
	seconds := (need - b.level) / b.rate
	return time.Duration(math.Ceil(min(seconds, time.Hour.Seconds())*1e3)) * time.Millisecond
}

// deficit returns how much the level is below the capacity.
func (b *rateBucket) deficit() float64 {
	if !b.limited {
		return 0
	}
	return max(0, b.capacity-b.level)
}

// isLow reports whether a limited bucket is less than half full.
func (b *rateBucket) isLow() bool {
	return b.limited && b.level < b.capacity/2
}

package limits

import (
	"math"
	"time"
)

// burst is the time whose share may be used at once.
const burst = 2 * time.Second

// rateBucket is a token bucket that may go into debt.
type rateBucket struct {
	limited  bool
	level    float64
	rate     float64
	capacity float64
	updated  time.Time
}

// setRate changes the rate from now on. A bucket holds at least minBurst, and as
// much as an even share of the limit over all nodes, so that a caller who
// was idle may begin with a burst.
func (b *rateBucket) setRate(now time.Time, limit, rate float64, nodes int) {
	fresh := b.updated.IsZero()
	b.refill(now)
	b.limited = limit > 0
	b.rate = rate
	b.capacity = max(minBurst, max(rate, limit/float64(nodes))*burst.Seconds())
	if fresh {
		b.level = b.capacity
	}
	b.level = min(b.level, b.capacity)
}

func (b *rateBucket) refill(now time.Time) {
	if elapsed := now.Sub(b.updated).Seconds(); elapsed > 0 && !b.updated.IsZero() {
		b.level = min(b.capacity, b.level+b.rate*elapsed)
	}
	b.updated = now
}

// wait returns the time until the level reaches need; 0 means now.
func (b *rateBucket) wait(need float64) time.Duration {
	if !b.limited || b.level >= need {
		return 0
	}
	seconds := (need - b.level) / b.rate
	return time.Duration(math.Ceil(min(seconds, time.Hour.Seconds())*1e3)) * time.Millisecond
}

// lacking returns what the bucket needs to be full.
func (b *rateBucket) lacking() float64 {
	if !b.limited {
		return 0
	}
	return max(0, b.capacity-b.level)
}

func (b *rateBucket) low() bool {
	return b.limited && b.level < b.capacity/2
}

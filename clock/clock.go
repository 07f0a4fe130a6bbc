// Package clock reads the time since the VM started, including the time that
// the VM was suspended. Go's monotonic clock stands still meanwhile, so that a
// belief looks younger after a suspension than it is.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a time since the VM started. The zero Instant means never.
type Instant time.Duration

// fallback is the start of the clock where the system has no suspend-aware one.
var fallback = time.Now()

// Now returns the present instant.
func Now() Instant {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return Instant(time.Since(fallback))
	}
	return Instant(ts.Nano())
}

// Sub returns the time from earlier to i.
func (i Instant) Sub(earlier Instant) time.Duration {
	return time.Duration(i - earlier)
}

// Add returns the instant d later.
func (i Instant) Add(d time.Duration) Instant {
	return i + Instant(d)
}

// Since returns the time that has passed since i.
func Since(i Instant) time.Duration {
	return Now().Sub(i)
}

// Package clock reads the time since the VM booted, including the time that the VM
// was suspended. Go's monotonic clock stops during a suspension, and would make
// information received before it look more recent than it is.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a point in time, as the time since the VM booted. The zero Instant
// means never.
type Instant time.Duration

// processStart is the zero of the clock on systems without CLOCK_BOOTTIME.
var processStart = time.Now()

// Now returns the current instant.
func Now() Instant {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return Instant(time.Since(processStart))
	}
	return Instant(ts.Nano())
}

// Sub returns the duration from earlier to i.
func (i Instant) Sub(earlier Instant) time.Duration {
	return time.Duration(i - earlier)
}

// Add returns the instant d after i.
func (i Instant) Add(d time.Duration) Instant {
	return i + Instant(d)
}

// Since returns the duration since i.
func Since(i Instant) time.Duration {
	return Now().Sub(i)
}

package timer

import (
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a point on the host's boot clock, in nanoseconds; it counts suspended time.
type Instant int64

// Add returns the instant that lies d after i.
func (i Instant) Add(d time.Duration) Instant {
	return i + Instant(d)
}

// Sub returns the duration from j to i.
func (i Instant) Sub(j Instant) time.Duration {
	return time.Duration(i - j)
}

// Before reports whether i lies before j.
func (i Instant) Before(j Instant) bool {
	return i < j
}

// Now reads the boot clock.
func Now() Instant {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("timer: the boot clock is not readable: " + err.Error())
	}
	return Instant(ts.Nano())
}

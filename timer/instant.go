package timer

import (
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a reading of the host's boot clock in nanoseconds; it includes time in suspend.
type Instant int64

// Add returns the instant i+d.
func (i Instant) Add(d time.Duration) Instant {
	return i + Instant(d)
}

// Sub returns the duration i-j.
func (i Instant) Sub(j Instant) time.Duration {
	return time.Duration(i - j)
}

// Before reports whether i is before j.
func (i Instant) Before(j Instant) bool {
	return i < j
}

// Now reads the boot clock.
func Now() Instant {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("timer: cannot read CLOCK_BOOTTIME: " + err.Error())
	}
	return Instant(ts.Nano())
}

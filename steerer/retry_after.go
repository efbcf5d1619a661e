package steerer

import (
	"net/http"
	"regexp"
	"strconv"
	"time"
)

// delaySeconds matches a delay in seconds, with at most nine digits before and after the point.
var delaySeconds = regexp.MustCompile(`^[0-9]{1,9}(\.[0-9]{1,9})?$`)

// parseRetryAfter parses the value of a Retry-After field: seconds, which may have a fraction, or
// an HTTP date. ok is false if the value is neither, or a date in the past.
func parseRetryAfter(value string, now time.Time) (delay time.Duration, ok bool) {
	if delaySeconds.MatchString(value) {
		seconds, err := strconv.ParseFloat(value, 64)
		return time.Duration(seconds * float64(time.Second)), err == nil
	}
	at, err := http.ParseTime(value)
	if err != nil || !at.After(now) {
		return 0, false
	}
	return at.Sub(now), true
}

// Package retryafter parses the Retry-After field of HTTP responses (RFC 9110, section 10.2.3).
package retryafter

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Parse returns the delay in the Retry-After field of h, limited to maxDelay. The field holds a
// number of seconds, optionally with a fraction, or a date. A date is relative to the Date field of
// the response, because the clocks of hosts differ, or to now if there is no such field. Parse
// returns zero if the field is missing, malformed, negative or in the past.
func Parse(h http.Header, now time.Time, maxDelay time.Duration) time.Duration {
	value := strings.TrimSpace(h.Get("Retry-After"))
	if value == "" {
		return 0
	}
	if seconds, err := strconv.ParseFloat(value, 64); err == nil {
		if !(seconds > 0) { // Also true for NaN.
			return 0
		}
		return time.Duration(min(seconds, maxDelay.Seconds()) * float64(time.Second))
	}
	until, err := http.ParseTime(value)
	if err != nil {
		return 0
	}
	if sent, err := http.ParseTime(h.Get("Date")); err == nil {
		now = sent
	}
	return min(max(until.Sub(now), 0), maxDelay)
}

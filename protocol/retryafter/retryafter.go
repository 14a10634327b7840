// Package retryafter reads the time to come back that an HTTP answer states (RFC 9110,
// section 10.2.3).
package retryafter

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Parse returns the time to come back, at most the given one, and zero for none. The field
// holds seconds, which may have a fraction, or a date. A date counts from that of the
// answer, because the clocks of hosts differ, and from now in an answer without one. What
// is negative, past or no time counts for nothing.
func Parse(h http.Header, now time.Time, most time.Duration) time.Duration {
	value := strings.TrimSpace(h.Get("Retry-After"))
	if value == "" {
		return 0
	}
	if seconds, err := strconv.ParseFloat(value, 64); err == nil {
		if !(seconds > 0) { // NaN is not.
			return 0
		}
		return time.Duration(min(seconds, most.Seconds()) * float64(time.Second))
	}
	until, err := http.ParseTime(value)
	if err != nil {
		return 0
	}
	if sent, err := http.ParseTime(h.Get("Date")); err == nil {
		now = sent
	}
	return min(max(until.Sub(now), 0), most)
}

package admission

import (
	"math"
	"time"
)

// A limit rises by increaseRatio per window, but at least by minIncrease, so that it doubles in
// about 1.4 s. A faster rise overshoots small limits: with a limit of 9, the targets would shed
// a quarter of the requests after one window.
const (
	increaseRatio = 0.05
	minIncrease   = 0.1
)

// minUtilization is the ratio of the limit that must be in use for the limit to rise, so that a
// service with little traffic does not reach a limit that was never tested.
const minUtilization = 0.8

// limiter is an adaptive concurrency limit.
type limiter struct {
	limit, minLimit, maxLimit float64
	inFlight                  int
	peak                      int // maximum of inFlight in the window
	counts                    counts
	windowStart               time.Duration
}

func newLimiter(initial, minLimit, maxLimit float64) limiter {
	maxLimit = max(maxLimit, 1)
	minLimit = min(minLimit, maxLimit)
	return limiter{limit: min(max(initial, minLimit), maxLimit), minLimit: minLimit, maxLimit: maxLimit}
}

func (l *limiter) hasCapacity() bool { return float64(l.inFlight) < math.Floor(l.limit) }

func (l *limiter) acquire() {
	l.inFlight++
	l.peak = max(l.peak, l.inFlight)
}

func (l *limiter) release() { l.inFlight-- }

// observe counts a finished request and reports whether the window is complete.
func (l *limiter) observe(s *Settings, now time.Duration, sig signal) (complete bool) {
	l.counts.add(sig)
	return now-l.windowStart >= s.Window && l.counts.samples >= s.MinSamples
}

// adapt ends a window. If lower is true, it lowers the limit by the ratio of shed requests, but at
// least by 1 - Decrease and at most by one half. Otherwise it raises the limit if enough of it was
// in use.
func (l *limiter) adapt(s *Settings, now time.Duration, lower bool) {
	switch {
	case lower:
		acceptedRatio := 1 - float64(l.counts.shed)/float64(l.counts.samples)
		l.limit = max(l.limit*min(max(acceptedRatio, 0.5), s.Decrease), l.minLimit)
	case float64(l.peak) >= minUtilization*math.Floor(l.limit):
		l.limit = min(l.limit+max(increaseRatio*l.limit, minIncrease), l.maxLimit)
	}
	l.windowStart, l.counts, l.peak = now, counts{}, l.inFlight
}

// setBounds changes the bounds and moves the limit into them.
func (l *limiter) setBounds(minLimit, maxLimit float64) {
	l.maxLimit = max(maxLimit, 1)
	l.minLimit = min(minLimit, l.maxLimit)
	l.limit = min(max(l.limit, l.minLimit), l.maxLimit)
}

package admission

import (
	"math"
	"time"
)

// slowPart is the part of slow requests above which a limit is too high. At one half
// the test is whether the median latency is above Tolerance x baseline, without
// a histogram.
const slowPart = 0.5

// usedPart is the part of the limit that must be in use before it rises, so that
// a quiet service does not gain a limit that was never tested.
const usedPart = 0.8

// limiter is an adaptive concurrency limit.
type limiter struct {
	limit, least, most float64
	inFlight           int
	peak               int // largest number in flight in the window
	samples, slow      int
	openedAt           time.Duration
}

func newLimiter(initial, least, most float64) limiter {
	most = max(most, 1)
	least = min(least, most)
	return limiter{limit: min(max(initial, least), most), least: least, most: most}
}

func (l *limiter) room() bool { return float64(l.inFlight) < math.Floor(l.limit) }

func (l *limiter) enter() {
	l.inFlight++
	l.peak = max(l.peak, l.inFlight)
}

func (l *limiter) leave() { l.inFlight-- }

// sample counts a finished request and reports whether the window is complete.
func (l *limiter) sample(s *Settings, now time.Duration, slow bool) (complete bool) {
	l.samples++
	if slow {
		l.slow++
	}
	return now-l.openedAt >= s.Window && l.samples >= s.MinSamples
}

// mostSlow reports whether most requests of the window were slow.
func (l *limiter) mostSlow() bool { return float64(l.slow) > slowPart*float64(l.samples) }

// adapt changes the limit at the end of a window. The rise per window is the
// square root of the limit: a limit of 100 doubles in about one second, and one
// of 4,096 in six.
func (l *limiter) adapt(s *Settings, now time.Duration, lower bool) {
	switch {
	case lower:
		l.limit = max(l.limit*s.Decrease, l.least)
	case float64(l.peak) >= usedPart*math.Floor(l.limit):
		l.limit = min(l.limit+math.Sqrt(l.limit), l.most)
	}
	l.openedAt, l.samples, l.slow, l.peak = now, 0, 0, l.inFlight
}

// setMost changes the upper bound.
func (l *limiter) setMost(least, most float64) {
	l.most = max(most, 1)
	l.least = min(least, l.most)
	l.limit = min(max(l.limit, l.least), l.most)
}

package admission

import (
	"math"
	"time"
)

// A limit rises by riseRatio per window, and at least by leastRise, so that it
// doubles in about 1.4 s. A faster rise overshoots small limits: the targets of a
// limit of 9 would shed a quarter of the requests after one window.
const (
	riseRatio = 0.05
	leastRise = 0.1
)

// usedPart is the part of the limit that must be in use before it rises, so that
// a quiet service does not gain a limit that was never tested.
const usedPart = 0.8

// limiter is an adaptive concurrency limit.
type limiter struct {
	limit, least, most float64
	inFlight           int
	peak               int // largest number in flight in the window
	counts             counts
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
func (l *limiter) sample(s *Settings, now time.Duration, sig signal) (complete bool) {
	l.counts.add(sig)
	return now-l.openedAt >= s.Window && l.counts.samples >= s.MinSamples
}

// adapt changes the limit at the end of a window. It falls by the part of the
// requests that targets shed, from 1 - Decrease to one half.
func (l *limiter) adapt(s *Settings, now time.Duration, lower bool) {
	switch {
	case lower:
		kept := 1 - float64(l.counts.shed)/float64(l.counts.samples)
		l.limit = max(l.limit*min(max(kept, 0.5), s.Decrease), l.least)
	case float64(l.peak) >= usedPart*math.Floor(l.limit):
		l.limit = min(l.limit+max(riseRatio*l.limit, leastRise), l.most)
	}
	l.openedAt, l.counts, l.peak = now, counts{}, l.inFlight
}

// setMost changes the upper bound.
func (l *limiter) setMost(least, most float64) {
	l.most = max(most, 1)
	l.least = min(least, l.most)
	l.limit = min(max(l.limit, l.least), l.most)
}

package admission

import "time"

const (
	// initialSamples is the number of samples that form the initial estimate. No request counts
	// as slow until then.
	initialSamples = 100
	// firstLearnStep and lastLearnStep are the relative changes of the estimate by the first
	// and the last of the initial samples. The step shrinks with the number of samples.
	firstLearnStep, lastLearnStep = 0.5, 0.01
	// maxRiseStep is the maximum relative increase of the baseline in a window.
	maxRiseStep = 0.1
	// maxFallStep is the maximum relative decrease of the baseline in a window.
	maxFallStep = 0.2
)

// baseline estimates the median latency without load, in seconds, as the lower envelope of the
// medians of short windows. It uses medians rather than minima because the fastest answers of a
// wide distribution are several times faster than its median at any load.
type baseline struct {
	median         float64 // zero means unknown
	learnedSamples int
	samples, below int
	windowStart    time.Duration
}

// observe adds a latency sample and reports whether it is slow.
func (b *baseline) observe(s *Settings, now, latency time.Duration) (slow bool) {
	seconds := latency.Seconds()
	if b.learnedSamples < initialSamples {
		b.learn(now, seconds)
		return false
	}
	b.samples++
	if seconds < b.median {
		b.below++
	}
	slow = seconds > b.median*s.Tolerance
	if b.samples >= s.MinSamples && now-b.windowStart >= s.Window {
		b.closeWindow(s, now)
	}
	return slow
}

// learn moves the estimate towards a sample by a relative step that does not depend on the
// distance, so that it ends near the median.
func (b *baseline) learn(now time.Duration, seconds float64) {
	step := max(firstLearnStep/float64(b.learnedSamples+1), lastLearnStep)
	switch {
	case b.median == 0:
		b.median = seconds
	case seconds < b.median:
		b.median *= 1 - step
	default:
		b.median *= 1 + step
	}
	b.learnedSamples++
	b.windowStart = now
}

// closeWindow lowers the baseline if more than half of the samples were below it, in proportion
// to the excess. Otherwise it raises the baseline slowly, to follow a service that became
// permanently slower.
func (b *baseline) closeWindow(s *Settings, now time.Duration) {
	excess := 2*float64(b.below)/float64(b.samples) - 1
	if excess > 0 {
		b.median *= 1 - maxFallStep*excess
	} else {
		b.median *= 1 + min(s.BaselineRiseRate*(now-b.windowStart).Seconds(), maxRiseStep)
	}
	b.samples, b.below, b.windowStart = 0, 0, now
}

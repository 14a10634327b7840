package admission

import "time"

const (
	// learnSamples is the number of samples over which the first estimate is
	// made. During them no request counts as slow.
	learnSamples = 100
	// firstStep and lastStep are the parts by which the first and the last of
	// them move the estimate. The part falls with the number of samples.
	firstStep, lastStep = 0.5, 0.01
	// riseStep is the largest part by which a window raises the baseline.
	riseStep = 0.1
	// fallStep is the largest part by which a window lowers the baseline.
	fallStep = 0.2
)

// baseline estimates the median latency without load, in seconds: the lower
// envelope of the medians of short windows. It compares medians with medians,
// because the fastest answers of a wide distribution are several times faster
// than its median at any load.
type baseline struct {
	median         float64 // zero means unknown
	learned        int
	samples, below int
	openedAt       time.Duration
}

// sample takes a latency and reports whether it is slow.
func (b *baseline) sample(s *Settings, now, latency time.Duration) (slow bool) {
	seconds := latency.Seconds()
	if b.learned < learnSamples {
		b.learn(now, seconds)
		return false
	}
	b.samples++
	if seconds < b.median {
		b.below++
	}
	slow = seconds > b.median*s.Tolerance
	if b.samples >= s.MinSamples && now-b.openedAt >= s.Window {
		b.closeWindow(s, now)
	}
	return slow
}

// learn moves the estimate by a part towards each sample, whatever its distance,
// which ends near the median.
func (b *baseline) learn(now time.Duration, seconds float64) {
	step := max(firstStep/float64(b.learned+1), lastStep)
	switch {
	case b.median == 0:
		b.median = seconds
	case seconds < b.median:
		b.median *= 1 - step
	default:
		b.median *= 1 + step
	}
	b.learned++
	b.openedAt = now
}

// closeWindow lowers the baseline when most samples were below it, in proportion
// to their part. Else the baseline rises slowly, for a service that became
// slower for good.
func (b *baseline) closeWindow(s *Settings, now time.Duration) {
	most := 2*float64(b.below)/float64(b.samples) - 1
	if most > 0 {
		b.median *= 1 - fallStep*most
	} else {
		b.median *= 1 + min(s.BaselineRise*(now-b.openedAt).Seconds(), riseStep)
	}
	b.samples, b.below, b.openedAt = 0, 0, now
}

package replica

import (
	"math"
	"time"
)

// LoadReport is the load that a target states in a reply.
type LoadReport struct {
	// Waiting is the number of waiting requests, Slots the number that run concurrently.
	Waiting, Slots int
	// Pace is the time that work takes on the target's machine, relative to the usual time. Zero
	// means that it is not stated.
	Pace float64
}

// relativeTime returns the time that a new request takes, relative to an idle target at its usual pace.
func (r LoadReport) relativeTime() float64 {
	t := 1.0
	if r.Slots > 0 && r.Waiting > 0 {
		t += float64(r.Waiting) / float64(r.Slots)
	}
	if r.Pace > 0 {
		t *= r.Pace
	}
	return t
}

// reportedLoad holds the last load report of a target and the mean of the recent ones.
//
// The latency samples already contain the load, with a delay. So only the deviation of the last report
// from the mean of the reports counts, and a target that always reports the same, true or not, is
// scored as one without reports.
type reportedLoad struct {
	last, sum, weight float64
	at                time.Duration
}

// RecordLoad stores a load report. The pace may be false, but must not be negative, infinite or NaN.
func (t *Stats) RecordLoad(now time.Duration, r LoadReport) {
	l := &t.load
	d := decay(now-l.at, t.settings.LatencyDecay)
	l.last = r.relativeTime()
	l.sum = l.sum*d + l.last
	l.weight = l.weight*d + 1
	l.at = max(now, l.at)
}

// factor returns the factor on the cost. It is 1 without a recent report.
func (l *reportedLoad) factor(now time.Duration, s *Settings) float64 {
	age := now - l.at
	if l.weight == 0 || age >= s.LoadExpiry {
		return 1
	}
	ratio := min(max(l.last*l.weight/l.sum, s.MinLoadFactor), s.MaxLoadFactor)
	return math.Pow(ratio, 1-float64(max(age, 0))/float64(s.LoadExpiry))
}

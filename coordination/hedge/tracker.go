package hedge

import (
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// highestLatency (1 min, in microseconds) and latencyDigits (two significant digits, 1%) set
	// the range and the precision of the histograms.
	highestLatency = int64(time.Minute / time.Microsecond)
	latencyDigits  = 2
	// refreshInterval is the age after which the cached quantiles are recomputed.
	refreshInterval = 100 * time.Millisecond
	// recentTimeConstant is the time constant of the recent median.
	recentTimeConstant = time.Second
	// quantileSteps is the number of steps between Quantile and EmptyBudgetQuantile for which
	// quantiles are cached.
	quantileSteps = 8
	// minFanout is the smallest fan-out at which a single query can show that a service is slow.
	minFanout = 8
	// minRecentSamples is the decayed number of recent samples needed to call a service slow.
	minRecentSamples = 10
	// slowFraction is the fraction of slow samples, or of unanswered sub-requests of a query, above
	// which a service counts as slow. At one half, it tests whether the median is slow.
	slowFraction = 0.5
)

// Tracker holds the recent latencies and the hedge budget of one service. Create it with New.
type Tracker struct {
	settings Settings
	tokens   float64

	// window covers the last half to whole Settings.Window; current covers its newer half.
	window, current        *hdrhistogram.Histogram
	rotatedAt, refreshedAt time.Duration

	// percentiles holds 50 and the percentiles of delays, in ascending order.
	percentiles [quantileSteps + 2]float64
	// delays caches the hedge delays from a full budget (index 0) to an empty one.
	delays [quantileSteps + 1]time.Duration

	longTermMedian time.Duration
	startedAt      time.Duration

	// slowCount and sampleCount are exponentially decayed counts of recent samples.
	slowCount, sampleCount float64
	countedAt              time.Duration
}

// New returns a Tracker with a full budget and no samples.
func New(s Settings, now time.Duration) *Tracker {
	t := &Tracker{
		settings:    s,
		tokens:      s.Burst,
		window:      newHistogram(),
		current:     newHistogram(),
		rotatedAt:   now,
		refreshedAt: now,
		startedAt:   now,
		countedAt:   now,
	}
	t.percentiles[0] = 50
	for i := range t.delays {
		t.delays[i] = t.clamp(s.InitialDelay)
		t.percentiles[i+1] = 100 * t.quantileAt(1-float64(i)/quantileSteps)
	}
	return t
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, highestLatency, latencyDigits)
}

// SetBudgetRatio sets Settings.BudgetRatio when a new sheet takes effect.
func (t *Tracker) SetBudgetRatio(ratio float64) { t.settings.BudgetRatio = ratio }

// AddPrimaries credits the budget for n primary attempts.
func (t *Tracker) AddPrimaries(n int) {
	t.tokens = min(t.tokens+float64(n)*t.settings.BudgetRatio, t.settings.Burst)
}

// RecordLatency records the latency of an answered attempt, measured from when that attempt was sent.
func (t *Tracker) RecordLatency(now, latency time.Duration) {
	t.refresh(now)
	// The value is clamped to the histogram's range, so RecordValue cannot fail.
	value := min(max(latency.Microseconds(), 0), highestLatency)
	_ = t.window.RecordValue(value)
	_ = t.current.RecordValue(value)
	t.countSlow(now, latency)
}

// Delay returns how long after sending a primary attempt to call Decide.
func (t *Tracker) Delay(now time.Duration) time.Duration {
	t.refresh(now)
	return t.delay()
}

// Decide decides whether a sub-request that waited for its delay is hedged.
func (t *Tracker) Decide(now time.Duration, p Progress) Decision {
	if t.settings.BudgetRatio <= 0 {
		return Decision{Verdict: Off}
	}
	t.refresh(now)
	delay := t.delay()
	if p.Age < delay {
		return Decision{Verdict: Wait, Wait: delay - p.Age}
	}
	if !p.PreviouslyDenied {
		t.countSlow(now, p.Age)
	}
	if t.SlowService() || p.mostlyLate() {
		return Decision{Verdict: Slow, Wait: delay}
	}
	// A query takes as long as its slowest sub-request, so hedging only some of the late ones is
	// wasted.
	if t.tokens < float64(max(p.Outstanding, 1)) {
		return Decision{Verdict: Exhausted, Wait: delay}
	}
	t.tokens--
	return Decision{Verdict: Send}
}

// mostlyLate reports whether most sub-requests of the query are still unanswered when the first of
// them reaches its delay. In that case the service is slow or this entry was; the recent median
// shows it only later.
func (p Progress) mostlyLate() bool {
	return p.Fanout >= minFanout && float64(p.Outstanding) > slowFraction*float64(p.Fanout)
}

// SlowService reports whether the median latency of the last second exceeds SlowFactor times the
// long-term median. An unanswered sub-request that reached its delay counts with its age.
func (t *Tracker) SlowService() bool {
	return t.sampleCount >= minRecentSamples && t.slowCount > slowFraction*t.sampleCount
}

// Tokens returns the number of hedges that the budget currently covers.
func (t *Tracker) Tokens() float64 { return t.tokens }

// LongTermMedian returns the median latency over LongTermTimeConstant, or zero before the first
// MinSamples latencies.
func (t *Tracker) LongTermMedian() time.Duration { return t.longTermMedian }

// delay returns the cached hedge delay for the remaining budget.
func (t *Tracker) delay() time.Duration {
	spent := 0.0
	if t.settings.Burst > 0 {
		spent = 1 - t.tokens/t.settings.Burst
	}
	return t.delays[int(math.Round(spent*quantileSteps))]
}

func (t *Tracker) clamp(d time.Duration) time.Duration {
	return min(max(d, t.settings.MinDelay), t.settings.MaxDelay)
}

// countSlow adds a latency to the decayed counts that SlowService compares.
func (t *Tracker) countSlow(now, latency time.Duration) {
	if t.longTermMedian == 0 {
		return
	}
	if now > t.countedAt {
		d := math.Exp(-float64(now-t.countedAt) / float64(recentTimeConstant))
		t.slowCount, t.sampleCount, t.countedAt = t.slowCount*d, t.sampleCount*d, now
	}
	t.sampleCount++
	if float64(latency) > t.settings.SlowFactor*float64(t.longTermMedian) {
		t.slowCount++
	}
}

// refresh rotates the window and recomputes the cached quantiles when they are due.
func (t *Tracker) refresh(now time.Duration) {
	elapsed := now - t.refreshedAt
	if elapsed < refreshInterval {
		return
	}
	t.refreshedAt = now
	if now-t.rotatedAt >= t.settings.Window/2 {
		t.rotate(now)
	}
	if t.window.TotalCount() < t.settings.MinSamples {
		return
	}
	values := t.window.ValueAtPercentilesSlice(t.percentiles[:])
	median := time.Duration(values[0]) * time.Microsecond
	for i, v := range values[1:] {
		t.delays[i] = t.clamp(time.Duration(v) * time.Microsecond)
	}
	t.updateLongTermMedian(now, elapsed, median)
}

// rotate discards the older half of the window.
func (t *Tracker) rotate(now time.Duration) {
	t.window.Reset()
	t.window.Merge(t.current)
	t.current.Reset()
	t.rotatedAt = now
}

// quantileAt returns the quantile for a budget of which the fraction remaining is left. The
// fraction of sub-requests later than the quantile, 1 - quantile, is interpolated logarithmically
// between its values for a full and an empty budget.
func (t *Tracker) quantileAt(remaining float64) float64 {
	lateAtFull, lateAtEmpty := 1-t.settings.Quantile, 1-t.settings.EmptyBudgetQuantile
	return 1 - math.Pow(lateAtFull, remaining)*math.Pow(lateAtEmpty, 1-remaining)
}

// updateLongTermMedian folds a window median into the long-term median. Until
// LongTermTimeConstant has elapsed, the long-term median is the mean since the start.
func (t *Tracker) updateLongTermMedian(now, elapsed, median time.Duration) {
	if t.longTermMedian == 0 {
		t.longTermMedian = median
		return
	}
	scale := min(t.settings.LongTermTimeConstant, now-t.startedAt)
	weight := min(float64(elapsed)/float64(scale), 1)
	t.longTermMedian += time.Duration(weight * float64(median-t.longTermMedian))
}

package hedge

import (
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// Latencies are counted in microseconds with two digits (1%), up to 1 min.
	highestLatency = int64(time.Minute / time.Microsecond)
	latencyDigits  = 2
	// refreshInterval is the age after which cached quantiles are computed anew.
	refreshInterval = 100 * time.Millisecond
	// slowDecay is the time constant of the recent median.
	slowDecay = time.Second
	// quantileSteps is the number of quantiles cached between Quantile and
	// ScarceQuantile.
	quantileSteps = 8
	// minFanout is the fan-out from which one query shows a slow service.
	minFanout = 8
	// minSlowWeight is the least number of recent samples that prove slowness.
	minSlowWeight = 10
	// slowPart is the part of recent samples above a value at which the median
	// is above it.
	slowPart = 0.5
)

// Tracker holds one service's recent latency and hedge budget. Create it with New.
type Tracker struct {
	settings Settings
	tokens   float64

	// window counts the last half to whole Window, current its newer half.
	window, current        *hdrhistogram.Histogram
	rotatedAt, refreshedAt time.Duration

	// percentiles holds 50 and the percentiles of delays, in rising order.
	percentiles [quantileSteps + 2]float64
	// delays caches the delays from a full (0) to an empty budget.
	delays [quantileSteps + 1]time.Duration

	longTermMedian time.Duration
	startedAt      time.Duration

	// slow and total are decayed counts of recent samples.
	slow, total float64
	countedAt   time.Duration
}

// New returns a tracker with a full budget and no samples.
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

// SetBudgetRatio changes the budget ratio, for a new sheet.
func (t *Tracker) SetBudgetRatio(ratio float64) { t.settings.BudgetRatio = ratio }

// Primary adds the budget of n primary attempts.
func (t *Tracker) Primary(n int) {
	t.tokens = min(t.tokens+float64(n)*t.settings.BudgetRatio, t.settings.Burst)
}

// Observe counts the latency of an attempt that was answered, from its own send.
func (t *Tracker) Observe(now, latency time.Duration) {
	t.refresh(now)
	// The value is in range, so that RecordValue cannot fail.
	value := min(max(latency.Microseconds(), 0), highestLatency)
	_ = t.window.RecordValue(value)
	_ = t.current.RecordValue(value)
	t.count(now, latency)
}

// Delay returns the time from the send of a primary attempt to its Decide.
func (t *Tracker) Delay(now time.Duration) time.Duration {
	t.refresh(now)
	return t.delay()
}

// Decide answers for a sub-request that waited for its delay.
func (t *Tracker) Decide(now time.Duration, p Progress) Decision {
	if t.settings.BudgetRatio <= 0 {
		return Decision{Verdict: Off}
	}
	t.refresh(now)
	delay := t.delay()
	if p.Age < delay {
		return Decision{Verdict: Wait, Wait: delay - p.Age}
	}
	if !p.Repeated {
		t.count(now, p.Age)
	}
	if t.SlowService() || p.mostlyLate() {
		return Decision{Verdict: Slow, Wait: delay}
	}
	// A query ends with its slowest sub-request, so that hedges for only some of
	// its late ones are wasted.
	if t.tokens < float64(max(p.Outstanding, 1)) {
		return Decision{Verdict: Exhausted, Wait: delay}
	}
	t.tokens--
	return Decision{Verdict: Send}
}

// mostlyLate reports whether most sub-requests of a query have no answer when
// the first of them reaches its delay. Then the service is slow, or this entry
// was; the recent median shows it only later.
func (p Progress) mostlyLate() bool {
	return p.Fanout >= minFanout && float64(p.Outstanding) > slowPart*float64(p.Fanout)
}

// SlowService reports whether the median of the last second is above SlowFactor
// x the long-term median. Unanswered sub-requests that reached their delay count
// with their age.
func (t *Tracker) SlowService() bool {
	return t.total >= minSlowWeight && t.slow > slowPart*t.total
}

// Tokens returns the number of hedges that the budget pays for now.
func (t *Tracker) Tokens() float64 { return t.tokens }

// LongTermMedian returns the median latency over LongTerm, or zero before the
// first MinSamples latencies.
func (t *Tracker) LongTermMedian() time.Duration { return t.longTermMedian }

// delay returns the cached delay for the budget that is left.
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

func (t *Tracker) count(now, latency time.Duration) {
	if t.longTermMedian == 0 {
		return
	}
	if now > t.countedAt {
		d := math.Exp(-float64(now-t.countedAt) / float64(slowDecay))
		t.slow, t.total, t.countedAt = t.slow*d, t.total*d, now
	}
	t.total++
	if float64(latency) > t.settings.SlowFactor*float64(t.longTermMedian) {
		t.slow++
	}
}

// refresh rotates the window and computes the cached quantiles.
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
	t.learnMedian(now, elapsed, median)
}

// rotate drops the older half of the window.
func (t *Tracker) rotate(now time.Duration) {
	t.window.Reset()
	t.window.Merge(t.current)
	t.current.Reset()
	t.rotatedAt = now
}

// quantileAt returns the quantile for a budget of which a part is left. The
// allowed part of late sub-requests, 1 - quantile, is interpolated by its
// logarithm.
func (t *Tracker) quantileAt(left float64) float64 {
	normal, scarce := 1-t.settings.Quantile, 1-t.settings.ScarceQuantile
	return 1 - math.Pow(normal, left)*math.Pow(scarce, 1-left)
}

// learnMedian moves the long-term median. Until LongTerm has passed it is the
// mean over the time since the start.
func (t *Tracker) learnMedian(now, elapsed, median time.Duration) {
	if t.longTermMedian == 0 {
		t.longTermMedian = median
		return
	}
	scale := min(t.settings.LongTerm, now-t.startedAt)
	part := min(float64(elapsed)/float64(scale), 1)
	t.longTermMedian += time.Duration(part * float64(median-t.longTermMedian))
}

package hedge

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const ms = time.Millisecond

// newWarmTracker returns a tracker with latencies spread evenly from 1 to 100 ms, and the time of
// the last one.
func newWarmTracker(s Settings) (*Tracker, time.Duration) {
	t, now := New(s, 0), time.Duration(0)
	for i := range 2_000 {
		now += ms
		t.RecordLatency(now, time.Duration(i*37%100+1)*ms)
	}
	return t, now
}

// Guards against more hedges than the budget allows, for any order of events.
func TestHedgesStayInBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := DefaultSettings()
		s.BudgetRatio = rapid.Float64Range(0, 0.5).Draw(t, "ratio")
		s.Burst = rapid.Float64Range(0, 20).Draw(t, "burst")
		tracker, now := newWarmTracker(s)
		primaries, hedges := 0, 0
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * ms
			age := time.Duration(rapid.IntRange(0, 200).Draw(t, "age")) * ms
			if rapid.Bool().Draw(t, "primary") {
				n := rapid.IntRange(0, 68).Draw(t, "n")
				tracker.AddPrimaries(n)
				primaries += n
			}
			d := tracker.Decide(now, Progress{Age: age, Fanout: 68, Outstanding: 3})
			if d.Verdict == Send {
				hedges++
			}
			if (d.Verdict == Wait) != (age < tracker.Delay(now)) && d.Verdict != Send && s.BudgetRatio > 0 {
				t.Fatalf("verdict %v at age %v, delay %v", d.Verdict, age, tracker.Delay(now))
			}
		}
		if float64(hedges) > s.Burst+s.BudgetRatio*float64(primaries)+1e-6 {
			t.Fatalf("%d hedges for %d primaries, ratio %v, burst %v", hedges, primaries, s.BudgetRatio, s.Burst)
		}
	})
}

// Guards against a hedge delay that does not adapt to the latency or to the remaining budget.
func TestDelayFollowsQuantileAndBudget(t *testing.T) {
	is := is.New(t)
	s := DefaultSettings()
	is.Equal(New(s, 0).Delay(0), s.InitialDelay) // no samples yet
	tracker, now := newWarmTracker(s)
	full := tracker.Delay(now)
	is.True(full >= 94*ms && full <= 97*ms)
	for range 300 {
		tracker.Decide(now, Progress{Age: time.Second})
	}
	is.Equal(tracker.Decide(now, Progress{Age: time.Second}).Verdict, Exhausted)
	is.True(tracker.Delay(now) > 98*ms)
}

// Guards against hedges that add load to a service whose targets are all slow.
func TestNoHedgeWhenTheWholeServiceIsSlow(t *testing.T) {
	is := is.New(t)
	tracker, now := newWarmTracker(DefaultSettings())
	is.Equal(tracker.Decide(now, Progress{Age: 100 * ms}).Verdict, Send)
	for range 1_000 {
		now += ms
		tracker.RecordLatency(now, 300*ms)
	}
	is.Equal(tracker.Decide(now, Progress{Age: time.Second}).Verdict, Slow)
	for range 3_000 {
		now += ms
		tracker.RecordLatency(now, 50*ms)
	}
	is.Equal(tracker.Decide(now, Progress{Age: time.Second}).Verdict, Send) // the service has recovered
}

// Guards against hedges that add load to a service none of whose targets answers.
func TestNoHedgeWhenNothingIsAnswered(t *testing.T) {
	is := is.New(t)
	tracker, now := newWarmTracker(DefaultSettings())
	sent := 0
	for range 2_000 {
		now += ms
		tracker.AddPrimaries(1)
		if tracker.Decide(now, Progress{Age: time.Second}).Verdict == Send {
			sent++
		}
	}
	is.Equal(tracker.Decide(now, Progress{Age: time.Second}).Verdict, Slow)
	is.True(sent < 350) // the burst of 300 and 5% of the primaries until the service counts as slow
}

// Guards against hedges for a query most of whose sub-requests are late, and against hedges when
// the budget does not cover all outstanding sub-requests of the query.
func TestQueryProgressLimitsHedges(t *testing.T) {
	is := is.New(t)
	s := DefaultSettings()
	s.Burst = 10
	tracker, now := newWarmTracker(s)
	late := Progress{Age: 200 * ms, Fanout: 68, Outstanding: 40}
	is.Equal(tracker.Decide(now, late).Verdict, Slow)
	late.Outstanding = 11
	is.Equal(tracker.Decide(now, late).Verdict, Exhausted)
	late.Outstanding = 10
	is.Equal(tracker.Decide(now, late).Verdict, Send)
	is.Equal(tracker.Decide(now, Progress{Age: 200 * ms, Fanout: 1, Outstanding: 1}).Verdict, Send)
}

// Guards against heap allocations in the calls made for every sub-request.
func TestSubRequestPathDoesNotAllocate(t *testing.T) {
	is := is.New(t)
	tracker, now := newWarmTracker(DefaultSettings())
	is.Equal(testing.AllocsPerRun(1_000, func() {
		now += 10 * time.Microsecond
		subRequest(tracker, now)
	}), 0.0)
}

// subRequest makes the calls of one sub-request.
func subRequest(tracker *Tracker, now time.Duration) {
	tracker.AddPrimaries(1)
	tracker.Delay(now)
	tracker.Decide(now, Progress{Age: 99 * ms, Fanout: 68, Outstanding: 3})
	tracker.RecordLatency(now, 50*ms)
}

func BenchmarkSubRequest(b *testing.B) {
	tracker, now := newWarmTracker(DefaultSettings())
	b.ReportAllocs()
	for b.Loop() {
		now += 10 * time.Microsecond
		subRequest(tracker, now)
	}
}

// BenchmarkRefresh measures the recomputation of the cached quantiles, which one sub-request every
// 100 ms performs.
func BenchmarkRefresh(b *testing.B) {
	tracker, now := newWarmTracker(DefaultSettings())
	b.ReportAllocs()
	for b.Loop() {
		now += refreshInterval
		for range 40 { // keeps at least MinSamples in the window
			tracker.RecordLatency(now, 50*ms)
		}
	}
}

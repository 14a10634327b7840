// Package hedge decides when a sub-request gets a second attempt at another
// target, and whether the budget allows it.
//
// Hedging after a quantile of the recent latency follows J. Dean and L. A.
// Barroso, "The Tail at Scale", CACM 56(2), 2013.
//
// A Tracker holds one service's recent latency and budget. All times are
// durations since an arbitrary start that is the same for every call. Nothing
// here locks: the caller serialises the calls on one Tracker.
package hedge

import "time"

// Settings tunes a Tracker.
type Settings struct {
	// BudgetRatio is the allowed number of hedges per primary attempt, from 0 to
	// 1. Zero turns hedging off. The default is 0.05.
	BudgetRatio float64
	// Burst is the largest number of hedges that unused budget pays for at once.
	// The default is 300: 4 queries of 68 sub-requests.
	Burst float64
	// Quantile is the quantile of the recent latency after which a hedge is sent
	// while the budget is full. The default is 0.95.
	Quantile float64
	// ScarceQuantile is used while the budget is empty, so that the last hedges
	// go to the latest sub-requests. In between, the delay moves from one to the
	// other. The default is 0.999.
	ScarceQuantile float64
	// MinDelay and MaxDelay bound the delay. The defaults are 1 ms and 1 s.
	MinDelay, MaxDelay time.Duration
	// InitialDelay is the delay until MinSamples latencies are known. The
	// defaults are 50 ms and 100 samples.
	InitialDelay time.Duration
	MinSamples   int64
	// Window is the length of the recent past. The default is 10 s.
	Window time.Duration
	// SlowFactor is the factor over the long-term median above which the median
	// of the last second makes the whole service slow. The default is 2.
	SlowFactor float64
	// LongTerm is the time constant of the long-term median. The default is 5 min.
	LongTerm time.Duration
}

// DefaultSettings returns the defaults.
func DefaultSettings() Settings {
	return Settings{
		BudgetRatio:    0.05,
		Burst:          300,
		Quantile:       0.95,
		ScarceQuantile: 0.999,
		MinDelay:       time.Millisecond,
		MaxDelay:       time.Second,
		InitialDelay:   50 * time.Millisecond,
		MinSamples:     100,
		Window:         10 * time.Second,
		SlowFactor:     2,
		LongTerm:       5 * time.Minute,
	}
}

// Verdict is the answer to a sub-request that reached its delay.
type Verdict uint8

// Verdicts.
const (
	// Send allows one hedge. Its budget is spent.
	Send Verdict = iota
	// Wait asks for another Decide after Decision.Wait.
	Wait
	// Slow refuses because the whole service is slow: its recent median, or most
	// of the query's sub-requests.
	Slow
	// Exhausted refuses because the budget does not pay for all outstanding
	// sub-requests of the query.
	Exhausted
	// Off refuses because the budget ratio is zero.
	Off
)

// String returns the verdict's name for logs and metrics.
func (v Verdict) String() string {
	return [...]string{"send", "wait", "slow", "exhausted", "off"}[v]
}

// Progress describes a sub-request without an answer and its query.
type Progress struct {
	// Age is the time since the sub-request's primary attempt was sent.
	Age time.Duration
	// Fanout is the number of sub-requests of the query.
	Fanout int
	// Outstanding is the number of its sub-requests without an answer.
	Outstanding int
	// Repeated is set when an earlier Decide of this sub-request answered Slow or
	// Exhausted. Its age then counts only once for SlowService.
	Repeated bool
}

// Decision is the answer of Decide.
type Decision struct {
	Verdict Verdict
	// Wait is the time until the next Decide of this sub-request. For Wait it is
	// the rest of the delay. For Slow and Exhausted it is a time after which the
	// refusal may no longer hold.
	Wait time.Duration
}

// Package hedge decides when a sub-request is hedged, that is, sent a second time to another
// target, and whether the hedge budget allows it.
//
// Hedging after a quantile of the recent latency follows J. Dean and L. A. Barroso, "The Tail at
// Scale", CACM 56(2), 2013.
//
// A Tracker holds the recent latencies and the hedge budget of one service. All times are
// durations since an arbitrary origin that is the same for every call. A Tracker is not safe for
// concurrent use.
package hedge

import "time"

// Settings configures a Tracker.
type Settings struct {
	// BudgetRatio is the number of hedges allowed per primary attempt, from 0 to 1. Zero disables
	// hedging. The default is 0.05.
	BudgetRatio float64
	// Burst is the capacity of the budget: the largest number of hedges that can be sent at once.
	// The default of 300 covers 4 queries of 68 sub-requests.
	Burst float64
	// Quantile is the quantile of the recent latency after which a hedge is sent while the budget
	// is full. The default is 0.95.
	Quantile float64
	// EmptyBudgetQuantile replaces Quantile while the budget is empty, so that the last hedges go
	// to the slowest sub-requests. For a partly used budget the quantile is interpolated between
	// the two. The default is 0.999.
	EmptyBudgetQuantile float64
	// MinDelay and MaxDelay bound the hedge delay. The defaults are 1 ms and 1 s.
	MinDelay, MaxDelay time.Duration
	// InitialDelay is the hedge delay until MinSamples latencies have been recorded. The defaults
	// are 50 ms and 100 samples.
	InitialDelay time.Duration
	MinSamples   int64
	// Window is the length of the sliding window of recent latencies. The default is 10 s.
	Window time.Duration
	// SlowFactor defines a slow service: its median latency over the last second exceeds
	// SlowFactor times the long-term median. The default is 2.
	SlowFactor float64
	// LongTermTimeConstant is the time constant of the long-term median. The default is 5 min.
	LongTermTimeConstant time.Duration
}

// DefaultSettings returns the default settings.
func DefaultSettings() Settings {
	return Settings{
		BudgetRatio:          0.05,
		Burst:                300,
		Quantile:             0.95,
		EmptyBudgetQuantile:  0.999,
		MinDelay:             time.Millisecond,
		MaxDelay:             time.Second,
		InitialDelay:         50 * time.Millisecond,
		MinSamples:           100,
		Window:               10 * time.Second,
		SlowFactor:           2,
		LongTermTimeConstant: 5 * time.Minute,
	}
}

// Verdict says whether a sub-request that reached its hedge delay is hedged.
type Verdict uint8

// The verdicts of Tracker.Decide.
const (
	// Send allows one hedge. Decide has already taken it from the budget.
	Send Verdict = iota
	// Wait means that the delay has not elapsed; call Decide again after Decision.Wait.
	Wait
	// Slow denies the hedge because the whole service is slow, as shown by its recent median or by
	// most sub-requests of the query.
	Slow
	// Exhausted denies the hedge because the budget does not cover all outstanding sub-requests of
	// the query.
	Exhausted
	// Off denies the hedge because BudgetRatio is zero.
	Off
)

// String returns the name of the verdict for logs and metrics.
func (v Verdict) String() string {
	return [...]string{"send", "wait", "slow", "exhausted", "off"}[v]
}

// Progress describes an unanswered sub-request and the query that it belongs to.
type Progress struct {
	// Age is the time since the primary attempt of the sub-request was sent.
	Age time.Duration
	// Fanout is the number of sub-requests of the query.
	Fanout int
	// Outstanding is the number of unanswered sub-requests of the query.
	Outstanding int
	// PreviouslyDenied is set when an earlier Decide for this sub-request returned Slow or
	// Exhausted. It keeps SlowService from counting the sub-request twice.
	PreviouslyDenied bool
}

// Decision is the result of Tracker.Decide.
type Decision struct {
	Verdict Verdict
	// Wait is the time after which to call Decide again for this sub-request. For the verdict Wait
	// it is the rest of the delay. For Slow and Exhausted it is a time after which the denial may
	// no longer hold.
	Wait time.Duration
}

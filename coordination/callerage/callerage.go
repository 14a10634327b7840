// Package callerage estimates how long a caller has already waited when it makes a call, from
// the remaining time that it is willing to wait. After an outage, retrying callers double the
// demand, and those whose latency goal has passed would take capacity from callers who can
// still be answered in time.
//
// Most calls are first calls, which state the full time; a retry states what is left of it. The
// package starts no goroutines. It takes the time, on the monotonic clock of the process, as an
// argument. A Tracker is not safe for concurrent use.
package callerage

import (
	"slices"
	"time"
)

const (
	// maxCalls and maxCallAge bound the number and the age of the calls that an estimate uses.
	maxCalls   = 64
	maxCallAge = 10 * time.Second
	// smallSample is the number of calls up to which the longest wait is taken as that of a
	// first call. With more calls it is firstCallQuantile, because some callers wait longer
	// than others.
	smallSample       = 16
	firstCallQuantile = 0.75
	// refreshCalls is the number of calls after which the estimate is computed again.
	refreshCalls = 8
	// minWaited is the wait below which a call counts as a first call. Opening a connection and
	// different network distances cause smaller differences.
	minWaited = 12 * time.Millisecond
)

// Tracker holds the remaining waits stated by the callers of one service. Create it with New.
type Tracker struct {
	calls [maxCalls]call
	next  int
	// callsSinceEstimate counts the calls since fullWait was estimated.
	callsSinceEstimate int
	fullWait           time.Duration
}

type call struct {
	at, wait time.Duration
}

// New returns an empty Tracker.
func New() *Tracker { return &Tracker{} }

// RecordCall records a call with the given remaining wait and returns how long its caller has
// already waited. The result is zero for a first call or if it is unknown.
func (t *Tracker) RecordCall(now, wait time.Duration) time.Duration {
	if wait <= 0 {
		return 0
	}
	t.calls[t.next%maxCalls] = call{now, wait}
	t.next++
	t.callsSinceEstimate++
	if t.callsSinceEstimate >= refreshCalls || t.next <= smallSample {
		t.fullWait, t.callsSinceEstimate = t.estimateFullWait(now), 0
	}
	if waited := t.fullWait - wait; waited >= minWaited {
		return waited
	}
	return 0
}

// estimateFullWait returns the estimated wait that a first call states.
func (t *Tracker) estimateFullWait(now time.Duration) time.Duration {
	recent := make([]time.Duration, 0, maxCalls)
	for _, c := range t.calls[:min(t.next, maxCalls)] {
		if now-c.at < maxCallAge {
			recent = append(recent, c.wait)
		}
	}
	if len(recent) == 0 {
		return 0
	}
	if len(recent) <= smallSample {
		return slices.Max(recent)
	}
	slices.Sort(recent)
	return recent[int(firstCallQuantile*float64(len(recent)-1))]
}

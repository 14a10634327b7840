// Package callerage estimates how long a caller has waited before a call, from the time
// for which the caller says that it still waits. It answers the load of callers who come
// back: after an outage they double the demand, and those whose goal has passed would take
// the places of others who can still be answered in time.
//
// Most calls are first calls, which tell the whole time; a later one tells what is left of
// it. The package is pure: it takes the time, on the monotonic clock of the process, as an
// argument, starts nothing and locks nothing.
package callerage

import (
	"slices"
	"time"
)

const (
	// samples is the number of calls that are remembered, and period the time for which.
	samples = 64
	period  = 10 * time.Second
	// few is the number of calls up to which the longest time counts as that of a first
	// call. With more the quantile usual does: some callers are more patient.
	few   = 16
	usual = 0.75
	// refresh is the number of calls after which the usual time is derived anew.
	refresh = 8
	// resolution is the difference below which a call counts as a first one: callers
	// open connections and are at different distances.
	resolution = 12 * time.Millisecond
)

// Tracker holds the times that the callers of one service told. Create it with New.
type Tracker struct {
	calls [samples]call
	next  int
	// since counts the calls since whole was derived.
	since int
	whole time.Duration
}

type call struct {
	at, wait time.Duration
}

// New returns a tracker without calls.
func New() *Tracker { return &Tracker{} }

// Waited records a call whose caller still waits for the given time and returns how long
// it has waited, zero for a first call or when it is not known.
func (t *Tracker) Waited(now, wait time.Duration) time.Duration {
	if wait <= 0 {
		return 0
	}
	t.calls[t.next%samples] = call{now, wait}
	t.next++
	t.since++
	if t.since >= refresh || t.next <= few {
		t.whole, t.since = t.derive(now), 0
	}
	if waited := t.whole - wait; waited >= resolution {
		return waited
	}
	return 0
}

// derive returns the time that a first call tells.
func (t *Tracker) derive(now time.Duration) time.Duration {
	recent := make([]time.Duration, 0, samples)
	for _, c := range t.calls[:min(t.next, samples)] {
		if now-c.at < period {
			recent = append(recent, c.wait)
		}
	}
	if len(recent) == 0 {
		return 0
	}
	if len(recent) <= few {
		return slices.Max(recent)
	}
	slices.Sort(recent)
	return recent[int(usual*float64(len(recent)-1))]
}

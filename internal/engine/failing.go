package engine

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/balsamstall/balsamstall/coordination/failing"
	"github.com/balsamstall/balsamstall/protocol/status"
)

// failingSet holds the targets on which attempts recently failed after they were sent, from this
// entry or from a peer. It is safe for concurrent use.
type failingSet struct {
	// count is the number of targets, read first to avoid the lock while there are none.
	count atomic.Int64

	mu sync.RWMutex
	// set is guarded by mu.
	set *failing.Set
}

func newFailingSet() *failingSet { return &failingSet{set: failing.NewSet()} }

// record adds a report and returns true if the target was not marked as failing before.
func (f *failingSet) record(r failing.Report, now time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	isNew := f.set.Record(r, now)
	f.count.Store(int64(f.set.Len()))
	return isNew
}

func (f *failingSet) has(target string, now time.Duration) bool {
	if f.count.Load() == 0 {
		return false
	}
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.set.Has(target, now)
}

func (f *failingSet) reports(now time.Duration) []failing.Report {
	if f.count.Load() == 0 {
		return nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	reports := f.set.Reports(now)
	f.count.Store(int64(f.set.Len()))
	return reports
}

// FailingTargets returns the targets on which attempts recently failed, for sending to peers.
func (e *Engine) FailingTargets() []failing.Report { return e.failing.reports(e.self.Clock()) }

// MergeFailingReport merges a peer's report of a failing target.
func (e *Engine) MergeFailingReport(peer string, r failing.Report) {
	if !e.failing.record(r, e.self.Clock()) {
		return
	}
	e.metrics.FailingTargets.Add(1)
	e.targetEventLog.Info().Str("target", r.Target).Str("peer", peer).Int64("age_ms", r.Age.Milliseconds()).
		Msg("target marked as failing")
}

// recordBrokenAttempt records a target whose connection broke after an attempt was sent, or whose
// reply did not end before the size limit. Peers learn of it with the next exchange. A connection
// that could not be opened is ignored: its retry is not charged to the budget, and reporting it to
// peers did not help under the users' workloads.
func (e *Engine) recordBrokenAttempt(target, requestID string, err error) {
	se := status.From(err)
	if se == nil || se.Outcome != status.Unknown || se.Code != status.ConnectionFailed && se.Code != status.TooLarge {
		return
	}
	if e.failing.record(failing.Report{Target: target}, e.self.Clock()) {
		e.targetEventLog.Info().Str("target", target).Str("request_id", requestID).Msg("target marked as failing")
	}
}

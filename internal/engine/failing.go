package engine

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/balsamstall/balsamstall/coordination/failing"
	"github.com/balsamstall/balsamstall/protocol/status"
)

// failingSet is what this entry and its peers know of targets that broke off attempts.
// It is safe for concurrent use.
type failingSet struct {
	// some is the number of targets, read first to spare the lock on calm days.
	some atomic.Int64

	mu sync.RWMutex
	// set is guarded by mu.
	set *failing.Set
}

func newFailingSet() *failingSet { return &failingSet{set: failing.NewSet()} }

func (f *failingSet) learn(r failing.Report, now time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	fresh := f.set.Record(r, now)
	f.some.Store(int64(f.set.Len()))
	return fresh
}

func (f *failingSet) has(target string, now time.Duration) bool {
	if f.some.Load() == 0 {
		return false
	}
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.set.Has(target, now)
}

func (f *failingSet) reports(now time.Duration) []failing.Report {
	if f.some.Load() == 0 {
		return nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	reports := f.set.Reports(now)
	f.some.Store(int64(f.set.Len()))
	return reports
}

// FailingTargets returns the targets that broke off attempts lately, for peers.
func (e *Engine) FailingTargets() []failing.Report { return e.failing.reports(e.self.Clock()) }

// LearnFailing takes what a peer knows about a target that broke off an attempt.
func (e *Engine) LearnFailing(peer string, r failing.Report) {
	if !e.failing.learn(r, e.self.Clock()) {
		return
	}
	e.metrics.FailingTargets.Add(1)
	e.beliefs.Info().Str("target", r.Target).Str("peer", peer).Int64("age_ms", r.Age.Milliseconds()).
		Msg("target counts as failing")
}

// noteBrokenOff records a target that broke off an attempt after it was sent, or whose
// reply had no end. Peers
// learn of it with the next exchange. A connection that could not be opened is left
// out: it is not repeated at the expense of the budget, and telling peers of it did not
// help on the users' days.
func (e *Engine) noteBrokenOff(target, requestID string, err error) {
	se := status.From(err)
	if se == nil || se.Outcome != status.Unknown || se.Code != status.ConnectionFailed && se.Code != status.TooLarge {
		return
	}
	if e.failing.learn(failing.Report{Target: target}, e.self.Clock()) {
		e.beliefs.Info().Str("target", target).Str("request_id", requestID).Msg("target counts as failing")
	}
}

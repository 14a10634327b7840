package engine

import (
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/balsamstall/balsamstall/coordination/failing"
	"github.com/balsamstall/balsamstall/protocol/status"
)

const (
	// failingPushInterval is the mean interval between pushes of failing targets to peers, and
	// maxFailingPushes the number that may follow each other at once. A push is 3 messages of at most
	// 1.2 KB of failing targets, of the 11 KB/s that an entry may use.
	failingPushInterval = 500 * time.Millisecond
	maxFailingPushes    = 4
	// minPushedExtension is the time by which a peer's report must extend a mark to be passed on at
	// once. Smaller extensions reach the others with the exchanges.
	minPushedExtension = failing.TTL / 2
)

// failingSet holds the targets on which attempts recently failed after they were sent, from this
// entry or from a peer. It is safe for concurrent use.
type failingSet struct {
	// count is the number of targets, read first to avoid the lock while there are none.
	count atomic.Int64

	mu sync.RWMutex
	// set is guarded by mu.
	set *failing.Set
	// errorReplies is guarded by mu.
	errorReplies *failing.ErrorReplies
	// pending is the number of requests that errorReplies waits for, read first to avoid the lock
	// while there are none.
	pending atomic.Int64
	// pushes limits the pushes to peers.
	pushes *rate.Limiter
}

func newFailingSet() *failingSet {
	return &failingSet{set: failing.NewSet(), errorReplies: failing.NewErrorReplies(), pushes: rate.NewLimiter(rate.Every(failingPushInterval), maxFailingPushes)}
}

// record adds a report and returns true if the target was not marked as failing before. extension is
// the time by which the report extends the mark.
func (f *failingSet) record(r failing.Report, now time.Duration) (isNew bool, extension time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	before := f.set.Remaining(r.Target, now)
	isNew = f.set.Record(r, now)
	f.count.Store(int64(f.set.Len()))
	return isNew, f.set.Remaining(r.Target, now) - before
}

// recordReply records whether a target answered a request with an error. It returns the report that
// follows from it, and false if there is none.
func (f *failingSet) recordReply(r failing.Request, target string, isError bool, now time.Duration) (failing.Report, bool) {
	if !isError && f.pending.Load() == 0 {
		return failing.Report{}, false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	defer func() { f.pending.Store(int64(f.errorReplies.Pending())) }()
	if isError {
		return f.errorReplies.RecordError(r, target, now)
	}
	return f.errorReplies.RecordAnswer(r, target, now)
}

func (f *failingSet) recordPeerReport(target string, now time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.errorReplies.RecordReport(target, now)
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

// MergeFailingReport merges a peer's report of a failing target, and passes it on at once if the target
// was not marked as failing before.
func (e *Engine) MergeFailingReport(peer string, r failing.Report) {
	now := e.self.Clock()
	isNew, extension := e.failing.record(r, now)
	if isNew || extension >= minPushedExtension {
		e.pushFailing()
	}
	if !isNew {
		return
	}
	e.failing.recordPeerReport(r.Target, now)
	e.metrics.FailingTargets.Add(1)
	e.targetEventLog.Info().Str("target", r.Target).Str("peer", peer).Int64("age_ms", r.Age.Milliseconds()).
		Msg("target marked as failing")
}

// pushFailing sends the failing targets to peers at once, at a limited rate. Beyond it they reach the
// peers with the exchanges.
func (e *Engine) pushFailing() {
	if e.failing.pushes.Allow() {
		e.notifyPeers()
	}
}

// recordAttemptEnd records a target whose connection broke after an attempt was sent, whose reply did
// not end before the size limit, or that replied with an error. A connection that could not be opened
// is ignored: its retry is not charged to the budget, and reporting it to peers did not help under
// the users' workloads. Peers learn of error replies at once and of the others with the next exchange.
func (e *Engine) recordAttemptEnd(req *Request, a *Attempt, err error) {
	now := e.self.Clock()
	report, push := failing.Report{Target: a.Target}, false
	switch isError := targetFailed(err); {
	case err == nil || isError:
		report, push = e.failing.recordReply(failing.Request{Fingerprint: req.Fingerprint, Shard: a.Shard}, a.Target, isError, now)
		switch {
		case isError && !push:
			e.metrics.ErrorReplies.Add("request", 1)
		case isError && report.Age > 0:
			e.metrics.ErrorReplies.Add("first", 1)
		case isError:
			e.metrics.ErrorReplies.Add("confirmed", 1)
		case push:
			e.metrics.ErrorReplies.Add("answered_elsewhere", 1)
		}
		if !push {
			return
		}
	case !isBroken(err):
		return
	}
	isNew, _ := e.failing.record(report, now)
	if push {
		e.pushFailing()
	}
	if isNew {
		e.targetEventLog.Info().Str("target", report.Target).Str("request_id", req.ID).Int64("age_ms", report.Age.Milliseconds()).
			Msg("target marked as failing")
	}
}

// isBroken reports whether a connection broke after an attempt was sent, or the reply did not end
// before the size limit.
func isBroken(err error) bool {
	se := status.From(err)
	return se != nil && se.Outcome == status.Unknown && (se.Code == status.ConnectionFailed || se.Code == status.TooLarge)
}

// targetFailed reports whether an attempt ended with a reply that states a failure of the target, and
// whose outcome is unknown.
func targetFailed(err error) bool {
	if err == nil || status.From(err).Outcome != status.Unknown {
		return false
	}
	var reply interface{ TargetFailed() bool }
	return errors.As(err, &reply) && reply.TargetFailed()
}

package engine

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/balsamstall/balsamstall/coordination/notice"
	"github.com/balsamstall/balsamstall/protocol/status"
)

// LeavingPeriod is the time for which a target counts as leaving after the last
// evidence other than its own word. It exceeds the lag of the host list, so that a list
// which still names the target as live does not bring work back to it.
const LeavingPeriod = 30 * time.Second

// notices holds what targets said about new work, and what else shows that they leave.
// It is safe for concurrent use.
type notices struct {
	// some is the number of entries, read first to spare the lock on calm days.
	some atomic.Int64

	mu sync.RWMutex
	// leaving and holdOffs are guarded by mu.
	leaving  *notice.Leaving
	holdOffs *notice.HoldOffs
	// started holds the starts of the listed targets. Guarded by mu.
	started map[string]int64
}

func newNotices() *notices {
	return &notices{leaving: notice.NewLeaving(), holdOffs: notice.NewHoldOffs()}
}

// change calls f with the lock held.
func (n *notices) change(f func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f()
	n.some.Store(int64(n.leaving.Len() + n.holdOffs.Len()))
}

// closedUntil returns the time until which a target gets no new work, as far as it is
// known, and true while it gets none.
func (n *notices) closedUntil(target string, now time.Duration) (until time.Duration, closed bool) {
	if n.some.Load() == 0 {
		return 0, false
	}
	n.mu.RLock()
	defer n.mu.RUnlock()
	if n.leaving.Has(target, now) {
		return 0, true
	}
	until = n.holdOffs.Until(target, now)
	return until, until > 0
}

func (n *notices) closed(target string, now time.Duration) bool {
	_, closed := n.closedUntil(target, now)
	return closed
}

// leaves reports whether a target is leaving.
func (n *notices) leaves(target string, now time.Duration) bool {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return n.leaving.Has(target, now)
}

// setListed tells which targets the catalogue has.
func (n *notices) setListed(targets []CatalogueTarget, now time.Duration) {
	started := make(map[string]int64, len(targets))
	for i := range targets {
		started[targets[i].ID] = targets[i].Started
	}
	n.change(func() {
		n.started = started
		n.leaving.SetListed(started, now)
		n.holdOffs.SetListed(started)
	})
}

// usable reports whether a target may get new work.
func (e *Engine) usable(target string) bool { return !e.notices.closed(target, e.self.Clock()) }

// MarkLeaving records evidence that a target is leaving, which holds for the given time.
func (e *Engine) MarkLeaving(target string, period time.Duration) {
	e.markLeaving(notice.Target{ID: target}, period)
}

func (e *Engine) markLeaving(t notice.Target, period time.Duration) {
	now := e.self.Clock()
	fresh := false
	e.notices.change(func() { fresh = e.notices.leaving.MarkUntil(t, now, now+period) })
	if fresh {
		e.metrics.LeavingTargets.Add(1)
		e.spread()
		e.log.Info().Str("target", t.ID).Msg("target is leaving; it gets no new work")
	}
}

// StateLeaving records the word of a target, in an answer to a request, that it leaves.
func (e *Engine) StateLeaving(target, requestID string) {
	e.stateLeaving(notice.Target{ID: target}, requestID, "")
}

// LearnLeaving takes what a peer knows of a leaving target.
func (e *Engine) LearnLeaving(peer string, r notice.Report) {
	if r.Stated {
		e.stateLeaving(r.Target, "", peer)
	} else if r.Remaining > 0 {
		e.markLeaving(r.Target, min(r.Remaining, LeavingPeriod))
	}
}

func (e *Engine) stateLeaving(t notice.Target, requestID, peer string) {
	fresh := false
	e.notices.change(func() { fresh = e.notices.leaving.MarkStated(t) })
	if !fresh {
		return
	}
	e.metrics.LeavingTargets.Add(1)
	e.spread()
	line := e.log.Info().Str("target", t.ID)
	if requestID != "" {
		line.Str("request_id", requestID)
	}
	if peer != "" {
		line.Str("peer", peer)
	}
	line.Msg("target says that it leaves; it gets no new work")
}

// HoldOff records that a target, in a refusal of a request, asked for a time without new
// work.
func (e *Engine) HoldOff(target, requestID string, length time.Duration) {
	now := e.self.Clock()
	var until time.Duration
	e.notices.change(func() {
		until = e.notices.holdOffs.Record(notice.Target{ID: target, Started: e.notices.started[target]}, now, length)
	})
	e.metrics.HoldOffs.Add(1)
	e.beliefs.Info().Str("target", target).Str("request_id", requestID).Int64("asked_ms", length.Milliseconds()).
		Int64("hold_off_ms", (until - now).Milliseconds()).Msg("target asks for time; it gets no new work meanwhile")
}

// MaySend returns an error with the outcome NotRun for a target that must get no new
// work. It is asked once more when an attempt has its connection: the target may have
// closed while the attempt waited.
func (e *Engine) MaySend(target string) error {
	if !e.notices.closed(target, e.self.Clock()) {
		return nil
	}
	return status.New(status.NoReplica, status.NotRun, "target %s gets no new work", target)
}

// LeavingTargets returns the targets that get no new work because they leave.
func (e *Engine) LeavingTargets() []notice.Report {
	e.notices.mu.RLock()
	defer e.notices.mu.RUnlock()
	return e.notices.leaving.Reports(e.self.Clock(), LeavingPeriod)
}

// StatedLeaving returns those targets of some groups that said that they leave.
func (e *Engine) StatedLeaving(groups [][]string) []notice.Target {
	if e.notices.some.Load() == 0 {
		return nil
	}
	e.notices.mu.RLock()
	defer e.notices.mu.RUnlock()
	var stated []notice.Target
	for _, targets := range groups {
		stated = append(stated, e.notices.leaving.Stated(targets)...)
	}
	return stated
}

// Leaving reports whether a target is leaving.
func (e *Engine) Leaving(target string) bool { return e.notices.leaves(target, e.self.Clock()) }

// Expire forgets notices that have ended.
func (e *Engine) Expire() {
	now := e.self.Clock()
	e.notices.change(func() {
		e.notices.leaving.Expire(now)
		e.notices.holdOffs.Expire(now)
	})
}

// noteFailure takes other evidence of a target that it is leaving, and logs replies that
// belong to another attempt.
func (e *Engine) noteFailure(target, requestID string, err error) {
	switch status.CodeOf(err) {
	case status.Draining:
		e.MarkLeaving(target, LeavingPeriod)
	case status.ReplyMismatch:
		e.log.Warn().Str("target", target).Str("request_id", requestID).Err(err).Msg("reply dropped; its connection is closed")
	}
}

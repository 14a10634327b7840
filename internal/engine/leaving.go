package engine

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/balsamstall/balsamstall/coordination/notice"
	"github.com/balsamstall/balsamstall/protocol/status"
)

// LeavingPeriod is the time for which a target counts as leaving after the last evidence other than
// its own statement. It exceeds the lag of the host list, so that a list which still names the target
// as live does not bring work back to it.
const LeavingPeriod = 30 * time.Second

// notices holds the targets that get no new work: those that are leaving, those that asked for a
// hold-off, which is a time without new work, and those of evacuated zones. It is safe for concurrent use.
type notices struct {
	// count is the number of notices, read first to avoid the lock while there are none.
	count atomic.Int64

	mu sync.RWMutex
	// leaving and holdOffs are guarded by mu.
	leaving  *notice.Leaving
	holdOffs *notice.HoldOffs
	// started holds the start times of the listed targets in Unix milliseconds. Guarded by mu.
	started map[string]int64
	// evacuated maps the targets of evacuated zones to their zones, zones the targets of the catalogue. Guarded
	// by mu.
	evacuated, zones map[string]string
	// listedLeaving holds the targets that the current list states as leaving. Requests that arrived under an
	// earlier list may still choose them. Guarded by mu.
	listedLeaving map[string]bool
	// evacuatedZones lists the evacuated zones. The slice is replaced, not changed. Guarded by mu.
	evacuatedZones []string
}

func newNotices() *notices {
	return &notices{leaving: notice.NewLeaving(), holdOffs: notice.NewHoldOffs()}
}

// update calls f with the lock held and updates count.
func (n *notices) update(f func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f()
	n.count.Store(int64(n.leaving.Len() + n.holdOffs.Len() + len(n.evacuated) + len(n.listedLeaving)))
}

// blockedUntil reports whether a target currently gets no new work, and why, and until when, zero if unknown.
func (n *notices) blockedUntil(target string, now time.Duration) (until time.Duration, reason restrictionReason, blocked bool) {
	if n.count.Load() == 0 {
		return 0, "", false
	}
	n.mu.RLock()
	defer n.mu.RUnlock()
	if n.evacuated[target] != "" {
		return 0, restrictedEvacuated, true
	}
	if n.listedLeaving[target] || n.leaving.Has(target, now) {
		return 0, restrictedLeaving, true
	}
	if until = n.holdOffs.Until(target, now); until > 0 {
		return until, restrictedHoldOff, true
	}
	return 0, "", false
}

// isLeaving reports whether a target is leaving.
func (n *notices) isLeaving(target string, now time.Duration) bool {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return n.leaving.Has(target, now)
}

// setListed replaces the targets and the evacuated zones of the catalogue. It returns the zones that were evacuated
// before.
func (n *notices) setListed(c *Catalogue, now time.Duration) (evacuatedBefore []string) {
	started, zones := startTimes(c.Targets), targetZones(c.Targets)
	n.update(func() {
		evacuatedBefore, n.evacuatedZones = n.evacuatedZones, c.EvacuatedZones
		n.started = started
		n.setZones(zones, c.EvacuatedZones)
		n.listedLeaving = leavingTargets(c.Targets)
		n.leaving.SetListed(started, now)
		n.holdOffs.SetListed(started)
	})
	return evacuatedBefore
}

// startTimes returns the start times of the targets in Unix milliseconds.
func startTimes(targets []CatalogueTarget) map[string]int64 {
	started := make(map[string]int64, len(targets))
	for i := range targets {
		started[targets[i].ID] = targets[i].Started
	}
	return started
}

// leavingTargets returns the targets that are listed as leaving.
func leavingTargets(targets []CatalogueTarget) map[string]bool {
	leaving := make(map[string]bool)
	for i := range targets {
		if targets[i].Leaving {
			leaving[targets[i].ID] = true
		}
	}
	return leaving
}

// targetZones returns the zones of the targets.
func targetZones(targets []CatalogueTarget) map[string]string {
	zones := make(map[string]string, len(targets))
	for i := range targets {
		zones[targets[i].ID] = targets[i].Zone
	}
	return zones
}

// MarkLeaving records evidence that a target is leaving, valid for the given period.
func (e *Engine) MarkLeaving(target string, period time.Duration) {
	e.markLeaving(notice.Target{ID: target}, period)
}

func (e *Engine) markLeaving(t notice.Target, period time.Duration) {
	now := e.self.Clock()
	isNew := false
	e.notices.update(func() { isNew = e.notices.leaving.MarkUntil(t, now, now+period) })
	if isNew {
		e.metrics.LeavingTargets.Add(1)
		e.notifyPeers()
		e.log.Info().Str("target", t.ID).Msg("target is leaving; it gets no new work")
	}
}

// RecordStatedLeaving records that a target stated, in the answer to a request, that it is leaving.
func (e *Engine) RecordStatedLeaving(target, requestID string) {
	e.recordStatedLeaving(notice.Target{ID: target}, requestID, "")
}

// MergeLeavingReport merges a peer's report of a leaving target.
func (e *Engine) MergeLeavingReport(peer string, r notice.Report) {
	if r.Stated {
		e.recordStatedLeaving(r.Target, "", peer)
	} else if r.Remaining > 0 {
		e.markLeaving(r.Target, min(r.Remaining, LeavingPeriod))
	}
}

func (e *Engine) recordStatedLeaving(t notice.Target, requestID, peer string) {
	isNew := false
	e.notices.update(func() { isNew = e.notices.leaving.MarkStated(t) })
	if !isNew {
		return
	}
	e.metrics.LeavingTargets.Add(1)
	e.notifyPeers()
	event := e.log.Info().Str("target", t.ID)
	if requestID != "" {
		event.Str("request_id", requestID)
	}
	if peer != "" {
		event.Str("peer", peer)
	}
	event.Msg("target stated that it is leaving; it gets no new work")
}

// RecordHoldOff records that a target, in the refusal of a request, asked for a hold-off: a time
// without new work.
func (e *Engine) RecordHoldOff(target, requestID string, length time.Duration) {
	now := e.self.Clock()
	var until time.Duration
	e.notices.update(func() {
		until = e.notices.holdOffs.Record(notice.Target{ID: target, Started: e.notices.started[target]}, now, length)
	})
	e.metrics.HoldOffs.Add(1)
	e.targetEventLog.Info().Str("target", target).Str("request_id", requestID).Int64("asked_ms", length.Milliseconds()).
		Int64("hold_off_ms", (until - now).Milliseconds()).Msg("target asked for a hold-off; it gets no new work until it ends")
}

// LeavingTargets returns the targets that get no new work because they are leaving.
func (e *Engine) LeavingTargets() []notice.Report {
	e.notices.mu.RLock()
	defer e.notices.mu.RUnlock()
	return e.notices.leaving.Reports(e.self.Clock(), LeavingPeriod)
}

// StatedLeaving returns those targets of the groups that stated that they are leaving.
func (e *Engine) StatedLeaving(groups [][]string) []notice.Target {
	if e.notices.count.Load() == 0 {
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

// IsLeaving reports whether a target is leaving.
func (e *Engine) IsLeaving(target string) bool { return e.notices.isLeaving(target, e.self.Clock()) }

// ExpireNotices removes the notices and rate limits that have ended. It is called periodically.
func (e *Engine) ExpireNotices() {
	now := e.self.Clock()
	e.notices.update(func() {
		e.notices.leaving.Expire(now)
		e.notices.holdOffs.Expire(now)
	})
	e.rateLimits.Maintain()
}

// recordAttemptError marks a target as leaving when it refused an attempt because it drains, and logs
// replies that belong to another attempt.
func (e *Engine) recordAttemptError(target, requestID string, err error) {
	switch status.CodeOf(err) {
	case status.Draining:
		e.MarkLeaving(target, LeavingPeriod)
	case status.ReplyMismatch:
		e.log.Warn().Str("target", target).Str("request_id", requestID).Err(err).Msg("mismatched reply dropped; its connection is closed")
	}
}

package engine

import (
	"sync"
	"time"

	"github.com/balsamstall/balsamstall/protocol/status"
)

// LeavingPeriod is the time for which a target counts as leaving after the last
// evidence. It exceeds the lag of the host list, so that a list which still
// names the target as live does not bring work back to it.
const LeavingPeriod = 30 * time.Second

// leavingSet holds the targets that get no new work. It is safe for concurrent
// use.
type leavingSet struct {
	mu sync.RWMutex
	// until holds the end of the period by target. Guarded by mu.
	until map[string]time.Duration
}

func newLeavingSet() *leavingSet { return &leavingSet{until: make(map[string]time.Duration)} }

// has reports whether a target is leaving at now.
func (l *leavingSet) has(target string, now time.Duration) bool {
	l.mu.RLock()
	defer l.mu.RUnlock()
	if len(l.until) == 0 {
		return false
	}
	return now < l.until[target]
}

// mark records evidence that holds until the given time. It reports whether the
// target was not known to be leaving.
func (l *leavingSet) mark(target string, now, until time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	before := l.until[target]
	l.until[target] = max(before, until)
	return now >= before
}

// expire drops the targets whose period has passed.
func (l *leavingSet) expire(now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for target, until := range l.until {
		if now >= until {
			delete(l.until, target)
		}
	}
}

// remaining returns the leaving targets and the time left for each.
func (l *leavingSet) remaining(now time.Duration) map[string]time.Duration {
	l.mu.RLock()
	defer l.mu.RUnlock()
	out := make(map[string]time.Duration, len(l.until))
	for target, until := range l.until {
		if until > now {
			out[target] = until - now
		}
	}
	return out
}

// usable reports whether a target may get new work.
func (e *Engine) usable(target string) bool { return !e.leaving.has(target, e.self.Clock()) }

// MarkLeaving records that a target is leaving for the given time.
func (e *Engine) MarkLeaving(target string, period time.Duration) {
	now := e.self.Clock()
	if e.leaving.mark(target, now, now+period) {
		e.metrics.LeavingTargets.Add(1)
		e.spread()
		e.log.Info().Str("target", target).Msg("target is leaving; it gets no new work")
	}
}

// noteFailure takes a target's own word that it is leaving, and logs replies
// that belong to another attempt.
func (e *Engine) noteFailure(target, requestID string, err error) {
	switch status.CodeOf(err) {
	case status.Draining:
		e.MarkLeaving(target, LeavingPeriod)
	case status.ReplyMismatch:
		e.log.Warn().Str("target", target).Str("request_id", requestID).Err(err).Msg("reply dropped; its connection is closed")
	}
}

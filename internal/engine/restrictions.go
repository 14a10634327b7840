package engine

import (
	"time"

	"github.com/balsamstall/balsamstall/internal/targetrate"
	"github.com/balsamstall/balsamstall/protocol/status"
)

// restrictionReason says why a target gets no request.
type restrictionReason string

// Restriction reasons.
const (
	restrictedEvacuated   restrictionReason = "evacuated"
	restrictedLeaving     restrictionReason = "leaving"
	restrictedHoldOff     restrictionReason = "hold_off"
	restrictedRateLimit   restrictionReason = "rate_limit"
	restrictedUnreachable restrictionReason = "unreachable_zone"
)

// holdsForAnyRank reports whether checkAnyRank states the restriction.
func (r restrictionReason) holdsForAnyRank() bool {
	return r == restrictedEvacuated || r == restrictedLeaving || r == restrictedHoldOff
}

// restrictions tells which targets may get requests according to everything that is stated about them: by the
// platform, by the targets themselves, by peers, and by failed attempts at their zones. A new rule adds a source
// here. It is safe for concurrent use.
type restrictions struct {
	notices    *notices
	rateLimits *targetrate.Limiter
	// zones is nil if the load policies are off.
	zones *zoneSet
}

// check reports whether a target of a zone may get no request of a rank now, and why, and until when, zero if
// unknown.
func (r *restrictions) check(target, zone string, rank int, now time.Duration) (until time.Duration, reason restrictionReason, blocked bool) {
	if until, reason, blocked = r.checkAnyRank(target, now); blocked {
		return until, reason, true
	}
	if wait, limited := r.rateLimits.Availability(target, rank); limited {
		return now + wait, restrictedRateLimit, true
	}
	if r.zones != nil && r.zones.unreachable(zone) {
		return 0, restrictedUnreachable, true
	}
	return 0, "", false
}

// checkAnyRank is check for the restrictions that hold for requests of every rank, also while no other target is
// left. An unreachable zone is none of them: whether its targets may be tried depends on the request.
func (r *restrictions) checkAnyRank(target string, now time.Duration) (until time.Duration, reason restrictionReason, blocked bool) {
	return r.notices.blockedUntil(target, now)
}

// usable reports whether a target may get new work.
func (e *Engine) usable(target string) bool {
	_, _, blocked := e.restrictions.checkAnyRank(target, e.self.Clock())
	return !blocked
}

// MaySend returns an error with the outcome NotRun if the target must get no new work, or if its rate
// limit allows no more. It is called when an attempt has obtained its connection, because the target
// may have stopped accepting work, or announced a limit, while the attempt waited.
func (e *Engine) MaySend(target string) error {
	if _, reason, blocked := e.restrictions.checkAnyRank(target, e.self.Clock()); blocked {
		if reason == restrictedEvacuated {
			e.metrics.EvacuationMoved.Add(1)
		}
		return status.New(status.NoReplica, status.NotRun, "target %s gets no new work: %s", target, reason)
	}
	if !e.rateLimits.Admit(target) {
		return status.New(status.NoReplica, status.NotRun, "target %s announced a rate limit since it was chosen", target)
	}
	return nil
}

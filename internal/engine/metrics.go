package engine

import (
	"expvar"

	"github.com/balsamstall/balsamstall/internal/targetrate"
	"github.com/balsamstall/balsamstall/protocol/status"
)

// Metrics holds the counters of an engine.
type Metrics struct {
	// Attempts counts ended attempts by code; "ok" stands for a reply.
	Attempts expvar.Map
	// Hedges counts hedges: additional attempts at another target.
	Hedges expvar.Int
	// Crashes counts attempts that coincided with a crash of their target.
	Crashes expvar.Int
	// LeavingTargets counts targets that were detected to be leaving.
	LeavingTargets expvar.Int
	// EvacuatedZones is the number of evacuated zones.
	EvacuatedZones expvar.Int
	// EvacuationMoved counts attempts that were refused when they had their connection, because the zone of
	// their target had been evacuated since the target was chosen.
	EvacuationMoved expvar.Int
	// UnreachableZones counts zones that were detected to be unreachable.
	UnreachableZones expvar.Int
	// Detached is 1 while this entry reaches no target although its peers do, and 0 otherwise.
	Detached expvar.Int
	// HoldOffs counts refusals in which a target asked for a time without new work.
	HoldOffs expvar.Int
	// ShardsLeftOut counts sub-requests that were not sent because other requests need their shard.
	ShardsLeftOut expvar.Int
	// ShardRejections counts requests that were rejected before anything was sent because too few shards
	// took them, by reason and priority.
	ShardRejections expvar.Map
	// RateLimits counts the rate limits of targets.
	RateLimits targetrate.Metrics
	// FailingTargets counts targets that were marked as failing because of a peer's report.
	FailingTargets expvar.Int
	// ErrorReplies counts the replies with which targets stated a failure: "first" and "confirmed" marked
	// the target as failing, "request" did not because the request is at fault. "answered_elsewhere"
	// counts those of the first kind whose request another target answered.
	ErrorReplies expvar.Map
	// LoadReports counts the loads that targets reported in replies, "valid" or "invalid".
	LoadReports expvar.Map
	// Pauses counts pauses of the process.
	Pauses expvar.Int
	// Violations counts violated invariants by name. Any nonzero value indicates a bug.
	Violations expvar.Map
}

func (m *Metrics) countAttempt(err error) {
	code := string(status.CodeOf(err))
	if code == "" {
		code = "ok"
	}
	m.Attempts.Add(code, 1)
}

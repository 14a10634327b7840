// Package engine runs requests: it admits, scatters, hedges, retries, stops
// waiting and derives the outcome. It knows neither the protocol of callers nor
// that of targets; those are behind Work. The decisions are made by the packages
// under coordination.
package engine

import (
	"cmp"
	"context"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/balsamstall/balsamstall/coordination/admission"
	"github.com/balsamstall/balsamstall/coordination/pause"
	"github.com/balsamstall/balsamstall/coordination/quarantine"
	"github.com/balsamstall/balsamstall/protocol/adminapi"
	"github.com/balsamstall/balsamstall/protocol/ids"
	"github.com/balsamstall/balsamstall/protocol/targetapi"
	"github.com/balsamstall/balsamstall/state/audit"
)

// DefaultRetryAfter is recommended when no better estimate exists.
const DefaultRetryAfter = 200 * time.Millisecond

// Identity names this process.
type Identity struct {
	Entry       string
	Zone        string
	Incarnation ids.Incarnation
	// Start is the origin of the clock that permits and the journal use.
	Start time.Time
}

// Clock returns the monotonic time since the start of the process.
func (i Identity) Clock() time.Duration { return time.Since(i.Start) }

// Connections is what the engine needs of the connections to targets.
type Connections interface {
	// Reachable reports whether a new connection to the target can be opened.
	Reachable(ctx context.Context, target string) bool
	// DropIdle closes idle connections after a pause of the process.
	DropIdle()
}

// Config holds the parts of an engine.
type Config struct {
	Self    Identity
	Log     zerolog.Logger
	Targets Connections
	// GuardKey is the secret of the fingerprints of requests.
	GuardKey []byte
	// PolicyOn turns the load policies on.
	PolicyOn bool
	Metrics  *Metrics
	// RequestLines bounds the lines about requests a second. Zero selects
	// DefaultRequestLines.
	RequestLines uint32
	// Spread tells peers of new facts at once. It must not block and may be nil.
	Spread func()
	// Verify checks documents and leaving targets with peers after a pause of the
	// process. It may be nil.
	Verify func()
	// Audit may be nil.
	Audit *audit.Trail
}

// Engine runs requests. All methods are safe for concurrent use.
type Engine struct {
	self    Identity
	log     zerolog.Logger
	targets Connections
	policy  policy
	// guard is nil when the load policies are off.
	guard   *crashGuard
	lone    *loneRuns
	notices *notices
	failing *failingSet
	zones   *zoneSet
	spread  func()
	verify  func()
	audit   *audit.Trail
	pause   *pauseGuard
	// lateWaiting counts the requests of late callers that wait for places.
	lateWaiting atomic.Int64
	metrics     *Metrics
	// requests logs requests, with a bounded rate.
	requests zerolog.Logger
	// beliefs logs what peers made this entry believe, with a bounded rate.
	beliefs zerolog.Logger
}

// New returns an engine without services.
func New(cfg Config) *Engine {
	notices, failing, zones := newNotices(), newFailingSet(), newZoneSet()
	if cfg.Spread == nil {
		cfg.Spread = func() {}
	}
	if cfg.Verify == nil {
		cfg.Verify = func() {}
	}
	if cfg.Audit == nil {
		cfg.Audit = audit.New(zerolog.Nop())
	}
	var p policy = &baseline{self: cfg.Self, notices: notices}
	var guard *crashGuard
	if cfg.PolicyOn {
		p = newLoaded(cfg.Self, notices, failing, zones)
		guard = newCrashGuard(cfg.Self, cfg.GuardKey)
	}
	e := &Engine{
		self:    cfg.Self,
		log:     cfg.Log,
		targets: cfg.Targets,
		policy:  p,
		guard:   guard,
		lone:    newLoneRuns(cfg.Self.Entry),
		notices: notices,
		failing: failing,
		zones:   zones,
		metrics: cfg.Metrics,
		spread:  cfg.Spread,
		verify:  cfg.Verify,
		audit:   cfg.Audit,
	}
	e.requests, e.beliefs = requestLog(cfg.Log, cmp.Or(cfg.RequestLines, DefaultRequestLines)), beliefLog(cfg.Log)
	e.pause = newPauseGuard(cfg.Self, e.afterPause)
	return e
}

// SetCatalogue tells which services and targets exist.
func (e *Engine) SetCatalogue(c *Catalogue) {
	e.notices.setListed(c.Targets, e.self.Clock())
	e.policy.setCatalogue(c)
	e.lone.setTargets(c.Targets)
}

// afterPause drops what a pause of the process may have made stale.
func (e *Engine) afterPause(gap pause.Gap) {
	e.metrics.Pauses.Add(1)
	e.log.Warn().Dur("monotonic_gap", gap.Monotonic).Dur("wall_gap", gap.Wall).Msg("the process was paused; checking cached state")
	e.targets.DropIdle()
	e.verify()
}

// AwaitVerified returns when cached state may be used after a pause of the
// process, at most after 500 ms.
func (e *Engine) AwaitVerified(ctx context.Context) { e.pause.wait(ctx) }

// WatchPauses looks for pauses of the process until ctx ends.
func (e *Engine) WatchPauses(ctx context.Context) { e.pause.run(ctx) }

// Fingerprint identifies equal requests. It is zero when the crash guard is off.
func (e *Engine) Fingerprint(workspace, service, query string) quarantine.Fingerprint {
	if e.guard == nil {
		return quarantine.Fingerprint{}
	}
	return e.guard.keyer.Fingerprint(workspace, service, query)
}

// CrashFacts returns at most limit facts about crashing requests for peers.
func (e *Engine) CrashFacts(limit int) quarantine.Facts {
	if e.guard == nil {
		return quarantine.Facts{}
	}
	return e.guard.facts(limit)
}

// MergeCrashFacts takes what a peer knows about crashing requests.
func (e *Engine) MergeCrashFacts(f quarantine.Facts) {
	if e.guard != nil {
		e.guard.merge(f)
	}
}

// Report takes a target's own report of its load.
func (e *Engine) Report(target string, r *targetapi.Status) { e.policy.report(target, r) }

// RepliedWithin reports whether a target replied to an attempt in the last period.
func (e *Engine) RepliedWithin(target string, period time.Duration) bool {
	return e.policy.repliedWithin(target, period)
}

// DescribeService fills a row of the operators' status.
func (e *Engine) DescribeService(name string, row *adminapi.Service) {
	e.policy.describeService(name, row)
}

// DescribeTarget fills a row of the operators' status.
func (e *Engine) DescribeTarget(id string, row *adminapi.Target) { e.policy.describeTarget(id, row) }

// admit waits until the request may run. An error has the outcome NotRun.
func (e *Engine) admit(ctx context.Context, req *Request) (release func(admission.Result), err error) {
	return e.policy.admit(ctx, req)
}

// Violation records a failed invariant.
func (e *Engine) Violation(name string, err error) {
	e.metrics.Violations.Add(name, 1)
	e.log.Error().Str("invariant", name).Err(err).Msg("invariant violated")
}

// Package engine executes requests: it admits them, fans them out to shards, hedges and retries
// attempts, decides when to stop waiting and derives the outcome. It is independent of the caller
// and target protocols, which are behind Work. The load decisions themselves are made by the
// packages under coordination.
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
	"github.com/balsamstall/balsamstall/internal/targetrate"
	"github.com/balsamstall/balsamstall/protocol/adminapi"
	"github.com/balsamstall/balsamstall/protocol/ids"
	"github.com/balsamstall/balsamstall/protocol/peerpb"
	"github.com/balsamstall/balsamstall/protocol/targetapi"
	"github.com/balsamstall/balsamstall/state/audit"
)

// DefaultRetryAfter is the retry delay recommended to callers when no better estimate exists.
const DefaultRetryAfter = 200 * time.Millisecond

// Identity identifies this process.
type Identity struct {
	Entry       string
	Zone        string
	Incarnation ids.Incarnation
	// Start is the origin of the clock used by permits and the journal.
	Start time.Time
}

// Clock returns the monotonic time since the start of the process.
func (i Identity) Clock() time.Duration { return time.Since(i.Start) }

// Connections is the part of the target connection pool that the engine uses.
type Connections interface {
	// Reachable reports whether a new connection to the target can be opened.
	Reachable(ctx context.Context, target string) bool
	// DropIdle closes idle connections after a pause of the process.
	DropIdle()
}

// Config holds the settings and dependencies of an Engine.
type Config struct {
	Self    Identity
	Log     zerolog.Logger
	Targets Connections
	// FingerprintKey is the secret key of request fingerprints.
	FingerprintKey []byte
	// PolicyOn enables the load policies and the crash guard.
	PolicyOn bool
	// UrgentFirst keeps free slots of contended shards for requests of higher priority.
	UrgentFirst bool
	Metrics     *Metrics
	// RequestLinesPerSecond limits the rate of request log lines. Zero selects
	// DefaultRequestLinesPerSecond.
	RequestLinesPerSecond uint32
	// NotifyPeers sends new facts to peers immediately. It must not block and may be nil.
	NotifyPeers func()
	// Verify checks documents and leaving targets with peers after the process was paused. It may
	// be nil.
	Verify func()
	// Tokens asks another entry for tokens of targets with a rate limit. It may be nil if there are no
	// other entries.
	Tokens func(ctx context.Context, address string, in *peerpb.TokensRequest) (*peerpb.TokensReply, error)
	// ReachedTargets asks peers for targets that have replied to them within a second. It may be nil
	// if there are no other entries.
	ReachedTargets func(ctx context.Context) []string
	// OnDetached is called when Detached changes. It must not block and may be nil.
	OnDetached func(detached bool)
	// Audit may be nil.
	Audit *audit.Trail
}

// Engine executes requests. All methods are safe for concurrent use.
type Engine struct {
	self    Identity
	log     zerolog.Logger
	targets Connections
	policy  policy
	// guard is nil when the load policies are off.
	guard      *crashGuard
	isolated   *isolatedRuns
	notices    *notices
	rateLimits *targetrate.Limiter
	// restrictions asks notices, rateLimits and zones.
	restrictions *restrictions
	failing      *failingSet
	zones        *zoneSet
	attachment   *attachment
	notifyPeers  func()
	// reachedTargets and onDetached are those of Config.
	reachedTargets func(ctx context.Context) []string
	onDetached     func(detached bool)
	verify         func()
	audit          *audit.Trail
	pause          *pauseGuard
	// lateWaiting counts the requests of late callers that wait for capacity.
	lateWaiting atomic.Int64
	metrics     *Metrics
	// requestLog logs requests at a limited rate.
	requestLog zerolog.Logger
	// targetEventLog logs failing targets and hold-offs at a limited rate.
	targetEventLog zerolog.Logger
}

// New returns an engine without services; SetCatalogue adds them.
func New(cfg Config) *Engine {
	notices, failing, zones := newNotices(), newFailingSet(), newZoneSet()
	if cfg.NotifyPeers == nil {
		cfg.NotifyPeers = func() {}
	}
	if cfg.Verify == nil {
		cfg.Verify = func() {}
	}
	if cfg.ReachedTargets == nil {
		cfg.ReachedTargets = func(context.Context) []string { return nil }
	}
	if cfg.OnDetached == nil {
		cfg.OnDetached = func(bool) {}
	}
	if cfg.Audit == nil {
		cfg.Audit = audit.New(zerolog.Nop())
	}
	targetEventLog := newTargetEventLog(cfg.Log)
	rateLimits := targetrate.New(targetrate.Config{Entry: cfg.Self.Entry, Clock: cfg.Self.Clock, Log: targetEventLog,
		Metrics: &cfg.Metrics.RateLimits, NotifyPeers: cfg.NotifyPeers, Tokens: cfg.Tokens})
	restrictions := &restrictions{notices: notices, rateLimits: rateLimits}
	var p policy = &baselinePolicy{self: cfg.Self, restrictions: restrictions}
	var guard *crashGuard
	if cfg.PolicyOn {
		restrictions.zones = zones
		p = newLoadPolicy(cfg.Self, restrictions, failing, cfg.UrgentFirst)
		guard = newCrashGuard(cfg.Self, cfg.FingerprintKey)
	}
	e := &Engine{
		self:         cfg.Self,
		log:          cfg.Log,
		targets:      cfg.Targets,
		policy:       p,
		guard:        guard,
		isolated:     newIsolatedRuns(cfg.Self.Entry),
		notices:      notices,
		rateLimits:   rateLimits,
		restrictions: restrictions,
		failing:      failing,
		zones:        zones,
		attachment:   newAttachment(),
		metrics:      cfg.Metrics,

		reachedTargets: cfg.ReachedTargets,
		onDetached:     cfg.OnDetached,

		notifyPeers: cfg.NotifyPeers,
		verify:      cfg.Verify,
		audit:       cfg.Audit,
	}
	e.requestLog, e.targetEventLog = newRequestLog(cfg.Log, cmp.Or(cfg.RequestLinesPerSecond, DefaultRequestLinesPerSecond)), targetEventLog
	e.pause = newPauseGuard(cfg.Self, e.afterPause)
	return e
}

// SetCatalogue replaces the known services, targets and target groups.
func (e *Engine) SetCatalogue(c *Catalogue) {
	evacuatedBefore := e.notices.setListed(c, e.self.Clock())
	e.rateLimits.SetTargets(startTimes(c.Targets), targetZones(c.Targets))
	e.policy.setCatalogue(c)
	e.isolated.setTargets(c.Targets)
	e.attachment.setTargets(c.Targets)
	e.recordEvacuations(evacuatedBefore, c)
}

// afterPause drops connections and verifies cached state that may be stale after the process was
// paused.
func (e *Engine) afterPause(gap pause.Gap) {
	e.metrics.Pauses.Add(1)
	e.log.Warn().Dur("monotonic_gap", gap.Monotonic).Dur("wall_gap", gap.Wall).Msg("the process was paused; checking cached state")
	e.targets.DropIdle()
	// While the host was suspended, its monotonic clock stood still.
	e.rateLimits.RecordPause(gap.Wall - gap.Monotonic)
	e.verify()
}

// AwaitVerified waits until cached state has been verified after a pause of the process, for at
// most 500 ms.
func (e *Engine) AwaitVerified(ctx context.Context) { e.pause.wait(ctx) }

// WatchPauses detects pauses of the process until ctx ends.
func (e *Engine) WatchPauses(ctx context.Context) { e.pause.run(ctx) }

// Fingerprint returns the fingerprint that equal requests share. The query is given in two parts. It is zero
// when the crash guard is off.
func (e *Engine) Fingerprint(workspace, service, query string, body []byte) quarantine.Fingerprint {
	if e.guard == nil {
		return quarantine.Fingerprint{}
	}
	return e.guard.keyer.Fingerprint(workspace, service, query, body)
}

// CrashFacts returns at most limit facts about requests that crash targets, for sending to peers.
func (e *Engine) CrashFacts(limit int) quarantine.Facts {
	if e.guard == nil {
		return quarantine.Facts{}
	}
	return e.guard.facts(limit)
}

// MergeCrashFacts merges a peer's facts about requests that crash targets.
func (e *Engine) MergeCrashFacts(f quarantine.Facts) {
	if e.guard != nil {
		e.guard.merge(f)
	}
}

// RecordTargetStatus records the load that a target reported.
func (e *Engine) RecordTargetStatus(target string, r *targetapi.Status) {
	e.policy.recordStatus(target, r)
}

// RepliedWithin reports whether a target replied to an attempt within the last period.
func (e *Engine) RepliedWithin(target string, period time.Duration) bool {
	return e.policy.repliedWithin(target, period)
}

// DescribeService fills in a service row of the admin status.
func (e *Engine) DescribeService(name string, row *adminapi.Service) {
	e.policy.describeService(name, row)
}

// DescribeTarget fills in a target row of the admin status.
func (e *Engine) DescribeTarget(id string, row *adminapi.Target) { e.policy.describeTarget(id, row) }

// admit waits until the request may run. An error has the outcome NotRun.
func (e *Engine) admit(ctx context.Context, req *Request) (release func(admission.Result), err error) {
	return e.policy.admit(ctx, req)
}

// Self returns the identity of this process.
func (e *Engine) Self() Identity { return e.self }

// RateLimits returns the limiter of the requests to targets that announced a rate limit.
func (e *Engine) RateLimits() *targetrate.Limiter { return e.rateLimits }

// RecordViolation counts and logs a violated invariant.
func (e *Engine) RecordViolation(name string, err error) {
	e.metrics.Violations.Add(name, 1)
	e.log.Error().Str("invariant", name).Err(err).Msg("invariant violated")
}

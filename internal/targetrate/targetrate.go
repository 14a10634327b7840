// Package targetrate keeps the requests of all entries to targets that announced a rate limit within
// that limit. The decisions are in coordination/ratelimit.
package targetrate

import (
	"context"
	"expvar"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/balsamstall/balsamstall/coordination/notice"
	"github.com/balsamstall/balsamstall/coordination/ratelimit"
	"github.com/balsamstall/balsamstall/protocol/peerpb"
	"github.com/balsamstall/balsamstall/protocol/requestrate"
)

// Metrics holds the counters of a Limiter.
type Metrics struct {
	// Announcements counts limits that became known, changed considerably or ended.
	Announcements expvar.Int
	// Invalid counts replies with an invalid limit.
	Invalid expvar.Int
	// Attempts counts attempts to targets with a limit by cause.
	Attempts expvar.Map
	// TokensGranted counts the tokens that this entry granted as an allocator, TokensDenied the
	// requests that it denied.
	TokensGranted, TokensDenied expvar.Int
	// AllocatorFailures counts requests for tokens that an allocator did not answer.
	AllocatorFailures expvar.Int
	// ColdTargets is the number of cold targets that have a limit.
	ColdTargets expvar.Int
}

// Config holds the dependencies of a Limiter.
type Config struct {
	// Entry is the id of this entry.
	Entry string
	// Clock returns the monotonic time since the start of the process.
	Clock func() time.Duration
	// Log receives a limited number of lines about targets.
	Log     zerolog.Logger
	Metrics *Metrics
	// NotifyPeers sends new announcements to peers immediately. It must not block.
	NotifyPeers func()
	// Tokens asks the entry at address for tokens.
	Tokens func(ctx context.Context, address string, in *peerpb.TokensRequest) (*peerpb.TokensReply, error)
}

// Limiter tracks the rate limits of targets. All methods are safe for concurrent use.
type Limiter struct {
	cfg Config
	// limited is the number of targets with a limit, read first to avoid the lock while there are
	// none.
	limited atomic.Int64
	// confirmUntil is the time, as a time.Duration on Clock, until which replies without a limit are
	// recorded after a limit ended, also while there is none.
	confirmUntil atomic.Int64

	mu sync.Mutex
	// announcements is guarded by mu.
	announcements *ratelimit.Announcements
	// cold holds the limits, in requests per second, of cold targets, and coldView chooses their
	// allocators. Guarded by mu.
	cold     map[string]float64
	coldView *ratelimit.ColdView
	// tokens holds the tokens of this entry, and allocations what it allocates of the limits of
	// targets. Guarded by mu.
	tokens      *ratelimit.Tokens
	allocations map[string]*ratelimit.Allocation
	// zones holds the zone of each target. Guarded by mu.
	zones map[string]string
	// fleet is guarded by mu, chosen caches the allocators that follow from it by target.
	fleet  Fleet
	chosen map[string][]ratelimit.Entry
	// allocatesCold caches by target whether this entry allocates its cold limit. Guarded by mu.
	allocatesCold map[string]bool
	// unreachable holds the times until which allocators are not asked. Guarded by mu.
	unreachable map[string]time.Duration
	// lastWanted holds the time of the last request that wanted a token of a target in the background.
	// Guarded by mu.
	lastWanted map[string]time.Duration
	// asking holds the targets for which a request for tokens runs in the background. Guarded by mu.
	asking map[string]bool
	// attempts counts the attempts since the last call of Maintain, by target and cause. Guarded by
	// mu.
	attempts map[string]map[string]int
}

// New returns a limiter that knows no limits.
func New(cfg Config) *Limiter {
	return &Limiter{
		cfg:           cfg,
		announcements: ratelimit.NewAnnouncements(),
		coldView:      ratelimit.NewColdView(),
		tokens:        ratelimit.NewTokens(),
		allocations:   make(map[string]*ratelimit.Allocation),
		fleet:         Fleet{Entries: []ratelimit.Entry{{ID: cfg.Entry}}},
		chosen:        make(map[string][]ratelimit.Entry),
		allocatesCold: make(map[string]bool),
		unreachable:   make(map[string]time.Duration),
		lastWanted:    make(map[string]time.Duration),
		asking:        make(map[string]bool),
		attempts:      make(map[string]map[string]int),
	}
}

// Active reports whether any target has a limit.
func (l *Limiter) Active() bool { return l.limited.Load() > 0 }

// updateActive recounts the limits. The caller must hold mu.
func (l *Limiter) updateActive() { l.limited.Store(int64(l.announcements.Limited() + len(l.cold))) }

// limit returns the limit of a target in requests per second, and false if it has none. If the target has
// stated a limit and is cold, the lower limit counts. The caller must hold mu.
func (l *Limiter) limit(target string) (perSecond float64, limited bool) {
	perSecond, limited = l.announcements.Limit(target)
	if cold, isCold := l.cold[target]; isCold && (!limited || cold < perSecond) {
		return cold, true
	}
	return perSecond, limited
}

// SetColdLimits replaces the limits of cold targets, in requests per second from all entries. It must be
// called before a plan with these targets is used.
func (l *Limiter) SetColdLimits(limits map[string]float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cold = limits
	l.clearAllocators()
	l.cfg.Metrics.ColdTargets.Set(int64(len(limits)))
	l.updateActive()
}

// RecordReply records what a reply to a request sent at the given time states about the limit of its
// target. conclusive is set if a reply without a statement proves that the target has no limit.
func (l *Limiter) RecordReply(target, requestID string, sent time.Duration, rate requestrate.Rate, conclusive bool) {
	now := l.cfg.Clock()
	if !rate.Stated && (!conclusive || !l.Active() && int64(now) >= l.confirmUntil.Load()) {
		return
	}
	l.mu.Lock()
	isNews := false
	if rate.Stated {
		isNews = l.announcements.RecordLimit(target, now, rate.PerSecond)
	} else {
		isNews = l.announcements.RecordNoLimit(target, sent, now)
	}
	l.updateActive()
	l.mu.Unlock()
	if isNews {
		l.announce(ratelimit.Announcement{Target: notice.Target{ID: target}, Limited: rate.Stated, PerSecond: rate.PerSecond}, requestID, "")
	}
}

// RecordInvalid records a reply with an invalid limit, which changes nothing.
func (l *Limiter) RecordInvalid(target, requestID string, err error) {
	l.cfg.Metrics.Invalid.Add(1)
	l.cfg.Log.Warn().Str("target", target).Str("request_id", requestID).Err(err).Msg("invalid rate limit ignored")
}

// Merge merges a peer's report.
func (l *Limiter) Merge(peer string, r ratelimit.Announcement) {
	l.mu.Lock()
	now := l.cfg.Clock()
	isNews := l.announcements.Merge(r, now)
	l.updateActive()
	// The report may have ended the doubt about another announcement, which counts now.
	counts, _ := l.announcements.Announcement(r.ID, now)
	l.mu.Unlock()
	if isNews {
		l.announce(counts, "", peer)
	}
}

// announce logs a new announcement and passes it on.
func (l *Limiter) announce(r ratelimit.Announcement, requestID, peer string) {
	if !r.Limited {
		l.confirmUntil.Store(int64(l.cfg.Clock() + ratelimit.EndConfirmation))
	}
	l.cfg.Metrics.Announcements.Add(1)
	l.cfg.NotifyPeers()
	event := l.cfg.Log.Info().Str("target", r.ID).Int64("age_ms", r.Age.Milliseconds())
	if requestID != "" {
		event.Str("request_id", requestID)
	}
	if peer != "" {
		event.Str("peer", peer)
	}
	if !r.Limited {
		event.Msg("rate limit of target ended")
		return
	}
	event.Float64("limit_per_s", r.PerSecond).Msg("target announced a rate limit")
}

// Reports returns the announcements for peers, the newest first.
func (l *Limiter) Reports() []ratelimit.Announcement {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.announcements.Reports(l.cfg.Clock())
}

// SetTargets replaces the listed targets, with their start times in Unix milliseconds and their zones.
func (l *Limiter) SetTargets(started map[string]int64, zones map[string]string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.zones = zones
	l.clearAllocators()
	l.announcements.SetListed(started)
	l.updateActive()
}

// CountAttempt counts an attempt that is sent to a target, if the target has a limit.
func (l *Limiter) CountAttempt(target, cause string) {
	if !l.Active() {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.isLimited(target) {
		return
	}
	l.cfg.Metrics.Attempts.Add(cause, 1)
	if l.attempts[target] == nil {
		l.attempts[target] = make(map[string]int)
	}
	l.attempts[target][cause]++
}

// expire removes state that has ended. The caller must hold mu.
func (l *Limiter) expire(now time.Duration) {
	l.announcements.Expire(now)
	l.tokens.Expire(now)
	maps.DeleteFunc(l.allocations, func(target string, _ *ratelimit.Allocation) bool {
		_, limited := l.limit(target)
		return !limited
	})
	maps.DeleteFunc(l.lastWanted, func(_ string, at time.Duration) bool { return now-at > denseInterval })
	maps.DeleteFunc(l.unreachable, func(_ string, until time.Duration) bool { return now >= until })
}

// maxLoggedTargets limits the targets in one log line.
const maxLoggedTargets = 32

// Maintain removes expired state and logs, for the targets with a limit, the attempts since the last
// call by cause. It is called periodically.
func (l *Limiter) Maintain() {
	l.mu.Lock()
	l.expire(l.cfg.Clock())
	l.updateActive()
	attempts := l.attempts
	l.attempts = make(map[string]map[string]int)
	limits := make(map[string]float64, len(attempts))
	for target := range attempts {
		limits[target], _ = l.limit(target)
	}
	l.mu.Unlock()
	if len(attempts) == 0 {
		return
	}
	targets := slices.Sorted(maps.Keys(attempts))
	dict := zerolog.Dict()
	for _, target := range targets[:min(len(targets), maxLoggedTargets)] {
		dict.Dict(target, zerolog.Dict().Float64("limit_per_s", limits[target]).Interface("attempts", attempts[target]))
	}
	l.cfg.Log.Info().Int("limited", len(targets)).Dict("targets", dict).Msg("attempts to targets with rate limits")
}

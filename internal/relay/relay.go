// Package relay forwards caller requests to targets unchanged. For a service with shards, it sends
// the request to every shard and answers with the merged records (a gathered request). For any other
// service, it answers with the unchanged reply of one target.
package relay

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/balsamstall/balsamstall/coordination/connshare"
	"github.com/balsamstall/balsamstall/coordination/detour"
	"github.com/balsamstall/balsamstall/coordination/homes"
	"github.com/balsamstall/balsamstall/coordination/readiness"
	"github.com/balsamstall/balsamstall/coordination/retrybudget"
	"github.com/balsamstall/balsamstall/internal/engine"
	"github.com/balsamstall/balsamstall/protocol/relayapi"
	"github.com/balsamstall/balsamstall/protocol/sheet"
	"github.com/balsamstall/balsamstall/protocol/status"
	"github.com/balsamstall/balsamstall/protocol/targetlist"
	"github.com/balsamstall/balsamstall/state/inflight"
	"github.com/balsamstall/balsamstall/transport/targethttp"
)

// AssumedFleetSize is the number of entries among which the limits on repeats and connections are
// divided while no other entry is known. It is larger than any current fleet.
const AssumedFleetSize = 100

// TargetClient sends attempts to targets. platform/backend implements it.
type TargetClient interface {
	engine.Connections
	// Encode prepares a request for its attempts.
	Encode(req *relayapi.Request) *relayapi.EncodedRequest
	// Send sends one attempt, which may take at most the duration left. Every error is a
	// *status.Error whose outcome is NotRun only if the attempt provably did not run. onReply is
	// called with the reply before its connection serves another attempt.
	Send(ctx context.Context, target string, req *relayapi.EncodedRequest, left time.Duration, opt targethttp.Options, onReply func(*relayapi.Reply)) (*relayapi.Reply, error)
	// Configure replaces the targets. share returns the number of connections that this entry may
	// hold to a target.
	Configure(targets []sheet.Target, share func(sheet.Target) int)
}

// Config holds the dependencies of a Relay.
type Config struct {
	Self    engine.Identity
	Engine  *engine.Engine
	Metrics *Metrics
	Targets TargetClient
	Log     zerolog.Logger
	// Repeats limits the repeats of the whole fleet at one target group.
	Repeats retrybudget.FleetSettings
	// Homes runs requests on other entries: gathered ones on homes, and all while this entry reaches no
	// target. If nil, this entry runs every request itself.
	Homes HomeClient
	// CatchUp requests newer documents from an entry. It must not block and may be nil.
	CatchUp func(entry string)
}

// Fleet describes the entries of the fleet as this entry knows them.
type Fleet struct {
	// Assignment holds the homes and the number of entries that share the targets.
	homes.Assignment
	// OldestStart is the start time of the oldest other entry, zero while no other entry is known.
	OldestStart time.Time
	// Peers lists the entries that may run requests for this entry while it reaches no target.
	Peers []detour.Peer
}

// Relay serves relayed requests. All methods are safe for concurrent use.
type Relay struct {
	cfg      Config
	plan     atomic.Pointer[plan]
	sequence atomic.Uint64
	inflight inflight.Table
	draining atomic.Bool
	// refusing is set late in a graceful shutdown, when new requests might not finish.
	refusing atomic.Bool
	// healthy is false while callers are better served by other entries.
	healthy atomic.Bool
	// hosted counts the requests of other entries that this entry has offered to run and that have
	// not ended.
	hosted    atomic.Int64
	start     time.Time
	forwarder *forwarder
	waits     *waitEstimator
	// aborted is canceled when the entry stops and running requests get their final answer.
	aborted context.Context
	abort   context.CancelFunc

	mu sync.Mutex
	// readiness decides whether callers should use this entry. Guarded by mu.
	readiness *readiness.Checker
	// fleet is guarded by mu.
	fleet Fleet
	// fleetStart is the earliest known start time of any entry. Guarded by mu.
	fleetStart time.Time
	// plannedFleet is the fleet state that the current plan was built for. Guarded by mu.
	plannedFleet fleetState
	// splitCounters count the choices among the parts of each split, by service name. Guarded by mu.
	splitCounters map[string]*atomic.Uint64
}

// New returns a relay that refuses requests until SetDocuments has been called.
func New(cfg Config) *Relay {
	r := &Relay{
		cfg:           cfg,
		start:         time.Now(),
		readiness:     readiness.New(readiness.DefaultSettings(), 0),
		fleet:         Fleet{Assignment: homes.Assignment{Entries: 1, Homes: 1, Zones: 1, IsHome: true}},
		splitCounters: make(map[string]*atomic.Uint64),
	}
	r.forwarder = newForwarder(&r.cfg)
	r.waits = newWaitEstimator(r.start)
	r.fleetStart = r.start
	r.healthy.Store(true)
	r.aborted, r.abort = context.WithCancel(context.Background())
	return r
}

// SetDocuments applies a sheet and a target list to new requests.
func (r *Relay) SetDocuments(s *sheet.Sheet, t *targetlist.Document) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.replan(s, t)
}

// SetFleet updates which entries share the targets and which of them run gathered requests. It is
// called periodically.
func (r *Relay) SetFleet(f Fleet) {
	r.forwarder.setFleet(f.Assignment, f.Peers)
	r.mu.Lock()
	defer r.mu.Unlock()
	if !f.OldestStart.IsZero() && f.OldestStart.Before(r.fleetStart) {
		r.fleetStart = f.OldestStart
	}
	if f.IsHome != r.fleet.IsHome {
		r.cfg.Log.Info().Bool("home", f.IsHome).Int("entries", f.Entries).Int("homes", f.Homes).Msg("home role changed: a home runs gathered requests for other entries")
	}
	r.fleet = f
	if p := r.plan.Load(); p != nil && r.plannedFleet != r.fleetState() {
		r.replan(p.sheet, p.targets)
	}
}

// replan builds a plan from the documents and applies it. The caller must hold mu.
func (r *Relay) replan(s *sheet.Sheet, t *targetlist.Document) {
	r.plannedFleet = r.fleetState()
	p := newPlan(s, t, r.cfg.Self, r.plannedFleet, r.splitCounters)
	r.applyPlan(p)
	r.plan.Store(p)
}

// fleetState returns the fleet state that the next plan is built for. The caller must hold mu.
func (r *Relay) fleetState() fleetState {
	return fleetState{
		entries:          r.fleet.Entries,
		homes:            r.fleet.Homes,
		zones:            r.fleet.Zones,
		isHome:           r.fleet.IsHome,
		effectiveEntries: connshare.EffectiveEntries(r.fleet.Entries, time.Since(r.start), time.Since(r.fleetStart)),
	}
}

// applyPlan configures the engine and the target connections for a plan. The caller must hold mu.
func (r *Relay) applyPlan(p *plan) {
	c := p.catalogue()
	c.Entries, c.Homes, c.Repeats = r.plannedFleet.entries, r.plannedFleet.homes, r.cfg.Repeats
	r.cfg.Engine.RateLimits().SetColdLimits(p.coldLimits())
	r.cfg.Engine.SetCatalogue(c)
	r.cfg.Targets.Configure(p.connectionTargets(), func(t sheet.Target) int { return t.MaxConnections })
}

// Ready reports whether documents are in force, the relay is not draining and other entries would
// not serve callers better.
func (r *Relay) Ready() bool { return r.plan.Load() != nil && !r.draining.Load() && r.healthy.Load() }

// recordAnswer updates the metrics for an answered request and, unless no service matched it, the
// results that decide about readiness.
func (r *Relay) recordAnswer(a *relayapi.Answer, took time.Duration) {
	metrics := r.cfg.Metrics
	switch {
	case a.Merged != nil:
		metrics.Merged.Add(1)
		if a.Merged.Missing > 0 {
			metrics.Partial.Add(1)
		}
	case a.Reply != nil:
		metrics.Passed.Add(1)
	case a.Err.Outcome == status.NotRun:
		metrics.Refused.Add(1)
	default:
		metrics.Failed.Add(1)
	}
	if a.Err != nil && a.Err.Code == status.NotFound {
		return
	}
	if a.Err == nil {
		metrics.observe(a.Service, took)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readiness.RecordResult(time.Since(r.start), a.Err == nil)
}

// UpdateReadiness reevaluates whether callers should use this entry. otherZoneLastHeard is the time
// at which an entry of another zone was last heard, and zonePartitionedAt the time at which an
// entry of this zone last reported that it is partitioned; both are zero for never. The result
// reports whether this entry is partitioned according to its own requests.
func (r *Relay) UpdateReadiness(otherZoneLastHeard, zonePartitionedAt time.Time) (partitioned bool) {
	r.mu.Lock()
	if zonePartitionedAt.After(r.start) {
		r.readiness.RecordPeerPartitioned(zonePartitionedAt.Sub(r.start))
	}
	healthy := r.readiness.Ready(time.Since(r.start), otherZoneLastHeard.Sub(r.start), !otherZoneLastHeard.IsZero(), r.cfg.Engine.Partitioned())
	partitioned = r.readiness.Partitioned()
	r.mu.Unlock()
	if r.healthy.Swap(healthy) != healthy {
		r.cfg.Log.Warn().Bool("ready", healthy).Time("other_zone_heard", otherZoneLastHeard).Time("zone_told", zonePartitionedAt).Bool("own_results", partitioned).
			Msg("readiness changed: an entry that hears no other zone and cannot serve requests directs callers to other entries")
	}
	return partitioned
}

// Limits returns the current caller limits, or zero values before a sheet is in force.
func (r *Relay) Limits() sheet.CallerLimits {
	if p := r.plan.Load(); p != nil {
		return p.sheet.CallerLimits
	}
	return sheet.CallerLimits{}
}

// RecentlyReached returns targets that have recently replied to this entry.
func (r *Relay) RecentlyReached() []string { return r.cfg.Engine.RecentlyReached() }

// BeginDrain starts a graceful shutdown: the relay becomes not ready and its answers ask callers to
// use another connection. Requests are still served.
func (r *Relay) BeginDrain() { r.draining.Store(true) }

// RefuseNew makes the relay refuse new requests at once. It is called late in a graceful shutdown,
// when a new request might not finish; running requests go on.
func (r *Relay) RefuseNew() { r.refusing.Store(true) }

// Abort cancels the running requests.
func (r *Relay) Abort() { r.abort() }

// Running returns the number of requests that are being served here or that this entry has offered
// to run for other entries. Requests that run for other entries count twice.
func (r *Relay) Running() int { return r.inflight.Running() + int(r.hosted.Load()) }

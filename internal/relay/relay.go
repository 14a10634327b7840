// Package relay forwards caller requests to targets unchanged. For a service with shards, it sends
// the request to every shard and answers with the merged records (a gathered request). For any other
// service, it answers with the unchanged reply of one target.
package relay

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/balsamstall/balsamstall/coordination/connshare"
	"github.com/balsamstall/balsamstall/coordination/coverage"
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

const (
	// reserveFraction and minReserve set the time kept free before the latency goal for the network
	// time from and to the caller and for merging: 8% of the goal, at least 9 ms. The one-way
	// latency to callers is up to 3 ms, and most callers reuse an open connection.
	reserveFraction = 0.08
	minReserve      = 9 * time.Millisecond
	// callerMargin is subtracted from the time that a caller waits, for the network time of the
	// answer.
	callerMargin = 10 * time.Millisecond
)

// TargetClient sends attempts to targets. platform/backend implements it.
type TargetClient interface {
	engine.Connections
	// Send sends one attempt, which may take at most the duration left. Every error is a
	// *status.Error whose outcome is NotRun only if the attempt provably did not run. onReply is
	// called with the reply before its connection serves another attempt.
	Send(ctx context.Context, target string, req *relayapi.Request, left time.Duration, opt targethttp.Options, onReply func(*relayapi.Reply)) (*relayapi.Reply, error)
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
	// Homes runs gathered requests on other entries. If nil, this entry runs them itself.
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

// Serve runs a request. It always returns an answer.
func (r *Relay) Serve(ctx context.Context, req *relayapi.Request) *relayapi.Answer {
	ctx, end := r.begin(ctx)
	defer end()
	answer := r.serve(ctx, req)
	answer.Close = r.draining.Load() || !r.healthy.Load()
	r.recordAnswer(answer, time.Since(req.Arrival))
	return answer
}

// begin counts a running request and returns a context that Abort cancels. The caller must call end
// when the request has ended.
func (r *Relay) begin(ctx context.Context) (_ context.Context, end func()) {
	sequence := r.sequence.Add(1)
	// Begin fails only after Close, which a relay never calls because it serves until the process
	// exits.
	r.inflight.Begin(sequence)
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(r.aborted, cancel)
	return ctx, func() {
		stop()
		cancel()
		r.inflight.End(sequence)
	}
}

func (r *Relay) serve(ctx context.Context, req *relayapi.Request) *relayapi.Answer {
	if r.refusing.Load() {
		return errorAnswer(status.New(status.Draining, status.NotRun, "this entry is stopping").WithRetryAfter(engine.DefaultRetryAfter))
	}
	r.cfg.Engine.AwaitVerified(ctx)
	p := r.awaitRevision(ctx)
	if p == nil {
		return errorAnswer(status.New(status.NotReady, status.NotRun, "no sheet and target list are in force yet").WithRetryAfter(engine.DefaultRetryAfter))
	}
	route := p.findRoute(req.Host, req.Path)
	if route == nil {
		return errorAnswer(status.New(status.NotFound, status.NotRun, "no service of host %.80q matches the path", req.Host))
	}
	if route.layout != nil {
		req = r.waits.estimate(req, route.service.Name)
	}
	if r.cfg.Engine.Detached() {
		if answer := r.detour(ctx, req, p, route); answer != nil {
			return answer
		}
		return errorAnswer(status.New(status.NotReady, status.NotRun, "this entry reaches no target, and no peer accepts the request").WithRetryAfter(engine.DefaultRetryAfter))
	}
	if route.layout != nil {
		if answer := r.forward(ctx, req, p, route); answer != nil {
			return answer
		}
	}
	answer, lost := r.runWhileConnected(ctx, req, p, route)
	if lost || mayDetour(answer) && r.cfg.Engine.MayBeDetached() {
		if detoured := r.detour(ctx, req, p, route); detoured != nil {
			return detoured
		}
	}
	return answer
}

// runWhileConnected runs a request on this entry. It ends an idempotent request when this entry ceases to
// reach its targets, and reports then that the request was lost and may run elsewhere.
func (r *Relay) runWhileConnected(ctx context.Context, req *relayapi.Request, p *plan, route *route) (answer *relayapi.Answer, lost bool) {
	if route.service.Repeat.Rule != sheet.Idempotent {
		return r.run(ctx, req, p, route), false
	}
	connected := r.cfg.Engine.Connected()
	runCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(connected, cancel)()
	answer = r.run(runCtx, req, p, route)
	return answer, answer.Err != nil && connected.Err() != nil && ctx.Err() == nil
}

// forward runs a gathered request on a home. It returns nil if no home has accepted the request.
func (r *Relay) forward(ctx context.Context, req *relayapi.Request, p *plan, route *route) *relayapi.Answer {
	engineReq := newEngineRequest(req, p, route)
	ctx, cancel := context.WithDeadline(ctx, engineReq.Deadline)
	defer cancel()
	return r.forwarder.gather(ctx, req, p, route, engineReq)
}

// run runs a request on this entry.
func (r *Relay) run(ctx context.Context, req *relayapi.Request, p *plan, route *route) *relayapi.Answer {
	engineReq := newEngineRequest(req, p, route)
	engineReq.Fingerprint = r.cfg.Engine.Fingerprint(route.relay.Host, route.service.Name, req.Method+" "+req.Target+"\n"+string(req.Body))
	if !time.Now().Before(engineReq.Deadline) {
		return errorAnswer(status.New(status.DeadlineExceeded, status.NotRun, "the deadline has passed").WithRetryAfter(engine.DefaultRetryAfter))
	}
	ctx, cancel := context.WithDeadline(ctx, engineReq.Deadline)
	defer cancel()
	if route.layout != nil {
		return r.gather(ctx, req, route, engineReq)
	}
	return r.passThrough(ctx, req, route, engineReq)
}

// newEngineRequest describes a request to the engine.
func newEngineRequest(req *relayapi.Request, p *plan, route *route) *engine.Request {
	svc := route.service
	wait := time.Duration(svc.Latency.MaxDeadlineMS) * time.Millisecond
	if req.Wait > 0 {
		wait = min(wait, max(req.Wait-callerMargin, 0))
	}
	goal := time.Duration(svc.Latency.ContractMS) * time.Millisecond
	cutoff := cutoffGoal(goal, req.Waited)
	return &engine.Request{
		ID:       req.ID,
		Service:  svc.Name,
		Priority: svc.Priority,
		Contract: engine.Contract{
			Latency: goal,
			Cutoff: coverage.Cutoff{
				Goal:     cutoff,
				Reserve:  max(time.Duration(reserveFraction*float64(cutoff)), minReserve) + req.HopMargin,
				MinRatio: svc.Coverage.MinRatio,
			},
			RequireMinRatio: true,
			MaxRuns:         route.relay.MaxRuns,
			MaxFanout:       svc.Limits.MaxFanout,
		},
		Arrival:         req.Arrival,
		Waited:          req.Waited,
		Deadline:        req.Arrival.Add(wait),
		SkipAdmission:   true,
		SheetRevision:   p.sheet.Revision,
		TargetsRevision: p.targets.Revision,
	}
}

// lateGoalFactor extends the goal for callers whose original goal has already passed, because
// leaving out shards no longer helps them.
const lateGoalFactor = 2

// cutoffGoal returns the time after arrival by which the answer should be sent to a caller that has
// waited in earlier calls. That is the rest of the first call's goal if at least half of it is left,
// the goal of this call if less is left, and lateGoalFactor times the goal once it has passed.
func cutoffGoal(goal, waited time.Duration) time.Duration {
	switch remaining := goal - waited; {
	case remaining >= goal/2:
		return remaining
	case remaining <= 0:
		return lateGoalFactor * goal
	}
	return goal
}

// gather queries all shards of a service and answers with their merged records.
func (r *Relay) gather(ctx context.Context, req *relayapi.Request, route *route, engineReq *engine.Request) *relayapi.Answer {
	w := &gatherWork{requestWork: requestWork{relay: r, req: req, layout: route.layout, deadline: engineReq.Deadline, maxBodyBytes: maxShardReplyBytes}, topRecords: route.relay.TopRecords}
	engineReq.Work, engineReq.Groups, engineReq.GroupTargets = w, route.relay.Shards, route.allTargets
	if _, err := r.cfg.Engine.Run(ctx, engineReq); err != nil {
		return errorAnswer(status.From(err))
	}
	return &relayapi.Answer{Service: engineReq.Service, Merged: w.merged()}
}

// passThrough answers with the reply of one target.
func (r *Relay) passThrough(ctx context.Context, req *relayapi.Request, route *route, engineReq *engine.Request) *relayapi.Answer {
	part := route.choosePart()
	w := &passThroughWork{requestWork: requestWork{relay: r, req: req, layout: route.partLayouts[part], deadline: engineReq.Deadline}}
	engineReq.Work, engineReq.Groups, engineReq.GroupTargets = w, []string{route.relay.Split[part].Group}, route.partTargets[part]
	run := r.cfg.Engine.Run
	if route.service.Repeat.Rule == sheet.AtMostOnce {
		run = r.cfg.Engine.RunOnce
	}
	_, err := run(ctx, engineReq)
	if err == nil {
		return &relayapi.Answer{Service: engineReq.Service, Reply: w.reply}
	}
	var failed *relayapi.ReplyError
	if errors.As(err, &failed) && canPassThrough(failed.Reply.HTTPStatus) {
		return &relayapi.Answer{Service: engineReq.Service, Reply: failed.Reply}
	}
	return errorAnswer(status.From(err))
}

// canPassThrough reports whether a reply with the given HTTP status may be passed through to the
// caller. The excluded statuses would promise that the request did not run, which the target has
// not stated.
func canPassThrough(code int) bool {
	switch code {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return false
	}
	return true
}

func errorAnswer(err *status.Error) *relayapi.Answer { return &relayapi.Answer{Err: err} }

// Package relay passes requests on to targets as they are. A service with shards
// gets the merged records of its shards; any other gets one target's reply
// unchanged.
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

// UnknownEntries is the number of entries that is assumed for repeats while no other
// entry is known. It exceeds the fleets of today.
const UnknownEntries = 100

const (
	// reservePart and minReserve are kept before the latency goal for the ways from and to
	// the caller and for merging: 8% of the goal, at least 9 ms. Callers are up to 3 ms away
	// one way, and most use an open connection.
	reservePart = 0.08
	minReserve  = 9 * time.Millisecond
	// callerMargin is taken off the time that a caller waits, for the answer's way.
	callerMargin = 10 * time.Millisecond
)

// Targets sends attempts. platform/backend implements it.
type Targets interface {
	engine.Connections
	// Send sends one attempt with the time that is left for it. Every error is a
	// *status.Error whose outcome is NotRun only with proof.
	Send(ctx context.Context, target string, req *relayapi.Request, left time.Duration, opt targethttp.Options) (*relayapi.Reply, error)
	Configure(targets []sheet.Target, share func(sheet.Target) int)
}

// Config holds the parts of a relay.
type Config struct {
	Self    engine.Identity
	Core    *engine.Engine
	Metrics *Metrics
	Targets Targets
	Log     zerolog.Logger
	// Repeats bounds the repeats at one target group for the whole fleet.
	Repeats retrybudget.FleetSettings
	// Homes runs gathered requests on other entries. It may be nil.
	Homes Homes
	// CatchUp asks an entry for newer documents. It must not block and may be nil.
	CatchUp func(entry string)
}

// Fleet is what a relay knows of the entries.
type Fleet struct {
	// Assignment tells the homes and the number of entries that share the targets.
	homes.Assignment
	// Oldest is when the oldest of the other entries started, zero while none was heard.
	Oldest time.Time
}

// Relay serves relayed requests. All methods are safe for concurrent use.
type Relay struct {
	cfg      Config
	plan     atomic.Pointer[plan]
	sequence atomic.Uint64
	inflight inflight.Table
	stopping atomic.Bool
	fit      atomic.Bool
	// hosted counts the requests of other entries that were offered and have not ended.
	hosted    atomic.Int64
	start     time.Time
	forwarder *forwarder
	ages      *callerAges
	// aborted ends when the entry stops and running requests get their final answer.
	aborted context.Context
	abort   context.CancelFunc

	mu sync.Mutex
	// readiness judges whether callers should come. Guarded by mu.
	readiness *readiness.Checker
	// fleet is guarded by mu.
	fleet Fleet
	// fleetStart is the earliest start of an entry that this one heard of. Guarded by mu.
	fleetStart time.Time
	// shared is what the plan in force was made with. Guarded by mu.
	shared shares
	// draws counts the choices among the parts of each split. Guarded by mu.
	draws map[string]*atomic.Uint64
}

// New returns a relay that refuses requests until SetDocuments was called.
func New(cfg Config) *Relay {
	r := &Relay{
		cfg:       cfg,
		start:     time.Now(),
		readiness: readiness.New(readiness.DefaultSettings(), 0),
		fleet:     Fleet{Assignment: homes.Assignment{Entries: 1, Homes: 1, Zones: 1, IsHome: true}},
		draws:     make(map[string]*atomic.Uint64),
	}
	r.forwarder = newForwarder(&r.cfg)
	r.ages = newCallerAges(r.start)
	r.fleetStart = r.start
	r.fit.Store(true)
	r.aborted, r.abort = context.WithCancel(context.Background())
	return r
}

// SetDocuments puts a sheet and a target list in force for new requests.
func (r *Relay) SetDocuments(s *sheet.Sheet, t *targetlist.Document) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.replan(s, t)
}

// SetFleet tells who shares the targets and who runs gathered requests. It is called
// again and again.
func (r *Relay) SetFleet(f Fleet) {
	r.forwarder.set(f.Assignment)
	r.mu.Lock()
	defer r.mu.Unlock()
	if !f.Oldest.IsZero() && f.Oldest.Before(r.fleetStart) {
		r.fleetStart = f.Oldest
	}
	if f.IsHome != r.fleet.IsHome {
		r.cfg.Log.Info().Bool("home", f.IsHome).Int("entries", f.Entries).Int("homes", f.Homes).Msg("role changed: a home runs gathered requests of other entries")
	}
	r.fleet = f
	if p := r.plan.Load(); p != nil && r.shared != r.shares() {
		r.replan(p.sheet, p.targets)
	}
}

// replan puts a plan of the documents in force. mu must be held.
func (r *Relay) replan(s *sheet.Sheet, t *targetlist.Document) {
	r.shared = r.shares()
	p := newPlan(s, t, r.cfg.Self, r.shared, r.draws)
	r.publish(p)
	r.plan.Store(p)
}

// shares returns this entry's part of what the entries share. mu must be held.
func (r *Relay) shares() shares {
	return shares{
		entries:    r.fleet.Entries,
		homes:      r.fleet.Homes,
		zones:      r.fleet.Zones,
		home:       r.fleet.IsHome,
		connecting: connshare.EffectiveEntries(r.fleet.Entries, time.Since(r.start), time.Since(r.fleetStart)),
	}
}

// publish tells the engine and the connections about a plan. mu must be held.
func (r *Relay) publish(p *plan) {
	c := p.catalogue()
	c.Entries, c.GatherEntries, c.Repeats = r.shared.entries, r.shared.homes, r.cfg.Repeats
	r.cfg.Core.SetCatalogue(c)
	r.cfg.Targets.Configure(p.connectionTargets(), func(t sheet.Target) int { return t.MaxConnections })
}

// Ready reports whether documents are in force, the relay is not stopping and
// callers are served here as well as elsewhere.
func (r *Relay) Ready() bool { return r.plan.Load() != nil && !r.stopping.Load() && r.fit.Load() }

// count counts the result of a request for metrics and, if a target could have
// served it, for readiness.
func (r *Relay) count(a *relayapi.Answer, took time.Duration) {
	m := r.cfg.Metrics
	switch {
	case a.Merged != nil:
		m.Merged.Add(1)
		if a.Merged.Missing > 0 {
			m.Partial.Add(1)
		}
	case a.Reply != nil:
		m.Passed.Add(1)
	case a.Err.Outcome == status.NotRun:
		m.Refused.Add(1)
	default:
		m.Failed.Add(1)
	}
	if a.Err != nil && a.Err.Code == status.NotFound {
		return
	}
	if a.Err == nil {
		m.observe(a.Service, took)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readiness.RecordResult(time.Since(r.start), a.Err == nil)
}

// CheckFit decides anew whether callers should come. heard is the time at which an
// entry of another zone was last heard, and told the one at which an entry of this zone
// last told that it is cut off; both are zero for never. The result tells whether this
// entry is cut off by results of its own.
func (r *Relay) CheckFit(heard, told time.Time) (cutOff bool) {
	r.mu.Lock()
	if told.After(r.start) {
		r.readiness.RecordPeerCutOff(told.Sub(r.start))
	}
	fit := r.readiness.Ready(time.Since(r.start), heard.Sub(r.start), !heard.IsZero(), r.cfg.Core.CutOff())
	cutOff = r.readiness.CutOff()
	r.mu.Unlock()
	if r.fit.Swap(fit) != fit {
		r.cfg.Log.Warn().Bool("ready", fit).Time("other_zone_heard", heard).Time("zone_told", told).Bool("own_results", cutOff).
			Msg("readiness changed: an entry that hears no other zone and cannot serve sends callers elsewhere")
	}
	return cutOff
}

// Limits returns the limits of callers in force, zero values before any are known.
func (r *Relay) Limits() sheet.CallerLimits {
	if p := r.plan.Load(); p != nil {
		return p.sheet.CallerLimits
	}
	return sheet.CallerLimits{}
}

// BeginStop makes the relay not ready and its answers ask callers to reconnect
// elsewhere. Requests are still served.
func (r *Relay) BeginStop() { r.stopping.Store(true) }

// Abort gives up the running requests.
func (r *Relay) Abort() { r.abort() }

// Running returns the number of requests that are being served or were offered to other
// entries. Those that run for other entries count twice.
func (r *Relay) Running() int { return r.inflight.Running() + int(r.hosted.Load()) }

// Serve runs one request and always returns an answer.
func (r *Relay) Serve(ctx context.Context, req *relayapi.Request) *relayapi.Answer {
	ctx, end := r.begin(ctx)
	defer end()
	answer := r.serve(ctx, req)
	answer.Close = r.stopping.Load() || !r.fit.Load()
	r.count(answer, time.Since(req.Arrival))
	return answer
}

// begin counts a running request and ends it when the relay gives up. The caller calls
// end when the request has ended.
func (r *Relay) begin(ctx context.Context) (_ context.Context, end func()) {
	sequence := r.sequence.Add(1)
	// Begin fails only after Close, which a relay never calls: it serves until the
	// process ends.
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
	r.cfg.Core.AwaitVerified(ctx)
	p := r.awaitRevision(ctx)
	if p == nil {
		return refusal(status.New(status.NotReady, status.NotRun, "no sheet and target list are in force yet").WithRetryAfter(engine.DefaultRetryAfter))
	}
	route := p.find(req.Host, req.Path)
	if route == nil {
		return refusal(status.New(status.NotFound, status.NotRun, "no service of host %.80q has a prefix of the path", req.Host))
	}
	if route.layout != nil {
		req = r.ages.estimate(req, route.service.Name)
		if answer := r.forward(ctx, req, p, route); answer != nil {
			return answer
		}
	}
	return r.run(ctx, req, p, route)
}

// forward runs a gathered request on a home. It returns nil when none has taken it.
func (r *Relay) forward(ctx context.Context, req *relayapi.Request, p *plan, route *route) *relayapi.Answer {
	core := coreRequest(req, p, route)
	ctx, cancel := context.WithDeadline(ctx, core.Deadline)
	defer cancel()
	return r.forwarder.gather(ctx, req, p, route, core)
}

// run runs a request on this entry.
func (r *Relay) run(ctx context.Context, req *relayapi.Request, p *plan, route *route) *relayapi.Answer {
	core := coreRequest(req, p, route)
	core.Fingerprint = r.cfg.Core.Fingerprint(route.relay.Host, route.service.Name, req.Method+" "+req.Target+"\n"+string(req.Body))
	if !time.Now().Before(core.Deadline) {
		return refusal(status.New(status.DeadlineExceeded, status.NotRun, "the deadline has passed").WithRetryAfter(engine.DefaultRetryAfter))
	}
	ctx, cancel := context.WithDeadline(ctx, core.Deadline)
	defer cancel()
	if route.layout != nil {
		return r.gather(ctx, req, route, core)
	}
	return r.pass(ctx, req, route, core)
}

// coreRequest describes a request to the engine.
func coreRequest(req *relayapi.Request, p *plan, route *route) *engine.Request {
	svc := route.service
	wait := time.Duration(svc.Latency.MaxDeadlineMS) * time.Millisecond
	if req.Wait > 0 {
		wait = min(wait, max(req.Wait-callerMargin, 0))
	}
	goal := time.Duration(svc.Latency.ContractMS) * time.Millisecond
	cutoff := cutoffGoal(goal, req.Waited)
	return &engine.Request{
		ID:      req.ID,
		Service: svc.Name,
		Contract: engine.Contract{
			Latency: goal,
			Cutoff: coverage.Cutoff{
				Goal:     cutoff,
				Reserve:  max(time.Duration(reservePart*float64(cutoff)), minReserve) + req.Hop,
				MinRatio: svc.Coverage.MinRatio,
			},
			RequireMinRatio: true,
			MaxRuns:         route.relay.Attempts,
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

// lateGoals is the number of goals within which a caller is answered whose own has passed:
// nothing is gained by leaving shards out any more.
const lateGoals = 2

// cutoffGoal returns the time from arrival by which an answer should leave, for a caller
// who waited before: what is left of the goal of its first call while that is at least half,
// and the goal of this call otherwise.
func cutoffGoal(goal, waited time.Duration) time.Duration {
	switch left := goal - waited; {
	case left >= goal/2:
		return left
	case left <= 0:
		return lateGoals * goal
	}
	return goal
}

// gather answers with the merged records of the shards.
func (r *Relay) gather(ctx context.Context, req *relayapi.Request, route *route, core *engine.Request) *relayapi.Answer {
	w := &gatherWork{work: work{relay: r, req: req, layout: route.layout, deadline: core.Deadline, maxBody: maxPartBytes}, top: route.relay.TopRecords}
	core.Work, core.Groups, core.GroupTargets = w, route.relay.Shards, route.others
	if _, err := r.cfg.Core.Run(ctx, core); err != nil {
		return refusal(status.From(err))
	}
	return &relayapi.Answer{Service: core.Service, Merged: w.merged()}
}

// pass answers with the reply of one target.
func (r *Relay) pass(ctx context.Context, req *relayapi.Request, route *route, core *engine.Request) *relayapi.Answer {
	part := route.choosePart()
	w := &passWork{work: work{relay: r, req: req, layout: route.parts[part], deadline: core.Deadline}}
	core.Work, core.Groups, core.GroupTargets = w, []string{route.relay.Split[part].Group}, route.partOthers[part]
	run := r.cfg.Core.Run
	if route.service.Repeat.Rule == sheet.AtMostOnce {
		run = r.cfg.Core.RunOnce
	}
	_, err := run(ctx, core)
	if err == nil {
		return &relayapi.Answer{Service: core.Service, Reply: w.reply}
	}
	var failed *relayapi.Failure
	if errors.As(err, &failed) && passable(failed.Reply.Status) {
		return &relayapi.Answer{Service: core.Service, Reply: failed.Reply}
	}
	return refusal(status.From(err))
}

// passable reports whether a target's failure may be passed on. Some statuses
// promise that the request did not run, which the target has not said.
func passable(code int) bool {
	switch code {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return false
	}
	return true
}

func refusal(err *status.Error) *relayapi.Answer { return &relayapi.Answer{Err: err} }

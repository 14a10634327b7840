package relay

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/balsamstall/balsamstall/coordination/coverage"
	"github.com/balsamstall/balsamstall/internal/engine"
	"github.com/balsamstall/balsamstall/protocol/relayapi"
	"github.com/balsamstall/balsamstall/protocol/sheet"
	"github.com/balsamstall/balsamstall/protocol/status"
)

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
	p, outdated := r.awaitRevision(ctx)
	if p == nil {
		return errorAnswer(status.New(status.NotReady, status.NotRun, "no sheet and target list are in force yet").WithRetryAfter(engine.DefaultRetryAfter))
	}
	route := p.findRoute(req.Host, req.Path)
	if outdated {
		return r.serveOutdated(ctx, req, p, route)
	}
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

// serveOutdated runs a request on an entry that has a newer sheet than this one, if one accepts it, and refuses it
// otherwise. route is that of the older sheet, or nil.
func (r *Relay) serveOutdated(ctx context.Context, req *relayapi.Request, p *plan, route *route) *relayapi.Answer {
	var answer *relayapi.Answer
	switch {
	case route == nil:
	case r.cfg.Engine.Detached():
		answer = r.detour(ctx, req, p, route)
	case route.layout != nil:
		answer = r.forward(ctx, r.waits.estimate(req, route.service.Name), p, route)
	}
	if answer != nil {
		return answer
	}
	return errorAnswer(status.New(status.NotReady, status.NotRun, "a newer sheet than revision %d is in force, and this entry does not have it yet", p.sheet.Revision).
		WithRetryAfter(engine.DefaultRetryAfter))
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
	engineReq.Fingerprint = r.cfg.Engine.Fingerprint(route.relay.Host, route.service.Name, req.Method+" "+req.Target+"\n", req.Body)
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
	// A home answers before the receiver gives up on it, which would leave the outcome unknown.
	wait := time.Duration(svc.Latency.MaxDeadlineMS)*time.Millisecond - req.HopMargin
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
	w := &gatherWork{requestWork: requestWork{relay: r, req: r.cfg.Targets.Encode(req), layout: route.layout, deadline: engineReq.Deadline, maxBodyBytes: maxShardReplyBytes}, topRecords: route.relay.TopRecords}
	engineReq.Work, engineReq.Groups, engineReq.GroupTargets = w, route.relay.Shards, route.allTargets
	if _, err := r.cfg.Engine.Run(ctx, engineReq); err != nil {
		return errorAnswer(status.From(err))
	}
	return &relayapi.Answer{Service: engineReq.Service, Merged: w.merged()}
}

// passThrough answers with the reply of one target.
func (r *Relay) passThrough(ctx context.Context, req *relayapi.Request, route *route, engineReq *engine.Request) *relayapi.Answer {
	part := route.choosePart()
	w := &passThroughWork{requestWork: requestWork{relay: r, req: r.cfg.Targets.Encode(req), layout: route.partLayouts[part], deadline: engineReq.Deadline}}
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
	if errors.As(err, &failed) && !failed.Reply.NotRun && canPassThrough(failed.Reply.HTTPStatus) {
		return &relayapi.Answer{Service: engineReq.Service, Reply: failed.Reply}
	}
	// A target's statement that it did not run the request concerns one attempt only.
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

package engine

import (
	"context"

	"github.com/balsamstall/balsamstall/coordination/quarantine"
	"github.com/balsamstall/balsamstall/protocol/status"
)

// RunOnce executes a request that must run at most once, on one target of its shard. Another target
// is tried only after an attempt that provably did not run. The outcome of an error tells whether
// the request may have run.
func (e *Engine) RunOnce(ctx context.Context, req *Request) (*Result, error) {
	release, err := e.admit(ctx, req)
	if err != nil {
		return nil, err
	}
	t := &trace{arrival: req.Arrival}
	result, err := e.sendOnce(ctx, req, t)
	answered := 1
	if err != nil {
		answered = 0
	}
	e.logRequest(req, t, answered, 1, err)
	release(loadResult(nil, err))
	return result, err
}

func (e *Engine) sendOnce(ctx context.Context, req *Request, t *trace) (*Result, error) {
	chosen, _, ok := req.Work.ChooseSnapshot(e.usable, nil)
	if !ok {
		return nil, status.New(status.Unavailable, status.NotRun, "service %s has no snapshot", req.Service).WithRetryAfter(DefaultRetryAfter)
	}
	shard := 0
	if req.SelectShard != nil {
		shard = req.SelectShard(len(chosen.Shards))
	}
	req.Work.StartMerge(chosen)
	guard, err := e.guardOnce(req)
	if err != nil {
		return nil, err
	}
	answered := false
	defer func() { guard.end(answered) }()
	e.prepareRateLimits(ctx, req, chosen.Shards[shard:shard+1], shard)
	e.policy.recordPrimaries(req, 1)
	tried, reached := guard.avoid, false
	var lastErr error = status.New(status.NoReplica, status.NotRun, "shard %d has no usable target", shard)
	for number := uint32(1); number <= maxAttempts; number++ {
		if reached && req.Groups != nil && !e.policy.tryRepeat(req, shard) {
			break
		}
		target, ok := e.chooseWithIsolation(req, chosen.Shards[shard], shard, tried, guard.isolated)
		if !ok && number == 1 {
			// Every replica has crashed with this request before. The crash guard limits how often
			// it may run on them again.
			target, ok = e.chooseWithIsolation(req, chosen.Shards[shard], shard, nil, guard.isolated)
		}
		if !ok {
			if _, limited := e.rateLimitWait(req, shard, e.candidates(req, chosen.Shards[shard], shard)); limited && number == 1 {
				t.recordStart(shard, "", causeRateLimited)
				lastErr = status.New(status.Overloaded, status.NotRun, "the targets of shard %d are at their rate limits", shard)
			}
			break
		}
		tried = append(tried, target)
		cause := causeFirst
		if number > 1 {
			cause = causeRetry
		}
		t.recordStart(shard, target, cause)
		reply, err := e.send(ctx, req, Attempt{
			Number: number, Shard: shard, Target: target, Cause: cause, Snapshot: chosen.Snapshot, AtMostOnce: true, FreshConnection: true,
		}, guard.isolated)
		t.recordEnd(shard, target, err)
		guard.recordAttempt(target, err)
		if err == nil {
			answered = true
			req.Work.Accept(shard, reply)
			return &Result{Snapshot: chosen, Answered: 1}, nil
		}
		lastErr = err
		reached = reached || mayHaveReached(err)
		if status.From(err).Outcome != status.NotRun || ctx.Err() != nil {
			break
		}
	}
	se := *status.From(lastErr)
	if se.RetryAfter == 0 {
		se.RetryAfter = DefaultRetryAfter
	}
	if wait, available := e.policy.anyAvailable(req, shard, e.candidates(req, chosen.Shards[shard], shard)); !available {
		se.RetryAfter = max(se.RetryAfter, wait)
	}
	return nil, &se
}

// onceGuard reports the attempts of one at-most-once request to the crash guard.
type onceGuard struct {
	engine   *Engine
	req      *Request
	isolated bool
	// avoid lists the targets that crashed while they ran the request.
	avoid []string
}

// guardOnce consults the crash guard. It returns an error when the request is refused because it
// crashed targets.
func (e *Engine) guardOnce(req *Request) (*onceGuard, error) {
	g := &onceGuard{engine: e, req: req}
	if !e.guarded(req) {
		return g, nil
	}
	decision, _ := e.guard.decide(req.Fingerprint)
	if err := decision.Err(); err != nil {
		return nil, err
	}
	g.isolated = decision.Verdict == quarantine.Isolate
	g.avoid = decision.Avoid
	return g, nil
}

// recordAttempt reports the end of an attempt.
func (g *onceGuard) recordAttempt(target string, err error) {
	run := quarantine.Run{Target: target, Isolated: g.isolated}
	if g.req.Groups != nil {
		go g.engine.detectCrash(g.req, run, err) // The answer does not wait for the check.
		return
	}
	g.engine.detectCrash(g.req, run, err)
}

// end reports the end of an isolated run.
func (g *onceGuard) end(answered bool) {
	if g.isolated {
		g.engine.guard.recordIsolatedEnd(g.req.Fingerprint, answered)
	}
}

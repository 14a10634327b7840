package engine

import (
	"context"

	"github.com/balsamstall/balsamstall/coordination/quarantine"
	"github.com/balsamstall/balsamstall/protocol/status"
)

// RunOnce runs a request that may run once at most, on one target of its shard.
// Another target is tried only after an attempt that provably did not run. The
// outcome of an error tells whether the request may have run.
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
	chosen, _, ok := req.Work.Choose(e.usable, nil)
	if !ok {
		return nil, status.New(status.Unavailable, status.NotRun, "service %s has no snapshot", req.Service).WithRetryAfter(DefaultRetryAfter)
	}
	shard := 0
	if req.SelectShard != nil {
		shard = req.SelectShard(len(chosen.Shards))
	}
	req.Work.Start(chosen)
	guarded, err := e.guardOnce(req)
	if err != nil {
		return nil, err
	}
	answered := false
	defer func() { guarded.end(answered) }()
	e.policy.planned(req, 1)
	tried, arrived := guarded.avoid, false
	var last error = status.New(status.NoReplica, status.NotRun, "shard %d has no usable target", shard)
	for number := uint32(1); number <= maxAttempts; number++ {
		if arrived && req.Pools != nil && !e.policy.allowRetry(req, shard) {
			break
		}
		target, ok := e.chooseKeptApart(req, chosen.Shards[shard], shard, tried, guarded.alone)
		if !ok && number == 1 {
			// Every replica crashed with this request before. The crash guard bounds
			// how often it may run here again.
			target, ok = e.chooseKeptApart(req, chosen.Shards[shard], shard, nil, guarded.alone)
		}
		if !ok {
			break
		}
		tried = append(tried, target)
		t.began(shard, target, "")
		reply, err := e.send(ctx, req, Attempt{
			Number: number, Shard: shard, Target: target, Snapshot: chosen.Snapshot, Once: true, Fresh: true,
		}, guarded.alone)
		t.ended(shard, target, err)
		guarded.attempted(target, err)
		if err == nil {
			answered = true
			req.Work.Accept(shard, reply)
			return &Result{Snapshot: chosen, Answered: 1}, nil
		}
		last = err
		arrived = arrived || mayHaveArrived(err)
		if status.From(err).Outcome != status.NotRun || ctx.Err() != nil {
			break
		}
	}
	se := *status.From(last)
	if se.RetryAfter == 0 {
		se.RetryAfter = DefaultRetryAfter
	}
	if wait, open := e.policy.open(e.candidates(req, chosen.Shards[shard], shard)); !open {
		se.RetryAfter = max(se.RetryAfter, wait)
	}
	return nil, &se
}

// onceGuard relates the attempts of one request to crashes of targets.
type onceGuard struct {
	engine *Engine
	req    *Request
	alone  bool
	// avoid lists targets that crashed with the request.
	avoid []string
}

// guardOnce returns an error when the request is refused because it crashed targets.
func (e *Engine) guardOnce(req *Request) (*onceGuard, error) {
	g := &onceGuard{engine: e, req: req}
	if !e.guarded(req) {
		return g, nil
	}
	decision, _ := e.guard.decide(req.Fingerprint)
	if err := decision.Err(); err != nil {
		return nil, err
	}
	g.alone = decision.Verdict == quarantine.Alone
	g.avoid = decision.Avoid
	return g, nil
}

// attempted takes note of the end of an attempt.
func (g *onceGuard) attempted(target string, err error) {
	run := quarantine.Run{Target: target, Alone: g.alone}
	if g.req.Pools != nil {
		go g.engine.noteIfCrashed(g.req, run, err) // The answer does not wait.
		return
	}
	g.engine.noteIfCrashed(g.req, run, err)
}

// end reports the end of a run that was allowed alone.
func (g *onceGuard) end(answered bool) {
	if g.alone {
		g.engine.guard.ended(g.req.Fingerprint, answered)
	}
}

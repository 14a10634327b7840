package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/balsamstall/balsamstall/coordination/coverage"
	"github.com/balsamstall/balsamstall/coordination/permit"
	"github.com/balsamstall/balsamstall/coordination/quarantine"
	"github.com/balsamstall/balsamstall/coordination/snapshot"
	"github.com/balsamstall/balsamstall/protocol/callerapi"
	"github.com/balsamstall/balsamstall/protocol/ids"
	"github.com/balsamstall/balsamstall/protocol/status"
	"github.com/balsamstall/balsamstall/protocol/targetapi"
	"github.com/balsamstall/balsamstall/state/journal"
	"github.com/balsamstall/balsamstall/transport/callerhttp"
	"github.com/balsamstall/balsamstall/transport/targethttp"
)

// searchOnce runs a request of an at-most-once service on the entry that
// issued its permit.
func (e *Engine) searchOnce(ctx context.Context, req *request) callerhttp.Reply {
	if req.search.Permit == "" {
		err := status.New(status.PermitRequired, status.NotRun, "send the request again with this permit")
		return e.errorReply(req.id, err, e.issuePermit(req))
	}
	claims, err := e.signer.Verify(req.search.Permit, req.use())
	if err != nil {
		return e.errorReply(req.id, err, "")
	}
	if claims.Issuer != e.self.Incarnation {
		return e.forward(ctx, req, claims)
	}
	return e.runPermit(ctx, req, claims)
}

func (r *request) use() permit.Use {
	return permit.Use{
		Caller:    r.caller.Name,
		Workspace: r.caller.Workspace,
		Service:   r.service.Name,
		Query:     r.search.Query,
	}
}

func (r *request) window() time.Duration {
	return time.Duration(r.service.Repeat.WindowS) * time.Second
}

func (e *Engine) issuePermit(req *request) string {
	return e.signer.Issue(permit.Claims{
		Issuer:      e.self.Incarnation,
		Entry:       e.self.Entry,
		Sequence:    req.id.Sequence,
		IssuedAt:    e.self.clock(),
		Window:      req.window(),
		Caller:      req.caller.Name,
		Workspace:   req.caller.Workspace,
		Service:     req.service.Name,
		QueryDigest: permit.Digest(req.search.Query),
	})
}

// runPermit runs a permit of this incarnation, or returns the outcome of its
// earlier run. A duplicate that arrives while the first runs waits for it.
func (e *Engine) runPermit(ctx context.Context, req *request, claims permit.Claims) callerhttp.Reply {
	for {
		expired := permit.Judge(claims, e.self.Incarnation, e.self.clock(), req.window()) == permit.Expired
		if expired {
			return e.errorReply(req.id, status.New(status.PermitExpired, status.Unknown, "the permit's repeat window has passed"), "")
		}
		result := e.journal.Begin(claims.Sequence, e.self.clock(), claims.Expires())
		switch result.State {
		case journal.Started:
			return e.runStarted(ctx, req, claims.Sequence)
		case journal.Finished:
			return e.replay(req.id, result.Record)
		case journal.Expired:
			return e.errorReply(req.id, status.New(status.PermitExpired, status.Unknown, "the permit has expired"), "")
		case journal.Sealed:
			err := status.New(status.Draining, status.NotRun, "this entry is stopping and did not run the permit")
			return e.errorReply(req.id, err.WithRetryAfter(defaultRetryAfter), "")
		}
		select {
		case <-result.Done:
		case <-ctx.Done():
			err := status.New(status.DeadlineExceeded, status.Unknown, "an earlier request with this permit is still running")
			return e.errorReply(req.id, err.WithRetryAfter(defaultRetryAfter), "")
		}
	}
}

// runStarted runs a permit whose journal entry this request holds. The run goes
// on when the caller disconnects, so that a repeat finds the outcome.
func (e *Engine) runStarted(ctx context.Context, req *request, seq uint64) callerhttp.Reply {
	runCtx, cancel := context.WithDeadline(context.WithoutCancel(ctx), req.deadline)
	defer cancel()
	release, err := e.policy.admit(runCtx, req)
	if err != nil {
		e.journal.Release(seq)
		return e.errorReply(req.id, err, "")
	}
	resp, err := e.sendOnce(runCtx, req)
	release(loadResult(resp, err))
	if err == nil {
		reply := e.answerReply(resp)
		e.journal.Finish(seq, journal.Record{Outcome: status.Done, HTTPStatus: reply.Status, Body: reply.Body})
		return reply
	}
	reply := e.errorReply(req.id, err, "")
	if status.From(err).Outcome == status.NotRun {
		e.journal.Release(seq)
		return reply
	}
	e.journal.Finish(seq, journal.Record{Outcome: status.Unknown, HTTPStatus: reply.Status, Body: reply.Body})
	return reply
}

// sendOnce sends the request to one target of the shard that its query selects.
// Another target is tried only after an attempt that provably did not run.
func (e *Engine) sendOnce(ctx context.Context, req *request) (*callerapi.SearchResponse, error) {
	chosen, _, ok := snapshot.Choose(req.plan.indexes[req.service.Name], e.usable, nil)
	if !ok {
		return nil, status.New(status.Unavailable, status.NotRun, "service %s has no snapshot", req.service.Name).WithRetryAfter(defaultRetryAfter)
	}
	shard := int(xxhash.Sum64String(req.search.Query) % uint64(len(chosen.Shards)))
	merger := coverage.New(chosen.Snapshot, len(chosen.Shards), []int{shard})
	answered := false
	guarded, err := e.guardOnce(req)
	if err != nil {
		return nil, err
	}
	defer func() { guarded.end(answered) }()
	tried := guarded.avoid
	var last error = status.New(status.NoReplica, status.NotRun, "shard %d has no usable target", shard)
	for attempt := uint32(1); attempt <= maxAttempts; attempt++ {
		target, ok := e.policy.pick(chosen.Shards[shard], tried)
		if !ok && attempt == 1 {
			// Every replica crashed with this request before. The crash guard bounds
			// how often it may run here again.
			target, ok = e.policy.pick(chosen.Shards[shard], nil)
		}
		if !ok {
			break
		}
		tried = append(tried, target)
		reply, err := e.attemptOnce(ctx, req, target, targetapi.Identity{
			RequestID: req.id.String(),
			Attempt:   attempt,
			Workspace: req.caller.Workspace,
			Service:   req.service.Name,
			Shard:     shard,
			Snapshot:  chosen.Snapshot,
		})
		guarded.attempted(target, err)
		if err == nil {
			answered = true
			return e.answerOnce(req, merger, chosen.Snapshot, reply)
		}
		last = err
		if status.From(err).Outcome != status.NotRun || ctx.Err() != nil {
			break
		}
	}
	se := *status.From(last)
	if se.RetryAfter == 0 {
		se.RetryAfter = defaultRetryAfter
	}
	return nil, &se
}

// onceGuard relates the attempts of one at-most-once request to crashes.
type onceGuard struct {
	engine      *Engine
	requestID   string
	fingerprint quarantine.Fingerprint
	alone       bool
	// avoid lists targets that crashed with the request.
	avoid []string
}

// guardOnce returns an error when the request is refused because it crashed targets.
func (e *Engine) guardOnce(req *request) (*onceGuard, error) {
	g := &onceGuard{engine: e, requestID: req.id.String()}
	if e.guard == nil {
		return g, nil
	}
	g.fingerprint = e.guard.fingerprint(req)
	decision, _ := e.guard.decide(g.fingerprint)
	if err := decision.Err(); err != nil {
		return nil, err
	}
	g.alone = decision.Verdict == quarantine.Alone
	g.avoid = decision.Avoid
	return g, nil
}

// attempted takes note of the end of an attempt.
func (g *onceGuard) attempted(target string, err error) {
	guard := g.engine.guard
	if guard != nil && g.engine.targetCrashed(target, err) {
		g.engine.metrics.Crashes.Add(1)
		refused := guard.crashed(g.fingerprint, target, g.alone)
		g.engine.noteCrash(target, g.requestID, refused)
		g.engine.spread()
	}
}

// end reports the end of a run that was allowed alone.
func (g *onceGuard) end(answered bool) {
	if g.alone {
		g.engine.guard.ended(g.fingerprint, answered)
	}
}

func (e *Engine) attemptOnce(ctx context.Context, req *request, target string, identity targetapi.Identity) (*targetapi.SearchReply, error) {
	token := e.policy.start(req.service.Name, target)
	reply, err := e.targets.Search(ctx, target, &targetapi.SearchRequest{
		Identity:       identity,
		Query:          req.search.Query,
		DeadlineUnixMS: req.deadline.UnixMilli(),
		AtMostOnce:     true,
	}, targethttp.Options{FreshConnection: true})
	e.policy.finish(token, classOf(err))
	e.metrics.attempt(err)
	e.noteFailure(target, req.id.String(), err)
	return reply, err
}

func (e *Engine) answerOnce(req *request, merger *coverage.Merger, snap ids.Snapshot, reply *targetapi.SearchReply) (*callerapi.SearchResponse, error) {
	hits := make([]callerapi.Hit, len(reply.Hits))
	for i, h := range reply.Hits {
		hits[i] = callerapi.Hit{Shard: reply.Shard, ID: h.ID, Score: h.Score, Body: h.Body}
	}
	merger.Accept(reply.Shard, hits)
	cov, results, err := merger.Seal(req.service.Coverage.MinRatio)
	if err != nil {
		e.violation("coverage", err)
		return nil, err
	}
	return &callerapi.SearchResponse{
		RequestID:     req.id.String(),
		Outcome:       status.Done,
		Service:       req.service.Name,
		Results:       results,
		Snapshot:      snap,
		Coverage:      cov,
		SheetRevision: req.plan.revision,
		Entry:         e.self.Entry,
	}, nil
}

// replay returns the remembered outcome of a permit.
func (e *Engine) replay(id ids.Request, record journal.Record) callerhttp.Reply {
	e.metrics.Replays.Add(1)
	if record.Outcome != status.Done {
		err := status.New(status.Unavailable, status.Unknown, "an earlier use of the permit ended with an unknown outcome")
		return e.errorReply(id, err, "")
	}
	var resp callerapi.SearchResponse
	if err := json.Unmarshal(record.Body, &resp); err != nil {
		return e.errorReply(id, status.Wrap(err, status.Internal, status.Unknown, "decoding the remembered answer"), "")
	}
	resp.Replayed = true
	body, err := json.Marshal(&resp)
	if err != nil {
		return e.errorReply(id, status.Wrap(err, status.Internal, status.Unknown, "encoding the remembered answer"), "")
	}
	return callerhttp.Reply{Status: http.StatusOK, Body: body}
}

package entry

import (
	"context"
	"time"

	"github.com/balsamstall/balsamstall/coordination/coverage"
	"github.com/balsamstall/balsamstall/coordination/hedge"
	"github.com/balsamstall/balsamstall/coordination/snapshot"
	"github.com/balsamstall/balsamstall/protocol/callerapi"
	"github.com/balsamstall/balsamstall/protocol/ids"
	"github.com/balsamstall/balsamstall/protocol/index"
	"github.com/balsamstall/balsamstall/protocol/status"
	"github.com/balsamstall/balsamstall/protocol/targetapi"
	"github.com/balsamstall/balsamstall/transport/callerhttp"
	"github.com/balsamstall/balsamstall/transport/targethttp"
)

const (
	// maxAttempts bounds the attempts of one sub-request, hedges included.
	maxAttempts = 3
	// answerMargin is kept free before the deadline to merge and send a
	// partial answer.
	answerMargin = 3 * time.Millisecond
)

// searchAll runs an idempotent search over all shards.
func (e *Engine) searchAll(ctx context.Context, req *request) callerhttp.Reply {
	release, err := e.policy.admit(ctx, req)
	if err != nil {
		return e.errorReply(req.id, err, "")
	}
	q := newQuery(e, req)
	resp, err := q.run(ctx)
	release(err)
	if err != nil {
		return e.errorReply(req.id, err, "")
	}
	return e.answerReply(resp)
}

// query is the scatter and gather of one request. Only the goroutine of the
// request touches it; attempts run in goroutines of their own and report on
// results.
type query struct {
	engine  *Engine
	req     *request
	results chan attemptResult
	timer   *time.Timer

	snapshot *index.Snapshot
	merger   *coverage.Merger
	subs     []subRequest
	// round counts the plans of this query; results of an earlier plan are dropped.
	round    int
	pending  int
	attempts uint32
	// excluded holds the snapshots that a target no longer serves.
	excluded []ids.Snapshot
	// combined is the outcome over all attempts that ended.
	combined  status.Outcome
	lastError error
}

// subRequest is the search of one shard.
type subRequest struct {
	shard       int
	started     time.Time
	tried       []string
	outstanding int
	resolved    bool
	// hedgeAt is the time of the next hedge decision, zero for none.
	hedgeAt  time.Time
	repeated bool // An earlier hedge decision refused.
	cancel   context.CancelFunc
	ctx      context.Context
}

type attemptResult struct {
	round  int
	sub    int
	target string
	reply  *targetapi.SearchReply
	err    error
}

func newQuery(e *Engine, req *request) *query {
	return &query{engine: e, req: req, combined: status.NotRun}
}

// run returns the answer, or an error whose outcome tells whether any attempt
// may have run. It returns when every shard is resolved, or shortly before the
// deadline with a partial answer.
func (q *query) run(ctx context.Context) (*callerapi.SearchResponse, error) {
	ctx, cancel := context.WithDeadline(ctx, q.req.deadline.Add(-answerMargin))
	defer cancel()
	if err := q.plan(ctx); err != nil {
		return nil, err
	}
	q.timer = time.NewTimer(time.Hour)
	defer q.timer.Stop()
	q.armHedge()
	for q.pending > 0 {
		select {
		case r := <-q.results:
			q.handle(ctx, r)
		case now := <-q.timer.C:
			q.hedge(now)
			q.armHedge()
		case <-ctx.Done():
			return q.finish()
		}
	}
	return q.finish()
}

// plan chooses the snapshot and sends the first attempt of every shard.
func (q *query) plan(ctx context.Context) error {
	e := q.engine
	chosen, _, ok := snapshot.Choose(q.req.plan.indexes[q.req.service.Name], e.policy.usable, q.isExcluded)
	if !ok {
		return status.New(status.Unavailable, status.NotRun, "service %s has no snapshot", q.req.service.Name).WithRetryAfter(defaultRetryAfter)
	}
	if n := len(chosen.Shards); n > q.req.service.Limits.MaxFanout {
		return status.New(status.TooLarge, status.NotRun, "the snapshot has %d shards and the sheet allows %d", n, q.req.service.Limits.MaxFanout)
	}
	for i := range q.subs {
		q.subs[i].cancel()
	}
	q.round++
	q.snapshot = chosen
	q.merger = coverage.New(chosen.Snapshot, len(chosen.Shards), nil)
	q.subs = make([]subRequest, len(chosen.Shards))
	q.pending = len(q.subs)
	// The channel holds every result, so that no attempt blocks after the query ended.
	q.results = make(chan attemptResult, len(q.subs)*(maxAttempts+1))
	e.policy.planned(q.req, len(q.subs))
	delay, hedging := e.policy.hedgeDelay(q.req.service.Name)
	now := time.Now()
	for i := range q.subs {
		s := &q.subs[i]
		s.shard = i
		s.started = now
		s.ctx, s.cancel = context.WithCancel(ctx)
		if hedging {
			s.hedgeAt = s.started.Add(delay)
		}
		if !q.launch(i) {
			q.miss(i, callerapi.ReasonNoReplica)
		}
	}
	return nil
}

func (q *query) isExcluded(s ids.Snapshot) bool {
	for _, x := range q.excluded {
		if x == s {
			return true
		}
	}
	return false
}

// launch sends an attempt of a sub-request to a target that was not tried yet.
func (q *query) launch(i int) bool {
	s := &q.subs[i]
	if len(s.tried) >= maxAttempts {
		return false
	}
	target, ok := q.engine.policy.pick(q.snapshot.Shards[s.shard], s.tried)
	if !ok {
		return false
	}
	s.tried = append(s.tried, target)
	s.outstanding++
	q.attempts++
	msg := &targetapi.SearchRequest{
		Identity: targetapi.Identity{
			RequestID: q.req.id.String(),
			Attempt:   q.attempts,
			Workspace: q.req.caller.Workspace,
			Service:   q.req.service.Name,
			Shard:     s.shard,
			Snapshot:  q.snapshot.Snapshot,
		},
		Query:          q.req.search.Query,
		DeadlineUnixMS: q.req.deadline.UnixMilli(),
	}
	go q.engine.attempt(s.ctx, q.results, attemptResult{round: q.round, sub: i, target: target}, msg)
	return true
}

// attempt sends one attempt and reports its result.
func (e *Engine) attempt(ctx context.Context, results chan<- attemptResult, r attemptResult, msg *targetapi.SearchRequest) {
	token := e.policy.start(msg.Service, r.target)
	r.reply, r.err = e.targets.Search(ctx, r.target, msg, targethttp.Options{
		SilentAfter: e.policy.silentAfter(msg.Service),
	})
	e.policy.finish(token, classOf(r.err))
	e.metrics.attempt(r.err)
	results <- r
}

// handle takes the result of an attempt.
func (q *query) handle(ctx context.Context, r attemptResult) {
	if r.err != nil && status.From(r.err).Outcome != status.NotRun || r.err == nil {
		q.combined = status.Unknown
	}
	if r.round != q.round {
		return
	}
	s := &q.subs[r.sub]
	s.outstanding--
	if s.resolved {
		return
	}
	if r.err == nil {
		q.accept(r.sub, r.reply)
		return
	}
	q.lastError = r.err
	code := status.CodeOf(r.err)
	q.merger.Miss(s.shard, reasonOf(code))
	if q.mayRetry(code) && q.launch(r.sub) {
		return
	}
	if s.outstanding > 0 {
		return
	}
	if code == status.VersionUnavailable && q.replan(ctx) {
		return
	}
	q.miss(r.sub, reasonOf(code))
}

// mayRetry reports whether a failed attempt may be followed by another. A
// silent connection is replaced without charge: each one closes a connection,
// which bounds the number of such retries.
func (q *query) mayRetry(code status.Code) bool {
	switch code {
	case status.Canceled, status.DeadlineExceeded:
		return false
	case status.ConnectionSilent, status.VersionUnavailable, status.Draining:
		return true
	}
	return q.engine.policy.allowRetry(q.req.service.Name)
}

// replan starts the query over at another snapshot when the time allows.
func (q *query) replan(ctx context.Context) bool {
	left := time.Until(q.req.deadline) - answerMargin
	expected := q.engine.policy.expectedLatency(q.req.service.Name)
	if !snapshot.Defaults().Replan(left, expected, q.round-1) {
		return false
	}
	previous := q.snapshot
	q.excluded = append(q.excluded, previous.Snapshot)
	// Attempts of the first plan may still be running.
	q.combined = status.Unknown
	next, covered, ok := snapshot.Choose(q.req.plan.indexes[q.req.service.Name], q.engine.policy.usable, q.isExcluded)
	if !ok || covered < len(next.Shards) {
		// A partial answer at the present snapshot beats another partial one.
		return false
	}
	if q.plan(ctx) != nil {
		return false
	}
	q.armHedge()
	return true
}

func (q *query) accept(i int, reply *targetapi.SearchReply) {
	s := &q.subs[i]
	hits := make([]callerapi.Hit, len(reply.Hits))
	for j, h := range reply.Hits {
		hits[j] = callerapi.Hit{Shard: s.shard, ID: h.ID, Score: h.Score, Body: h.Body}
	}
	q.merger.Accept(s.shard, hits)
	q.resolve(s)
}

func (q *query) miss(i int, reason callerapi.Reason) {
	s := &q.subs[i]
	q.merger.Miss(s.shard, reason)
	q.resolve(s)
}

func (q *query) resolve(s *subRequest) {
	s.resolved = true
	s.cancel()
	q.pending--
}

// armHedge sets the timer to the next hedge decision.
func (q *query) armHedge() {
	var next time.Time
	for i := range q.subs {
		s := &q.subs[i]
		if !s.resolved && !s.hedgeAt.IsZero() && (next.IsZero() || s.hedgeAt.Before(next)) {
			next = s.hedgeAt
		}
	}
	if next.IsZero() {
		q.timer.Stop()
		return
	}
	q.timer.Reset(max(time.Until(next), 0))
}

// hedge decides about each sub-request that waited for its delay.
func (q *query) hedge(now time.Time) {
	for i := range q.subs {
		s := &q.subs[i]
		if s.resolved || s.hedgeAt.IsZero() || now.Before(s.hedgeAt) {
			continue
		}
		decision := q.engine.policy.hedge(q.req.service.Name, hedge.Progress{
			Age:         now.Sub(s.started),
			Fanout:      len(q.subs),
			Outstanding: q.pending,
			Repeated:    s.repeated,
		})
		s.hedgeAt = time.Time{}
		switch decision.Verdict {
		case hedge.Send:
			if q.launch(i) {
				q.engine.metrics.Hedges.Add(1)
			}
		case hedge.Wait:
			s.hedgeAt = now.Add(decision.Wait)
		case hedge.Slow, hedge.Exhausted:
			s.repeated = true
			s.hedgeAt = now.Add(decision.Wait)
		}
	}
}

// finish cancels what is outstanding and returns the answer.
func (q *query) finish() (*callerapi.SearchResponse, error) {
	unfinished := false
	for i := range q.subs {
		if !q.subs[i].resolved {
			unfinished = true
		}
		q.subs[i].cancel()
	}
	cov, hits, err := q.merger.Seal(q.req.service.Coverage.MinRatio)
	if err != nil {
		q.engine.violation("coverage", err)
		return nil, err
	}
	if len(cov.Searched) == 0 {
		return nil, q.failure(unfinished)
	}
	return &callerapi.SearchResponse{
		RequestID:     q.req.id.String(),
		Outcome:       status.Done,
		Service:       q.req.service.Name,
		Results:       hits,
		Snapshot:      q.snapshot.Snapshot,
		Coverage:      cov,
		SheetRevision: q.req.plan.revision,
		Entry:         q.engine.self.Entry,
	}, nil
}

// failure is the error of a query without any reply.
func (q *query) failure(unfinished bool) error {
	outcome := q.combined
	if unfinished {
		// An attempt that did not report yet may have reached its target.
		outcome = status.Unknown
	}
	code := status.Unavailable
	if unfinished {
		code = status.DeadlineExceeded
	} else if q.lastError != nil {
		code = status.CodeOf(q.lastError)
	}
	return status.Wrap(q.lastError, code, outcome, "no shard could be searched").WithRetryAfter(defaultRetryAfter)
}

func reasonOf(code status.Code) callerapi.Reason {
	switch code {
	case status.Shed, status.Overloaded, status.Draining:
		return callerapi.ReasonShed
	case status.VersionUnavailable:
		return callerapi.ReasonVersionUnavailable
	case status.ReplyMismatch, status.TooLarge:
		return callerapi.ReasonReplyMismatch
	case status.ConnectionFailed, status.ConnectionSilent:
		return callerapi.ReasonConnectionFailed
	case status.DeadlineExceeded, status.Canceled:
		return callerapi.ReasonDeadline
	case status.NoReplica:
		return callerapi.ReasonNoReplica
	case status.RetryBudget:
		return callerapi.ReasonRetryBudget
	}
	return callerapi.ReasonTargetError
}

package engine

import (
	"cmp"
	"context"
	"math/rand/v2"
	"time"

	"github.com/balsamstall/balsamstall/coordination/quarantine"
	"github.com/balsamstall/balsamstall/coordination/snapshot"
	"github.com/balsamstall/balsamstall/protocol/callerapi"
	"github.com/balsamstall/balsamstall/protocol/ids"
	"github.com/balsamstall/balsamstall/protocol/index"
	"github.com/balsamstall/balsamstall/protocol/status"
)

const (
	// maxAttempts bounds the attempts of one sub-request, hedges included.
	maxAttempts = 4
	// answerMargin is the time reserved before the deadline to merge and send a partial answer.
	answerMargin = 3 * time.Millisecond
	// noSubRequest marks the absence of a sub-request index.
	noSubRequest = -1
)

// Run executes an idempotent request on all shards. It returns when every shard is resolved or
// waiting for the rest is not worthwhile. It returns an error when no shard has a reply, or too few
// under Contract.RequireMinRatio. The outcome of the error tells whether the request may have run.
func (e *Engine) Run(ctx context.Context, req *Request) (*Result, error) {
	release, err := e.admit(ctx, req)
	if err != nil {
		return nil, err
	}
	q := newQuery(e, req)
	result, err := q.run(ctx)
	e.logRequest(req, &q.trace, q.accepted, len(q.subs), err)
	release(loadResult(q.missing(), err))
	return result, err
}

// query is the scatter-gather state of one request. Only the goroutine of the request accesses it;
// attempts run in their own goroutines and report through results.
type query struct {
	engine  *Engine
	req     *Request
	results chan attemptResult
	timer   *time.Timer

	snapshot *index.Snapshot
	subs     []subRequest
	// planNumber is the number of the current plan, from 1; results of earlier plans are dropped.
	planNumber int
	// pending counts the sub-requests that are not resolved.
	pending int
	// accepted counts the merged replies, missed the sub-requests that were given up.
	accepted, missed int
	// cutoffAt is the time from which a partial answer may be sent, zero for never.
	cutoffAt time.Time
	attempts uint32
	// excluded holds the snapshots that a target no longer serves.
	excluded []ids.Snapshot
	// attemptsOutcome is the combined outcome of all attempts that ended.
	attemptsOutcome status.Outcome
	lastError       error
	// rateLimited is set if rate limits of targets left too few shards.
	rateLimited bool
	// leftOut lists the shards that the current plan leaves to requests that need them, kept those whose
	// free slots it leaves to more urgent requests, and fullShards those that had no room when the
	// request was rejected.
	leftOut, kept, fullShards []int
	// rejection is the reason of the last rejection by checkServable.
	rejection string
	// rateLimitWait is the longest time until the rate limits of a shard's targets may allow the
	// request, zero if none kept it from being sent.
	rateLimitWait time.Duration
	// aborted is the error that ends the query early, nil if there is none.
	aborted error

	fingerprint quarantine.Fingerprint
	// canary is the sub-request that runs before the others, or noSubRequest.
	canary int
	// isolatedSub is the sub-request that runs in isolation, or noSubRequest.
	isolatedSub int
	// isolationMoves counts how often the query tried to move the isolated run to another shard.
	isolationMoves int
	// avoid lists the targets that crashed while they ran the request.
	avoid []string
	// waitingForIsolated lists the sub-requests that wait for the end of the isolated run.
	waitingForIsolated []int
	trace              trace
	safe               bool // A target has answered this request.
}

// subRequest is the part of a query that concerns one shard.
type subRequest struct {
	shard   int
	started time.Time
	// tried lists the targets that get no further attempt.
	tried []string
	// attempts counts the attempts, outstanding those without a result.
	attempts    int
	outstanding int
	// reached counts the attempts that may have reached a target, ran those that may have run
	// there.
	reached, ran int
	// freshConnection is set when the next attempt needs a connection that was never used.
	freshConnection bool
	launched        bool
	resolved        bool
	// answered is set when a reply was merged; until then reason says why it is missing.
	answered bool
	reason   callerapi.Reason
	// hedgeAt is the time of the next hedge decision, zero for none.
	hedgeAt     time.Time
	hedgeDenied bool // An earlier decision denied a hedge.
	// launchRemainingAt is the time at which the other shards stop waiting for the canary.
	launchRemainingAt time.Time
	cancel            context.CancelFunc
	ctx               context.Context
}

// attemptResult is the result of one attempt.
type attemptResult struct {
	planNumber int
	// sub is the index of the sub-request in query.subs.
	sub   int
	reply any
	err   error
	// run describes the attempt to the crash guard.
	run quarantine.Run
	// crashed is set when the target crashed during the attempt, quarantined when the request is
	// quarantined from then on.
	crashed, quarantined bool
}

func newQuery(e *Engine, req *Request) *query {
	return &query{engine: e, req: req, trace: trace{arrival: req.Arrival}, attemptsOutcome: status.NotRun, canary: noSubRequest, isolatedSub: noSubRequest}
}

// run returns the answer, or an error whose outcome tells whether any attempt may have run. It
// returns when every shard is resolved or the answer is sufficient, and at the latest shortly
// before the deadline with a partial answer.
func (q *query) run(ctx context.Context) (*Result, error) {
	ctx, cancel := context.WithDeadline(ctx, q.req.Deadline.Add(-answerMargin))
	defer cancel()
	if err := q.checkCrashGuard(); err != nil {
		return nil, err
	}
	defer q.endIsolatedRun(false)
	q.timer = time.NewTimer(time.Hour)
	defer q.timer.Stop()
	if err := q.plan(ctx); err != nil {
		return nil, err
	}
	for q.pending > 0 && q.aborted == nil && !q.sufficient() {
		select {
		case r := <-q.results:
			q.handleResult(ctx, r)
		case now := <-q.timer.C:
			q.onTimer(now)
		case <-ctx.Done():
			return q.finish()
		}
	}
	return q.finish()
}

// plan chooses the snapshot and sends the first attempt to every shard, or to the canary shard
// only.
func (q *query) plan(ctx context.Context) error {
	e := q.engine
	chosen, _, ok := q.req.Work.ChooseSnapshot(e.usable, q.isExcluded)
	if !ok {
		return status.New(status.Unavailable, status.NotRun, "service %s has no snapshot", q.req.Service).WithRetryAfter(DefaultRetryAfter)
	}
	if n, limit := len(chosen.Shards), q.req.Contract.MaxFanout; limit > 0 && n > limit {
		return status.New(status.TooLarge, status.NotRun, "the snapshot has %d shards and the sheet allows %d", n, limit)
	}
	e.prepareRateLimits(ctx, q.req, chosen.Shards, 0)
	if err := q.awaitServable(ctx, chosen); err != nil {
		return err
	}
	for i := range q.subs {
		q.subs[i].cancel()
	}
	q.planNumber++
	q.snapshot = chosen
	q.req.Work.StartMerge(chosen)
	q.accepted, q.missed = 0, 0
	q.subs = make([]subRequest, len(chosen.Shards))
	q.pending = len(q.subs)
	// The channel has room for every result, so that no attempt blocks after the query ended.
	q.results = make(chan attemptResult, len(q.subs)*(maxAttempts+1))
	if at, ok := q.req.Contract.Cutoff.At(); ok {
		q.cutoffAt = q.req.Arrival.Add(at)
	}
	e.policy.recordPrimaries(q.req, len(q.subs))
	for i := range q.subs {
		s := &q.subs[i]
		s.shard = i
		s.ctx, s.cancel = context.WithCancel(ctx)
	}
	if q.canary == noSubRequest {
		q.launchRemaining()
	} else {
		q.canary = rand.IntN(len(q.subs))
		if q.isolatedSub != noSubRequest {
			q.isolatedSub = q.canary
		}
		q.launchFirst(q.canary)
	}
	q.armTimer()
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

// replan restarts the query at another snapshot when the remaining time allows it. It returns false
// when the query was not restarted.
func (q *query) replan(ctx context.Context) bool {
	left := time.Until(q.req.Deadline) - answerMargin
	expected := q.engine.policy.expectedLatency(q.req.Service)
	if !snapshot.DefaultSettings().ShouldReplan(left, expected, q.planNumber-1) {
		return false
	}
	previous := q.snapshot
	q.excluded = append(q.excluded, previous.Snapshot)
	next, covered, ok := q.req.Work.ChooseSnapshot(q.engine.usable, q.isExcluded)
	if !ok || covered < len(next.Shards) {
		// A partial answer at the current snapshot is better than another partial answer.
		return false
	}
	if q.canary == noSubRequest {
		// The isolated run belongs to the previous plan.
		q.endIsolatedRun(false)
		q.waitingForIsolated = nil
	}
	if q.outstanding() > 0 {
		// The results of these attempts are dropped with the previous plan.
		q.attemptsOutcome = status.Unknown
	}
	return q.plan(ctx) == nil
}

// accept merges the reply of a sub-request and resolves it.
func (q *query) accept(i int, reply any) {
	s := &q.subs[i]
	q.req.Work.Accept(s.shard, reply)
	q.accepted++
	s.answered = true
	q.resolve(s)
	q.releaseAfterReply(i)
}

// giveUp resolves a sub-request without a reply.
func (q *query) giveUp(i int, reason callerapi.Reason) {
	s := &q.subs[i]
	q.recordReason(s, reason)
	q.resolve(s)
	q.missed++
	if c := &q.req.Contract; c.RequireMinRatio && q.aborted == nil && !c.Cutoff.MeetsMinRatio(len(q.subs)-q.missed, len(q.subs)) {
		// The remaining shards no longer suffice for an answer.
		q.aborted = q.failureError(q.pending > 0)
	}
}

// recordReason records why a sub-request has no reply so far.
func (q *query) recordReason(s *subRequest, reason callerapi.Reason) {
	s.reason = reason
	q.req.Work.MarkMissing(s.shard, reason)
}

// missing returns the reasons of the sub-requests without a reply.
func (q *query) missing() []callerapi.Reason {
	var reasons []callerapi.Reason
	for i := range q.subs {
		if s := &q.subs[i]; !s.answered {
			reasons = append(reasons, cmp.Or(s.reason, callerapi.ReasonDeadline))
		}
	}
	return reasons
}

// resolve ends a sub-request and cancels its outstanding attempts.
func (q *query) resolve(s *subRequest) {
	s.resolved = true
	s.cancel() // A losing attempt would hold a slot that another request needs.
	q.pending--
}

// sufficient reports whether the answer is sent without the missing shards.
func (q *query) sufficient() bool {
	return q.req.Contract.Cutoff.Sufficient(time.Since(q.req.Arrival), q.accepted, len(q.subs))
}

// finish cancels the outstanding attempts and returns the answer.
func (q *query) finish() (*Result, error) {
	unfinished := false
	for i := range q.subs {
		unfinished = unfinished || !q.subs[i].resolved
		q.subs[i].cancel()
	}
	if q.aborted != nil {
		return nil, q.aborted
	}
	if q.accepted == 0 || q.req.Contract.RequireMinRatio && !q.req.Contract.Cutoff.MeetsMinRatio(q.accepted, len(q.subs)) {
		return nil, q.failureError(unfinished)
	}
	return &Result{Snapshot: q.snapshot, Answered: q.accepted}, nil
}

// failureError returns the error of a query with no reply, or with too few under
// Contract.RequireMinRatio, and ends its attempts.
func (q *query) failureError(unfinished bool) error {
	outcome := q.finalOutcome()
	code := status.Unavailable
	if unfinished && !time.Now().Before(q.req.Deadline.Add(-answerMargin)) {
		code = status.DeadlineExceeded
	} else if q.lastError != nil {
		code = status.CodeOf(q.lastError)
	}
	return status.Wrap(q.lastError, code, outcome, "%d of %d shards could be searched", q.accepted, len(q.subs)).WithRetryAfter(max(randomRetryAfter(globalRand{}, q.req.Contract.Cutoff.Goal), q.rateLimitWait))
}

// reasonOf returns the reason reported for a shard whose attempt failed with code.
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

package engine

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/balsamstall/balsamstall/coordination/coverage"
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
	// answerMargin is kept free before the deadline to merge and send a
	// partial answer.
	answerMargin = 3 * time.Millisecond
	// none is the number of no sub-request.
	none = -1
)

// Run runs an idempotent request over all shards. It returns when every shard
// is resolved or the wait for the rest does not pay, and an error when no shard
// has a reply. The outcome of an error tells whether the request may have run.
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

// query is the scatter and gather of one request. Only the goroutine of the
// request touches it; attempts run in goroutines of their own and report on
// results.
type query struct {
	engine  *Engine
	req     *Request
	results chan attemptResult
	timer   *time.Timer

	snapshot *index.Snapshot
	subs     []subRequest
	// round counts the plans of this query; results of an earlier plan are dropped.
	round   int
	pending int
	// accepted counts the merged replies, missed the shards that were given up.
	accepted, missed int
	// cutoffAt is the time from which a partial answer may leave, zero for never.
	cutoffAt time.Time
	attempts uint32
	// excluded holds the snapshots that a target no longer serves.
	excluded []ids.Snapshot
	// combined is the outcome over all attempts that ended.
	combined  status.Outcome
	lastError error
	// aborted ends the query with an error, nil for none.
	aborted error

	fingerprint quarantine.Fingerprint
	// canary is the sub-request that runs before the others, or -1.
	canary int
	// trial is the sub-request that runs under the verdict Alone, or -1.
	trial int
	// trials counts the shards on which the query tried to run alone.
	trials int
	// avoid lists targets that crashed with the request.
	avoid []string
	// held lists sub-requests that wait for the end of the trial.
	held  []int
	trace trace
	safe  bool // A target answered this request.
}

// subRequest is the search of one shard.
type subRequest struct {
	shard   int
	started time.Time
	// tried lists targets that get no further attempt.
	tried []string
	// attempts counts the attempts, and outstanding those without a result.
	attempts    int
	outstanding int
	// arrived counts the attempts that may have reached a target, and ran those that
	// may have run there.
	arrived, ran int
	// fresh is set when the next attempt needs a new connection.
	fresh    bool
	launched bool
	resolved bool
	// answered is set when a reply was merged; reason is the last one to miss it.
	answered bool
	reason   callerapi.Reason
	// hedgeAt is the time of the next hedge decision, zero for none.
	hedgeAt  time.Time
	repeated bool // An earlier hedge decision refused.
	// restAt is the time at which the other shards stop waiting for the canary.
	restAt time.Time
	cancel context.CancelFunc
	ctx    context.Context
}

type attemptResult struct {
	round int
	sub   int
	reply any
	err   error
	// run describes the attempt to the crash guard.
	run quarantine.Run
	// crashed is set when the target crashed during the attempt, and refused
	// when the request is refused from then on.
	crashed, refused bool
}

func newQuery(e *Engine, req *Request) *query {
	return &query{engine: e, req: req, trace: trace{arrival: req.Arrival}, combined: status.NotRun, canary: none, trial: none}
}

// run returns the answer, or an error whose outcome tells whether any attempt
// may have run. It returns when every shard is resolved, or shortly before the
// deadline with a partial answer.
func (q *query) run(ctx context.Context) (*Result, error) {
	ctx, cancel := context.WithDeadline(ctx, q.req.Deadline.Add(-answerMargin))
	defer cancel()
	if err := q.screen(); err != nil {
		return nil, err
	}
	defer q.endTrial(false)
	q.timer = time.NewTimer(time.Hour)
	defer q.timer.Stop()
	if err := q.plan(ctx); err != nil {
		return nil, err
	}
	for q.pending > 0 && q.aborted == nil && !q.sufficient() {
		select {
		case r := <-q.results:
			q.handle(ctx, r)
		case now := <-q.timer.C:
			q.due(now)
		case <-ctx.Done():
			return q.finish()
		}
	}
	return q.finish()
}

// plan chooses the snapshot and sends the first attempt of every shard.
func (q *query) plan(ctx context.Context) error {
	e := q.engine
	chosen, _, ok := q.req.Work.Choose(e.usable, q.isExcluded)
	if !ok {
		return status.New(status.Unavailable, status.NotRun, "service %s has no snapshot", q.req.Service).WithRetryAfter(DefaultRetryAfter)
	}
	if n, most := len(chosen.Shards), q.req.Contract.MaxFanout; most > 0 && n > most {
		return status.New(status.TooLarge, status.NotRun, "the snapshot has %d shards and the sheet allows %d", n, most)
	}
	if err := q.awaitServable(ctx, chosen); err != nil {
		return err
	}
	for i := range q.subs {
		q.subs[i].cancel()
	}
	q.round++
	q.snapshot = chosen
	q.req.Work.Start(chosen)
	q.accepted, q.missed = 0, 0
	q.subs = make([]subRequest, len(chosen.Shards))
	q.pending = len(q.subs)
	// The channel holds every result, so that no attempt blocks after the query ended.
	q.results = make(chan attemptResult, len(q.subs)*(maxAttempts+1))
	if at, ok := q.req.Contract.Cutoff.At(); ok {
		q.cutoffAt = q.req.Arrival.Add(at)
	}
	e.policy.planned(q.req, len(q.subs))
	for i := range q.subs {
		s := &q.subs[i]
		s.shard = i
		s.ctx, s.cancel = context.WithCancel(ctx)
	}
	if q.canary == none {
		q.launchRest()
	} else {
		q.canary = rand.IntN(len(q.subs))
		if q.trial != none {
			q.trial = q.canary
		}
		q.launchFirst(q.canary)
	}
	q.armTimer()
	return nil
}

// Parts of the latency goal after which a caller comes back that was refused because
// shards are overloaded. They are spread, so that callers do not return together, and
// short enough that the second call can be answered within the goal of the first: a place
// becomes free within some ms, and another entry may have one already.
const (
	minReturnPart = 0.1
	maxReturnPart = 0.3
)

// returnTime draws the time after which such a caller comes back.
func returnTime(rng globalRand, goal time.Duration) time.Duration {
	if goal <= 0 {
		return DefaultRetryAfter
	}
	return time.Duration((minReturnPart + (maxReturnPart-minReturnPart)*rng.Float64()) * float64(goal))
}

// servable refuses a request before anything is sent when too few of its shards
// take it.
func (q *query) servable(chosen *index.Snapshot) error {
	if !q.req.Contract.Complete {
		return nil
	}
	n := len(chosen.Shards)
	open := 0
	var waits []time.Duration // Of the closed shards.
	for i, targets := range chosen.Shards {
		if q.req.Others != nil {
			targets = q.req.Others[i]
		}
		wait, ok := q.engine.policy.open(targets)
		switch {
		case !ok:
			waits = append(waits, wait)
		case q.engine.policy.free(q.req, i):
			open++
		}
	}
	if q.req.Contract.Cutoff.MeetsMinRatio(open, n) {
		return nil
	}
	pause := returnTime(globalRand{}, q.req.Contract.Cutoff.Goal) + opensIn(waits, n, q.req.Contract.Cutoff)
	return status.New(status.Overloaded, status.NotRun, "%d of %d shards take the request", open, n).WithRetryAfter(pause)
}

const (
	// lateWait is the longest time for which the request of a late caller waits for places
	// that no other request needs, and latePoll the interval at which it looks for them.
	lateWait = time.Second
	latePoll = 10 * time.Millisecond
	// lateReserve is the time left to its deadline with which it stops waiting.
	lateReserve = 300 * time.Millisecond
	// maxLate bounds the requests that wait so.
	maxLate = 64
)

// awaitServable is servable for a request that may wait. A caller whose goal has passed
// loses nothing by a wait, while one who came just now would: late callers get the places
// that are left.
func (q *query) awaitServable(ctx context.Context, chosen *index.Snapshot) error {
	err := q.servable(chosen)
	if err == nil || !q.req.late() {
		return err
	}
	waiting := &q.engine.lateWaiting
	if waiting.Add(1) > maxLate {
		waiting.Add(-1)
		return err
	}
	defer waiting.Add(-1)
	end := time.Now().Add(min(lateWait, time.Until(q.req.Deadline)-lateReserve))
	for err != nil && time.Now().Before(end) {
		select {
		case <-ctx.Done():
			return err
		case <-time.After(latePoll):
			err = q.servable(chosen)
		}
	}
	return err
}

// opensIn returns the time until enough of the closed shards take requests again, zero
// when it is not known or the others are enough: those are only busy.
func opensIn(waits []time.Duration, shards int, need coverage.Cutoff) time.Duration {
	others := shards - len(waits)
	if need.MeetsMinRatio(others, shards) {
		return 0
	}
	slices.Sort(waits)
	for i, wait := range waits {
		if need.MeetsMinRatio(others+i+1, shards) {
			return wait
		}
	}
	return 0
}

func (q *query) isExcluded(s ids.Snapshot) bool {
	for _, x := range q.excluded {
		if x == s {
			return true
		}
	}
	return false
}

// replan starts the query over at another snapshot when the time allows.
func (q *query) replan(ctx context.Context) bool {
	left := time.Until(q.req.Deadline) - answerMargin
	expected := q.engine.policy.expectedLatency(q.req.Service)
	if !snapshot.DefaultSettings().ShouldReplan(left, expected, q.round-1) {
		return false
	}
	previous := q.snapshot
	q.excluded = append(q.excluded, previous.Snapshot)
	// Attempts of the first plan may still be running.
	q.combined = status.Unknown
	next, covered, ok := q.req.Work.Choose(q.engine.usable, q.isExcluded)
	if !ok || covered < len(next.Shards) {
		// A partial answer at the present snapshot beats another partial one.
		return false
	}
	if q.canary == none {
		// The sub-request of the trial belongs to the first plan.
		q.endTrial(false)
		q.held = nil
	}
	return q.plan(ctx) == nil
}

func (q *query) accept(i int, reply any) {
	s := &q.subs[i]
	q.req.Work.Accept(s.shard, reply)
	q.accepted++
	s.answered = true
	q.resolve(s)
	q.cleared(i)
}

func (q *query) miss(i int, reason callerapi.Reason) {
	s := &q.subs[i]
	q.note(s, reason)
	q.resolve(s)
	q.missed++
	if c := &q.req.Contract; c.Complete && q.aborted == nil && !c.Cutoff.MeetsMinRatio(len(q.subs)-q.missed, len(q.subs)) {
		// The other shards cannot make an answer any more.
		q.aborted = q.failure(q.pending > 0)
	}
}

// note records why a sub-request has no reply so far.
func (q *query) note(s *subRequest, reason callerapi.Reason) {
	s.reason = reason
	q.req.Work.Miss(s.shard, reason)
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

func (q *query) resolve(s *subRequest) {
	s.resolved = true
	s.cancel() // A loser would hold a slot that another request needs.
	q.pending--
}

// sufficient reports whether the answer leaves without the missing shards.
func (q *query) sufficient() bool {
	return q.req.Contract.Cutoff.Sufficient(time.Since(q.req.Arrival), q.accepted, len(q.subs))
}

// finish ends what is outstanding and returns the answer.
func (q *query) finish() (*Result, error) {
	unfinished := false
	for i := range q.subs {
		unfinished = unfinished || !q.subs[i].resolved
		q.subs[i].cancel()
	}
	if q.aborted != nil {
		return nil, q.aborted
	}
	if q.accepted == 0 || q.req.Contract.Complete && !q.req.Contract.Cutoff.MeetsMinRatio(q.accepted, len(q.subs)) {
		return nil, q.failure(unfinished)
	}
	return &Result{Snapshot: q.snapshot, Answered: q.accepted}, nil
}

// failure is the error of a query without any reply.
func (q *query) failure(unfinished bool) error {
	outcome := q.combined
	if unfinished {
		// An attempt that did not report yet may have reached its target.
		outcome = status.Unknown
	}
	code := status.Unavailable
	if unfinished && !time.Now().Before(q.req.Deadline.Add(-answerMargin)) {
		code = status.DeadlineExceeded
	} else if q.lastError != nil {
		code = status.CodeOf(q.lastError)
	}
	return status.Wrap(q.lastError, code, outcome, "%d of %d shards could be searched", q.accepted, len(q.subs)).WithRetryAfter(returnTime(globalRand{}, q.req.Contract.Cutoff.Goal))
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

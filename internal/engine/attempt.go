package engine

import (
	"context"
	"slices"
	"time"

	"github.com/balsamstall/balsamstall/coordination/quarantine"
	"github.com/balsamstall/balsamstall/protocol/callerapi"
	"github.com/balsamstall/balsamstall/protocol/status"
)

// launchRest sends the first attempt of every sub-request that has none.
func (q *query) launchRest() {
	q.canary = none
	for i := range q.subs {
		if !q.subs[i].launched && q.aborted == nil {
			q.launchFirst(i)
		}
	}
}

// launchFirst sends the first attempt of a sub-request.
func (q *query) launchFirst(i int) {
	s := &q.subs[i]
	s.launched = true
	s.started = time.Now()
	if delay, ok := q.engine.policy.hedgeDelay(q.req); ok {
		s.hedgeAt = s.started.Add(delay)
	}
	if i == q.canary && i != q.trial {
		s.restAt = s.started.Add(q.canaryWait())
	}
	if !q.engine.policy.free(q.req, s.shard) {
		q.trace.began(s.shard, "", causeOverLimit)
		q.miss(i, callerapi.ReasonShed)
		return
	}
	if q.launch(i, causeFirst) {
		return
	}
	q.trace.began(s.shard, "", causeNoReplica)
	q.miss(i, callerapi.ReasonNoReplica)
	switch i {
	case q.trial:
		q.endTrial(false)
		q.aborted = q.failure(false)
	case q.canary:
		q.launchRest()
	}
}

// slowPart is the part of the time to the cutoff that makes a target slow. A usual
// reply takes an eighth.
const slowPart = 0.3

// settleIn is the age of the process from which slow targets are avoided. When many
// entries start together every target is slow, and new connections to the others make
// it worse.
const settleIn = 6 * time.Second

// choose picks a target of a shard: one to which this entry keeps connections, or
// another one when those are tried, slow or failed lately.
func (e *Engine) choose(req *Request, targets []string, shard int, exclude []string) (string, bool) {
	if req.Others == nil {
		target, _, ok := e.policy.pick(req, shard, targets, exclude, 0)
		return target, ok
	}
	slow := time.Duration(0)
	if at, _ := req.Contract.Cutoff.At(); e.self.Clock() > settleIn {
		slow = time.Duration(slowPart * float64(at))
	}
	target, weak, ok := e.policy.pick(req, shard, targets, exclude, slow)
	if ok && !weak {
		return target, true
	}
	other, otherWeak, found := e.policy.pick(req, shard, req.Others[shard], exclude, slow)
	if found && (!ok || !otherWeak) {
		return other, true
	}
	return target, ok
}

// launch sends an attempt of a sub-request to a target that was not tried yet.
func (q *query) launch(i int, cause string) bool {
	s := &q.subs[i]
	if s.attempts >= maxAttempts || q.req.Contract.MaxRuns > 0 && s.ran+s.outstanding >= q.req.Contract.MaxRuns {
		return false
	}
	exclude := s.tried
	if len(q.avoid) > 0 {
		exclude = slices.Concat(s.tried, q.avoid)
	}
	alone := i == q.trial
	target, ok := q.engine.chooseKeptApart(q.req, q.snapshot.Shards[s.shard], s.shard, exclude, alone)
	if !ok {
		return false
	}
	s.tried = append(s.tried, target)
	s.attempts++
	s.outstanding++
	q.attempts++
	q.trace.began(s.shard, target, cause)
	go q.engine.attempt(s.ctx, q.req, q.results, attemptResult{
		round: q.round, sub: i,
		run: quarantine.Run{Target: target, Alone: alone, AnsweredElsewhere: q.accepted > 0},
	}, Attempt{
		Number:      q.attempts,
		Shard:       s.shard,
		Target:      target,
		Snapshot:    q.snapshot.Snapshot,
		Fresh:       s.fresh,
		SilentAfter: q.engine.policy.silentAfter(q.req.Service),
	})
	return true
}

// attempt sends one attempt and reports its result.
func (e *Engine) attempt(ctx context.Context, req *Request, results chan<- attemptResult, r attemptResult, a Attempt) {
	r.reply, r.err = e.send(ctx, req, a, r.run.Alone)
	if req.Pools != nil {
		// The next attempt does not wait for the connection that tells a crash from a
		// lost reply.
		results <- r
		e.noteIfCrashed(req, r.run, r.err)
		return
	}
	// Recorded here because the query may have ended already.
	r.crashed, r.refused = e.noteIfCrashed(req, r.run, r.err)
	results <- r
}

// send sends one attempt, whose target chooseKeptApart chose, and takes note of its end.
func (e *Engine) send(ctx context.Context, req *Request, a Attempt, alone bool) (reply any, err error) {
	token := e.policy.start(req, a.Shard, a.Target)
	began := e.self.Clock()
	reply, err = req.Work.Send(ctx, a)
	if alone {
		e.lone.end(a.Target)
	}
	e.policy.finish(token, classOf(err), refusedConnection(err))
	e.metrics.attempt(err)
	if answered := err == nil || mayHaveAnswered(err); answered || unansweredCode(err) {
		e.noteZone(a.Target, answered, began)
	}
	e.noteFailure(a.Target, req.ID, err)
	e.noteBrokenOff(a.Target, req.ID, err)
	return reply, err
}

// handle takes the result of an attempt.
func (q *query) handle(ctx context.Context, r attemptResult) {
	if r.err == nil || status.From(r.err).Outcome != status.NotRun {
		q.combined = status.Unknown
	}
	if r.round != q.round {
		return
	}
	s := &q.subs[r.sub]
	s.outstanding--
	q.trace.ended(s.shard, r.run.Target, r.err)
	if mayHaveArrived(r.err) {
		s.arrived++
	}
	if r.err == nil || status.From(r.err).Outcome != status.NotRun {
		s.ran++
	}
	if r.crashed {
		q.crashed(r.sub, r.refused)
		return
	}
	if s.resolved {
		return
	}
	if r.err == nil {
		q.accept(r.sub, r.reply)
		return
	}
	q.failed(ctx, r)
}

// failed retries a sub-request, starts the query over, or gives the shard up.
func (q *query) failed(ctx context.Context, r attemptResult) {
	s := &q.subs[r.sub]
	q.lastError = r.err
	code := status.CodeOf(r.err)
	q.note(s, reasonOf(code))
	if code == status.ConnectionSilent {
		// The target works; only the connection is to blame.
		s.tried = slices.DeleteFunc(s.tried, func(t string) bool { return t == r.run.Target })
		s.fresh = true
	}
	reason := reasonOf(code)
	switch q.mayRetry(s, code) {
	case retryAllowed:
		if q.launch(r.sub, causeRetry) {
			return
		}
	case retryOverBudget:
		q.trace.began(s.shard, "", causeNoBudget)
		// Admission control must see that a target shed the attempt.
		if code != status.Shed {
			reason = callerapi.ReasonRetryBudget
			q.note(s, reason)
		}
	}
	if s.outstanding > 0 {
		return
	}
	if code == status.VersionUnavailable && q.replan(ctx) {
		return
	}
	if r.sub == q.trial && r.sub == q.canary && status.From(r.err).Outcome == status.NotRun && q.moveTrial(r.sub) {
		return
	}
	if r.sub == q.trial {
		q.endTrial(false)
		q.aborted = q.failure(false)
		return
	}
	q.miss(r.sub, reason)
	if r.sub == q.canary {
		q.launchRest()
	}
}

// refusedConnection reports whether no connection to the target could be opened.
func refusedConnection(err error) bool {
	return status.CodeOf(err) == status.ConnectionFailed && status.From(err).Outcome == status.NotRun
}

// mayHaveArrived reports whether an attempt with this error may have reached its
// target. A refusal by the target has.
func mayHaveArrived(err error) bool {
	if err == nil {
		return true
	}
	se := status.From(err)
	if se.Outcome != status.NotRun {
		return true
	}
	switch se.Code {
	case status.ConnectionFailed, status.NoReplica, status.Canceled, status.DeadlineExceeded:
		return false
	}
	return true
}

// mayHaveAnswered reports whether a target sent anything in reply to an attempt with this
// error, and unansweredCode whether it may have sent nothing.
func mayHaveAnswered(err error) bool {
	switch status.CodeOf(err) {
	case status.Shed, status.Unavailable, status.ReplyMismatch, status.TooLarge, status.VersionUnavailable, status.Overloaded:
		return true
	}
	return false
}

func unansweredCode(err error) bool {
	switch status.CodeOf(err) {
	case status.Canceled, status.DeadlineExceeded, status.ConnectionFailed, status.ConnectionSilent:
		return true
	}
	return false
}

// retryVerdict says whether a failed attempt may be followed by another.
type retryVerdict int

const (
	retryAllowed retryVerdict = iota
	// retryPointless means that another attempt cannot help.
	retryPointless
	// retryOverBudget means that the service's retry budget is spent.
	retryOverBudget
)

// mayRetry decides about a retry. A silent connection is replaced without charge:
// each one closes a connection, which bounds the number of such retries.
func (q *query) mayRetry(s *subRequest, code status.Code) retryVerdict {
	switch code {
	case status.Canceled, status.DeadlineExceeded:
		return retryPointless
	}
	if q.req.Pools != nil {
		// The next attempt is no repeat while none has reached a target.
		if s.arrived+s.outstanding == 0 || q.engine.policy.allowRetry(q.req, s.shard) {
			return retryAllowed
		}
		return retryOverBudget
	}
	switch code {
	case status.ConnectionSilent, status.VersionUnavailable, status.Draining:
		return retryAllowed
	}
	if q.engine.policy.allowRetry(q.req, s.shard) {
		return retryAllowed
	}
	return retryOverBudget
}

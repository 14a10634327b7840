package engine

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/balsamstall/balsamstall/coordination/quarantine"
	"github.com/balsamstall/balsamstall/protocol/callerapi"
	"github.com/balsamstall/balsamstall/protocol/status"
)

// launchRemaining sends the first attempt of every sub-request that has none.
func (q *query) launchRemaining() {
	q.canary = noSubRequest
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
	if i == q.canary && i != q.isolatedSub {
		s.launchRemainingAt = s.started.Add(q.canaryWait())
	}
	if q.leaveOut(i) {
		q.giveUp(i, callerapi.ReasonShed)
		return
	}
	if !q.engine.policy.hasCapacity(q.req, s.shard) {
		q.trace.recordStart(s.shard, "", causeOverLimit)
		q.giveUp(i, callerapi.ReasonShed)
		return
	}
	if q.launch(i, causeFirst) {
		q.engine.policy.recordStart(q.req, s.shard)
		return
	}
	if wait, limited := q.engine.rateLimitWait(q.req, s.shard, q.engine.candidates(q.req, q.snapshot.Shards[s.shard], s.shard)); limited {
		q.rateLimitWait = max(q.rateLimitWait, wait)
		q.trace.recordStart(s.shard, "", causeRateLimited)
		q.giveUp(i, callerapi.ReasonShed)
	} else {
		q.trace.recordStart(s.shard, "", causeNoReplica)
		q.giveUp(i, callerapi.ReasonNoReplica)
	}
	switch i {
	case q.isolatedSub:
		q.endIsolatedRun(false)
		q.aborted = q.failureError(false)
	case q.canary:
		q.launchRemaining()
	}
}

// slowFraction is the fraction of the time to the cutoff above which the latency of a target counts
// as slow. A typical reply takes an eighth of that time.
const slowFraction = 0.3

// startupPeriod is the age of the process from which slow targets are avoided. When many entries
// start together every target is slow, and new connections to other targets make it worse.
const startupPeriod = 6 * time.Second

// chooseTarget selects a target of a shard, and takes a token for the attempt if the target has a rate
// limit. It returns false when no target may be used.
func (e *Engine) chooseTarget(req *Request, targets []string, shard int, exclude []string) (string, bool) {
	for {
		target, ok := e.pickTarget(req, targets, shard, exclude)
		if !ok || e.rateLimits.Take(target, req.rateRanks.Of(shard)) {
			return target, ok
		}
		// Another request has taken the token in between.
		exclude = append(slices.Clone(exclude), target)
	}
}

// pickTarget selects a target of a shard: one to which this entry keeps connections, or another one
// of the group when those were tried already, are slow or failed recently. It returns false when no
// target may be used.
func (e *Engine) pickTarget(req *Request, targets []string, shard int, exclude []string) (string, bool) {
	if req.GroupTargets == nil {
		target, _, ok := e.policy.pick(req, shard, targets, exclude, 0)
		return target, ok
	}
	slowThreshold := time.Duration(0)
	if at, _ := req.Contract.Cutoff.At(); e.self.Clock() > startupPeriod {
		slowThreshold = time.Duration(slowFraction * float64(at))
	}
	target, degraded, ok := e.policy.pick(req, shard, targets, exclude, slowThreshold)
	if ok && !degraded {
		return target, true
	}
	fallback, fallbackDegraded, found := e.policy.pick(req, shard, req.GroupTargets[shard], exclude, slowThreshold)
	if found && (!ok || !fallbackDegraded) {
		return fallback, true
	}
	return target, ok
}

// launch sends an attempt of a sub-request to a target that was not tried yet. It returns false when
// no attempt or target is left.
func (q *query) launch(i int, cause string) bool {
	s := &q.subs[i]
	if s.attempts >= maxAttempts || q.req.Contract.MaxRuns > 0 && s.ran+s.outstanding >= q.req.Contract.MaxRuns {
		return false
	}
	exclude := s.tried
	if len(q.avoid) > 0 {
		exclude = slices.Concat(s.tried, q.avoid)
	}
	isolated := i == q.isolatedSub
	target, ok := q.engine.chooseWithIsolation(q.req, q.snapshot.Shards[s.shard], s.shard, exclude, isolated)
	if !ok {
		return false
	}
	s.tried = append(s.tried, target)
	s.attempts++
	s.outstanding++
	q.attempts++
	q.trace.recordStart(s.shard, target, cause)
	go q.engine.attempt(s.ctx, q.req, q.results, attemptResult{
		planNumber: q.planNumber, sub: i,
		run: quarantine.Run{Target: target, Isolated: isolated, AnsweredElsewhere: q.accepted > 0},
	}, Attempt{
		Number:          q.attempts,
		Shard:           s.shard,
		Target:          target,
		Cause:           cause,
		Snapshot:        q.snapshot.Snapshot,
		FreshConnection: s.freshConnection,
		SilentAfter:     q.engine.policy.silentAfter(q.req.Service),
	})
	return true
}

// attempt sends one attempt and reports the result on results.
func (e *Engine) attempt(ctx context.Context, req *Request, results chan<- attemptResult, r attemptResult, a Attempt) {
	r.reply, r.err = e.send(ctx, req, a, r.run.Isolated)
	if req.Groups != nil {
		// The result is reported first so that a retry does not wait for the connection that tells a
		// crash from a lost reply.
		results <- r
		e.detectCrash(req, r.run, r.err)
		return
	}
	// The crash is recorded here because the query may have ended already.
	r.crashed, r.quarantined = e.detectCrash(req, r.run, r.err)
	results <- r
}

// send sends one attempt, whose target chooseWithIsolation selected, and records its result.
func (e *Engine) send(ctx context.Context, req *Request, a Attempt, isolated bool) (reply any, err error) {
	token := e.policy.start(req, a.Shard, a.Target)
	start := e.self.Clock()
	e.rateLimits.CountAttempt(a.Target, attemptKind(a.Cause, isolated))
	reply, err = req.Work.Send(ctx, a)
	if isolated {
		e.isolated.end(a.Target)
	}
	e.policy.finish(token, classOf(err), connectionRefused(err))
	e.metrics.countAttempt(err)
	if answered := err == nil || mayHaveAnswered(err); answered || mayBeUnanswered(err) {
		e.recordZoneResult(a.Target, answered, start)
	}
	e.recordAttachment(a.Target, err, start)
	e.recordAttemptError(a.Target, req.ID, err)
	e.recordAttemptEnd(req, &a, err)
	return reply, err
}

// attemptKind returns the name of a kind of attempts in metrics.
func attemptKind(cause string, isolated bool) string {
	if isolated {
		return "isolated"
	}
	return cmp.Or(cause, "first")
}

// handleResult processes the result of an attempt.
func (q *query) handleResult(ctx context.Context, r attemptResult) {
	q.recordOutcome(r.err)
	if r.planNumber != q.planNumber {
		return
	}
	s := &q.subs[r.sub]
	s.outstanding--
	q.trace.recordEnd(s.shard, r.run.Target, r.err)
	if mayHaveReached(r.err) {
		s.reached++
	}
	if r.err == nil || status.From(r.err).Outcome != status.NotRun {
		s.ran++
	}
	if r.crashed {
		q.handleCrash(r.sub, r.quarantined)
		return
	}
	if s.resolved {
		return
	}
	if r.err == nil {
		q.accept(r.sub, r.reply)
		return
	}
	q.handleFailure(ctx, r)
}

// handleFailure retries a sub-request, restarts the query at another snapshot, or gives the
// sub-request up.
func (q *query) handleFailure(ctx context.Context, r attemptResult) {
	s := &q.subs[r.sub]
	q.lastError = r.err
	code := status.CodeOf(r.err)
	q.recordReason(s, reasonOf(code))
	if code == status.ConnectionSilent {
		// Only the connection is faulty; the target may be tried again.
		s.tried = slices.DeleteFunc(s.tried, func(t string) bool { return t == r.run.Target })
		s.freshConnection = true
	}
	reason := reasonOf(code)
	switch q.mayRetry(s, code) {
	case retryAllowed:
		if q.launch(r.sub, causeRetry) {
			return
		}
	case retryOverBudget:
		q.trace.recordStart(s.shard, "", causeNoBudget)
		// Admission control must see that a target shed the attempt.
		if code != status.Shed {
			reason = callerapi.ReasonRetryBudget
			q.recordReason(s, reason)
		}
	}
	if s.outstanding > 0 {
		return
	}
	if code == status.VersionUnavailable && q.replan(ctx) {
		return
	}
	if r.sub == q.isolatedSub && r.sub == q.canary && status.From(r.err).Outcome == status.NotRun && q.moveIsolatedRun(r.sub) {
		return
	}
	isolated := r.sub == q.isolatedSub
	if isolated {
		q.endIsolatedRun(false)
		if r.sub == q.canary {
			q.aborted = q.failureError(false)
			return
		}
	}
	q.giveUp(r.sub, reason)
	if isolated {
		q.resumeWaiting()
	}
	if r.sub == q.canary {
		q.launchRemaining()
	}
}

// connectionRefused reports whether no connection to the target could be opened.
func connectionRefused(err error) bool {
	return status.CodeOf(err) == status.ConnectionFailed && status.From(err).Outcome == status.NotRun
}

// mayHaveReached reports whether an attempt with this result may have reached its target. An
// attempt that the target refused has reached it.
func mayHaveReached(err error) bool {
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

// mayHaveAnswered reports whether a target may have sent something in reply to an attempt with this
// error.
func mayHaveAnswered(err error) bool {
	switch status.CodeOf(err) {
	case status.Shed, status.Unavailable, status.ReplyMismatch, status.TooLarge, status.VersionUnavailable, status.Overloaded:
		return true
	}
	return false
}

// mayBeUnanswered reports whether a target may have sent nothing in reply to an attempt with this
// error.
func mayBeUnanswered(err error) bool {
	switch status.CodeOf(err) {
	case status.Canceled, status.DeadlineExceeded, status.ConnectionFailed, status.ConnectionSilent:
		return true
	}
	return false
}

// retryVerdict tells whether a failed attempt may be retried.
type retryVerdict int

const (
	retryAllowed retryVerdict = iota
	// retryPointless means that a retry cannot help.
	retryPointless
	// retryOverBudget means that the retry budget is exhausted.
	retryOverBudget
)

// mayRetry decides whether a sub-request is retried. Without target groups, retries after a silent
// connection are not charged to the budget: each of them closes a connection, which bounds their
// number.
func (q *query) mayRetry(s *subRequest, code status.Code) retryVerdict {
	switch code {
	case status.Canceled, status.DeadlineExceeded:
		return retryPointless
	}
	if q.req.Groups != nil {
		// The next attempt does not count as a repeat while none has reached a target.
		if s.reached+s.outstanding == 0 || q.engine.policy.tryRepeat(q.req, s.shard) {
			return retryAllowed
		}
		return retryOverBudget
	}
	switch code {
	case status.ConnectionSilent, status.VersionUnavailable, status.Draining:
		return retryAllowed
	}
	if q.engine.policy.tryRepeat(q.req, s.shard) {
		return retryAllowed
	}
	return retryOverBudget
}

package engine

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/balsamstall/balsamstall/coordination/quarantine"
	"github.com/balsamstall/balsamstall/protocol/callerapi"
	"github.com/balsamstall/balsamstall/protocol/status"
)

// checkCrashGuard decides how the query may start. A request that no target has answered yet first
// runs on one shard, the canary, so that a request that crashes targets does not reach every shard
// at once (J. Dean and L. A. Barroso, "The Tail at Scale", CACM 56(2), 2013). The other shards wait
// no longer than the sheet allows, because waiting for a whole reply would double the latency.
// checkCrashGuard returns an error when the request is refused because it crashed targets.
func (q *query) checkCrashGuard() error {
	guard := q.engine.guard
	if !q.engine.guarded(q.req) {
		return nil
	}
	q.fingerprint = q.req.Fingerprint
	decision, safe := guard.decide(q.fingerprint)
	if err := decision.Err(); err != nil {
		return err
	}
	q.safe = safe
	if decision.Verdict == quarantine.Isolate {
		q.avoid = decision.Avoid
		q.canary, q.isolatedSub = 0, 0 // Placeholders; plan chooses the shard.
	} else if !safe && q.req.Contract.CanaryWait > 0 {
		q.canary = 0
	}
	return nil
}

// canaryDeadlineDivisor limits the head start of the canary to this fraction, 1/4, of the time left
// to the deadline.
const canaryDeadlineDivisor = 4

// canaryWait returns the time for which the other shards wait for the canary. If the canary does
// not reply, enough time must be left for a partial answer.
func (q *query) canaryWait() time.Duration {
	return min(q.req.Contract.CanaryWait, time.Until(q.req.Deadline)/canaryDeadlineDivisor)
}

// releaseAfterReply marks the request as safe after a reply, and starts the sub-requests that waited
// for the isolated run or the canary.
func (q *query) releaseAfterReply(i int) {
	if !q.engine.guarded(q.req) {
		return
	}
	if !q.safe {
		q.safe = true
		q.engine.guard.recordAnswered(q.fingerprint)
	}
	if i == q.isolatedSub {
		q.endIsolatedRun(true)
		q.avoid = nil
		waiting := q.waitingForIsolated
		q.waitingForIsolated = nil
		for _, sub := range waiting {
			if !q.launch(sub, causeRetry) {
				q.giveUp(sub, callerapi.ReasonConnectionFailed)
			}
		}
	}
	if i == q.canary {
		q.launchRemaining()
		q.armTimer()
	}
}

// endIsolatedRun reports the end of the isolated run to the crash guard, if there is one.
func (q *query) endIsolatedRun(answered bool) {
	if q.isolatedSub == noSubRequest {
		return
	}
	q.isolatedSub = noSubRequest
	q.engine.guard.recordIsolatedEnd(q.fingerprint, answered)
}

// handleCrash handles a crash of the target during an attempt of sub-request i; quarantined tells
// whether the crash put the request under quarantine. If not, the sub-request runs again in
// isolation, on a target that has not crashed with the request.
func (q *query) handleCrash(i int, quarantined bool) {
	if i == q.isolatedSub {
		q.endIsolatedRun(false)
	}
	s := &q.subs[i]
	if !quarantined && (s.resolved || s.outstanding > 0) {
		return
	}
	if !quarantined && q.isolatedSub != noSubRequest {
		q.waitingForIsolated = append(q.waitingForIsolated, i)
		return
	}
	decision, _ := q.engine.guard.decide(q.fingerprint)
	if quarantined || decision.Verdict == quarantine.Refuse && i == q.canary {
		q.aborted = status.New(status.Quarantined, status.Unknown,
			"the request coincided with crashes of the targets that ran it").WithRetryAfter(decision.RetryAfter)
		return
	}
	if decision.Verdict == quarantine.Isolate {
		q.isolatedSub = i
		q.avoid = decision.Avoid
		if i == q.canary && q.moveIsolatedRun(i) {
			return
		}
	}
	if decision.Verdict != quarantine.Refuse && q.launch(i, causeRetry) {
		return
	}
	q.endIsolatedRun(false)
	q.giveUp(i, callerapi.ReasonConnectionFailed)
	q.resumeWaiting()
	if i == q.canary {
		q.aborted = status.New(status.Unavailable, status.Unknown, "the target of the first shard crashed and no other holds it").WithRetryAfter(DefaultRetryAfter)
	}
}

// resumeWaiting lets the sub-requests that waited for an isolated run, which ended without a reply, run in
// isolation one after the other.
func (q *query) resumeWaiting() {
	waiting := q.waitingForIsolated
	q.waitingForIsolated = nil
	for _, sub := range waiting {
		if q.aborted == nil {
			q.handleCrash(sub, false)
		}
	}
}

// maxIsolationMoves limits the number of times that one query tries to move its isolated run to
// another shard.
const maxIsolationMoves = 4

// moveIsolatedRun moves the isolated run to another shard. A second crash then hits a target that
// does not hold the same shards as the first, so that each shard keeps a replica. Sub-request i runs
// later with the others. moveIsolatedRun returns false when the run cannot be moved.
func (q *query) moveIsolatedRun(i int) bool {
	if q.isolationMoves >= maxIsolationMoves {
		return false
	}
	q.isolationMoves++
	next := q.disjointShard(i)
	if next == noSubRequest {
		return false
	}
	q.subs[i].launched = false
	q.canary, q.isolatedSub = next, next
	q.launchFirst(next)
	q.armTimer()
	return true
}

// disjointShard returns a random sub-request that has no attempts and none of whose targets crashed
// with the request, or noSubRequest. It prefers one with a free target that this entry prefers for
// isolated runs.
func (q *query) disjointShard(except int) int {
	first, fallback := rand.IntN(len(q.subs)), noSubRequest
	for k := range q.subs {
		n := (first + k) % len(q.subs)
		s := &q.subs[n]
		if n == except || s.launched || s.attempts > 0 {
			continue
		}
		targets := q.snapshot.Shards[s.shard]
		if slices.ContainsFunc(targets, func(t string) bool { return slices.Contains(q.avoid, t) }) {
			continue
		}
		if q.engine.isolated.hasFreeTarget(targets) {
			return n
		}
		fallback = n
	}
	return fallback
}

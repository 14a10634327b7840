package engine

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/balsamstall/balsamstall/coordination/quarantine"
	"github.com/balsamstall/balsamstall/protocol/callerapi"
	"github.com/balsamstall/balsamstall/protocol/status"
)

// screen decides how the query may start. A request that no target has answered
// yet first runs on one shard, its canary, so that a request that crashes
// targets does not reach every shard at once (J. Dean and L. A. Barroso, "The
// Tail at Scale", CACM 56(2), 2013). The other shards wait at most for the time
// that the sheet allows, because a whole reply would double the latency.
func (q *query) screen() error {
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
	if decision.Verdict == quarantine.Alone {
		q.avoid = decision.Avoid
		q.canary, q.trial = 0, 0 // plan chooses the shard.
	} else if !safe && q.req.Contract.CanaryWait > 0 {
		q.canary = 0
	}
	return nil
}

// canaryShare is the part of the time left that the canary may take.
const canaryShare = 4

// canaryWait returns the time for which the other shards wait for the canary. A
// canary without a reply must leave time for a partial answer.
func (q *query) canaryWait() time.Duration {
	return min(q.req.Contract.CanaryWait, time.Until(q.req.Deadline)/canaryShare)
}

// cleared takes note of a reply: the request does not crash every target.
func (q *query) cleared(i int) {
	if !q.engine.guarded(q.req) {
		return
	}
	if !q.safe {
		q.safe = true
		q.engine.guard.answered(q.fingerprint)
	}
	if i == q.trial {
		q.endTrial(true)
		q.avoid = nil
		held := q.held
		q.held = nil
		for _, h := range held {
			if !q.launch(h, causeRetry) {
				q.miss(h, callerapi.ReasonConnectionFailed)
			}
		}
	}
	if i == q.canary {
		q.launchRest()
		q.armTimer()
	}
}

// endTrial reports the end of a run that was allowed alone.
func (q *query) endTrial(answered bool) {
	if q.trial == none {
		return
	}
	q.trial = none
	q.engine.guard.ended(q.fingerprint, answered)
}

// crashed goes on after a target crashed during an attempt of sub-request i. The
// sub-request runs again alone, on a target that the request has not met.
func (q *query) crashed(i int, refused bool) {
	if i == q.trial {
		q.endTrial(false)
	}
	s := &q.subs[i]
	if !refused && (s.resolved || s.outstanding > 0) {
		return
	}
	if !refused && q.trial != none {
		q.held = append(q.held, i)
		return
	}
	decision, _ := q.engine.guard.decide(q.fingerprint)
	if refused || decision.Verdict == quarantine.Refuse && i == q.canary {
		q.aborted = status.New(status.Quarantined, status.Unknown,
			"the request coincided with crashes of the targets that ran it").WithRetryAfter(decision.RetryAfter)
		return
	}
	if decision.Verdict == quarantine.Alone {
		q.trial = i
		q.avoid = decision.Avoid
		if i == q.canary && q.moveTrial(i) {
			return
		}
	}
	if decision.Verdict != quarantine.Refuse && q.launch(i, causeRetry) {
		return
	}
	q.endTrial(false)
	q.miss(i, callerapi.ReasonConnectionFailed)
	if i == q.canary {
		q.aborted = status.New(status.Unavailable, status.Unknown, "the target of the first shard crashed and no other holds it").WithRetryAfter(DefaultRetryAfter)
	}
}

// maxTrialShards bounds the shards on which one query tries to run alone.
const maxTrialShards = 4

// moveTrial runs the trial on another shard. A second crash then hits a target
// that does not hold the same shards as the first, so that each shard keeps a
// replica. Sub-request i runs later with the others.
func (q *query) moveTrial(i int) bool {
	if q.trials >= maxTrialShards {
		return false
	}
	q.trials++
	next := q.disjointShard(i)
	if next == none {
		return false
	}
	q.subs[i].launched = false
	q.canary, q.trial = next, next
	q.launchFirst(next)
	q.armTimer()
	return true
}

// disjointShard returns a random sub-request without attempts whose targets
// include none that crashed with the request, or none. One with a target that only
// this entry uses for lone runs goes first.
func (q *query) disjointShard(except int) int {
	first, shared := rand.IntN(len(q.subs)), none
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
		if q.engine.lone.free(targets) {
			return n
		}
		shared = n
	}
	return shared
}

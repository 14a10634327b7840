package engine

import (
	"time"

	"github.com/balsamstall/balsamstall/coordination/hedge"
)

// armTimer sets the timer to the next hedge decision, the end of the canary's head start or the
// cutoff, whichever comes first.
func (q *query) armTimer() {
	var next time.Time
	if q.canary != noSubRequest {
		next = q.subs[q.canary].launchRemainingAt
	}
	for i := range q.subs {
		s := &q.subs[i]
		if !s.resolved && !s.hedgeAt.IsZero() && (next.IsZero() || s.hedgeAt.Before(next)) {
			next = s.hedgeAt
		}
	}
	if now := time.Now(); q.cutoffAt.After(now) && (next.IsZero() || q.cutoffAt.Before(next)) {
		next = q.cutoffAt
	}
	if next.IsZero() {
		q.timer.Stop()
		return
	}
	q.timer.Reset(max(time.Until(next), 0))
}

// onTimer sends to the remaining shards when the canary's head start is over, and decides about
// hedges.
func (q *query) onTimer(now time.Time) {
	if q.canary != noSubRequest {
		if at := q.subs[q.canary].launchRemainingAt; !at.IsZero() && !now.Before(at) {
			q.launchRemaining()
		}
	}
	q.decideHedges(now)
	q.armTimer()
}

// decideHedges decides about a hedge for each sub-request whose hedge delay has passed.
func (q *query) decideHedges(now time.Time) {
	for i := range q.subs {
		s := &q.subs[i]
		if s.resolved || s.hedgeAt.IsZero() || now.Before(s.hedgeAt) {
			continue
		}
		s.hedgeAt = time.Time{}
		if i == q.isolatedSub {
			continue
		}
		decision := q.engine.policy.hedge(q.req, s.shard, hedge.Progress{
			Age:              now.Sub(s.started),
			Fanout:           len(q.subs),
			Outstanding:      q.pending,
			PreviouslyDenied: s.hedgeDenied,
		})
		switch decision.Verdict {
		case hedge.Send:
			if q.launch(i, causeHedge) {
				q.engine.metrics.Hedges.Add(1)
			}
		case hedge.Wait:
			s.hedgeAt = now.Add(decision.Wait)
		case hedge.Slow, hedge.Exhausted:
			if !s.hedgeDenied {
				q.trace.recordStart(s.shard, "", causeNoBudget)
			}
			s.hedgeDenied = true
			s.hedgeAt = now.Add(decision.Wait)
		}
	}
}

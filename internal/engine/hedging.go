package engine

import (
	"time"

	"github.com/balsamstall/balsamstall/coordination/hedge"
)

// armTimer sets the timer to the next hedge decision or the end of the canary's
// head start, whichever comes first.
func (q *query) armTimer() {
	var next time.Time
	if q.canary != none {
		next = q.subs[q.canary].restAt
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

// due sends to the other shards when the canary has had its head start, and
// decides about hedges.
func (q *query) due(now time.Time) {
	if q.canary != none {
		if at := q.subs[q.canary].restAt; !at.IsZero() && !now.Before(at) {
			q.launchRest()
		}
	}
	q.hedge(now)
	q.armTimer()
}

// hedge decides about each sub-request that waited for its delay.
func (q *query) hedge(now time.Time) {
	for i := range q.subs {
		s := &q.subs[i]
		if s.resolved || s.hedgeAt.IsZero() || now.Before(s.hedgeAt) {
			continue
		}
		s.hedgeAt = time.Time{}
		if i == q.trial {
			continue
		}
		decision := q.engine.policy.hedge(q.req, s.shard, hedge.Progress{
			Age:               now.Sub(s.started),
			Fanout:            len(q.subs),
			Outstanding:       q.pending,
			PreviouslyRefused: s.repeated,
		})
		switch decision.Verdict {
		case hedge.Send:
			if q.launch(i, causeHedge) {
				q.engine.metrics.Hedges.Add(1)
			}
		case hedge.Wait:
			s.hedgeAt = now.Add(decision.Wait)
		case hedge.Slow, hedge.Exhausted:
			if !s.repeated {
				q.trace.began(s.shard, "", causeNoBudget)
			}
			s.repeated = true
			s.hedgeAt = now.Add(decision.Wait)
		}
	}
}

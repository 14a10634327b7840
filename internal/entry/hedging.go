package entry

import (
	"time"

	"github.com/balsamstall/balsamstall/coordination/hedge"
)

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
		s.hedgeAt = time.Time{}
		if i == q.trial {
			continue
		}
		if i == q.canary {
			// The canary is slow, but its target did not crash so far.
			q.launchRest()
		}
		decision := q.engine.policy.hedge(q.req.service.Name, hedge.Progress{
			Age:         now.Sub(s.started),
			Fanout:      len(q.subs),
			Outstanding: q.pending,
			Repeated:    s.repeated,
		})
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

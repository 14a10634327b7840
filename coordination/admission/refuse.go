package admission

import (
	"math"
	"time"
)

// refusalDecay is the time constant of the decay of Controller.refusals.
const refusalDecay = time.Second

// refuse ends a request that did not run and computes when the caller may retry.
func (c *Controller) refuse(now time.Duration, rng Rand, t *Ticket, reason Reason) Decision {
	t.state = stateEnded
	if now > c.refusedAt {
		c.refusals *= math.Exp(-float64(now-c.refusedAt) / float64(refusalDecay))
		c.refusedAt = now
	}
	c.refusals++
	return Decision{Verdict: Refuse, Reason: reason, RetryAfter: c.retryAfter(rng)}
}

// retryAfter spreads the retries evenly over the time that the entry needs for the waiting and
// the recently refused requests, so that a burst of refusals does not cause a burst of retries.
func (c *Controller) retryAfter(rng Rand) time.Duration {
	backlog := float64(c.waiting) + c.refusals
	spread := toDuration(backlog * c.mean / c.limiter.limit)
	spread = min(max(spread, c.settings.MinRetryAfter), c.settings.MaxRetryAfter-c.settings.MinRetryAfter)
	return c.settings.MinRetryAfter + time.Duration(rng.Float64()*float64(spread))
}

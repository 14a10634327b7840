package engine

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/balsamstall/balsamstall/coordination/coverage"
	"github.com/balsamstall/balsamstall/coordination/shardroom"
	"github.com/balsamstall/balsamstall/protocol/index"
	"github.com/balsamstall/balsamstall/protocol/status"
)

// Retry delay of a caller that was refused because shards are overloaded, as fractions of the
// latency goal. The delay is random so that callers do not return together, and short enough that
// the second call can be answered within the goal of the first: capacity becomes free within a few
// milliseconds, and another entry may already have some.
const (
	minRetryAfterFraction = 0.1
	maxRetryAfterFraction = 0.3
)

// randomRetryAfter returns a random retry delay for a latency goal.
func randomRetryAfter(rng globalRand, goal time.Duration) time.Duration {
	if goal <= 0 {
		return DefaultRetryAfter
	}
	return time.Duration((minRetryAfterFraction + (maxRetryAfterFraction-minRetryAfterFraction)*rng.Float64()) * float64(goal))
}

// checkServable returns an error, before anything is sent, when too few shards can accept the
// request. Otherwise it chooses the shards that are left out.
func (q *query) checkServable(chosen *index.Snapshot) error {
	q.leftOut, q.kept = nil, nil
	if !q.req.Contract.RequireMinRatio {
		return nil
	}
	cutoff, n := q.req.Contract.Cutoff, len(chosen.Shards)
	rateLimited := 0
	var waits []time.Duration // Until each unavailable shard may accept work, zero if unknown.
	shards := make([]shardroom.Shard, n)
	for i, targets := range chosen.Shards {
		if q.req.GroupTargets != nil {
			targets = q.req.GroupTargets[i]
		}
		wait, ok := q.engine.policy.anyAvailable(q.req, i, targets)
		if ok {
			shards[i] = q.engine.policy.room(q.req, i)
			continue
		}
		waits = append(waits, wait)
		if _, limited := q.engine.rateLimitWait(q.req, i, targets); limited {
			rateLimited++
		}
	}
	decision := shardroom.DefaultSettings().Decide(shardroom.Request{Sufficient: func(shards int) bool { return cutoff.MeetsMinRatio(shards, n) }}, shards)
	if !decision.Rejected {
		q.leftOut, q.kept = decision.LeftOut, decision.Kept
		return nil
	}
	q.fullShards = slices.Concat(decision.Full, decision.Kept)
	retryAfter := randomRetryAfter(globalRand{}, cutoff.Goal) + reopenDelay(waits, n, cutoff)
	q.rejection, q.rateLimited = rejectionReason(decision, cutoff, n, len(waits), rateLimited), rateLimited > 0
	message := fmt.Sprintf("%d of %d shards take the request", decision.Available, n)
	if rateLimited > 0 {
		message += fmt.Sprintf(", %d are at the rate limits of their targets", rateLimited)
	}
	if len(decision.Kept) > 0 {
		message += fmt.Sprintf(", %d are kept for more urgent requests", len(decision.Kept))
	}
	return status.New(status.Overloaded, status.NotRun, "%s", message).WithRetryAfter(retryAfter)
}

// Reasons of rejections before anything is sent, for metrics and log lines.
const (
	rejectedRateLimited = "rate_limited"
	rejectedUnavailable = "unavailable"
	rejectedFull        = "full"
	rejectedKept        = "kept_for_urgent"
)

// rejectionReason returns why too few of the shards take a request. Some of the unavailable shards may
// be at the rate limits of their targets.
func rejectionReason(d shardroom.Decision, cutoff coverage.Cutoff, shards, unavailable, rateLimited int) string {
	switch {
	case rateLimited > 0:
		return rejectedRateLimited
	case !cutoff.MeetsMinRatio(shards-unavailable, shards):
		return rejectedUnavailable
	case cutoff.MeetsMinRatio(d.Available+len(d.Kept), shards):
		return rejectedKept
	}
	return rejectedFull
}

const (
	// maxLateWait is the maximum time for which the request of a late caller waits for spare
	// capacity, and latePollInterval the interval at which it checks for it.
	maxLateWait      = time.Second
	latePollInterval = 10 * time.Millisecond
	// lateDeadlineMargin is the remaining time to its deadline at which it stops waiting.
	lateDeadlineMargin = 300 * time.Millisecond
	// maxLateWaiting limits the number of requests that wait for spare capacity.
	maxLateWaiting = 64
)

// awaitServable is waitServable that records the rejections of requests of which nothing was sent.
func (q *query) awaitServable(ctx context.Context, chosen *index.Snapshot) error {
	err := q.waitServable(ctx, chosen)
	if err != nil && q.planNumber == 0 {
		q.trace.rejection = q.rejection
		q.engine.metrics.ShardRejections.Add(q.rejection+"/"+strconv.Itoa(q.req.Priority), 1)
	}
	return err
}

// waitServable is checkServable for a request that may wait. A caller whose latency goal has
// passed loses nothing by waiting, while a caller that just arrived would, so late callers only get
// spare capacity. A rate limit leaves none.
func (q *query) waitServable(ctx context.Context, chosen *index.Snapshot) error {
	err := q.checkServable(chosen)
	if err != nil && !q.req.late() {
		q.engine.policy.recordRejection(q.req, q.fullShards)
	}
	if err == nil || !q.req.late() || q.rateLimited {
		return err
	}
	waiting := &q.engine.lateWaiting
	if waiting.Add(1) > maxLateWaiting {
		waiting.Add(-1)
		return err
	}
	defer waiting.Add(-1)
	end := time.Now().Add(min(maxLateWait, time.Until(q.req.Deadline)-lateDeadlineMargin))
	for err != nil && time.Now().Before(end) {
		select {
		case <-ctx.Done():
			return err
		case <-time.After(latePollInterval):
			err = q.checkServable(chosen)
		}
	}
	return err
}

// reopenDelay returns the time until enough of the unavailable shards accept requests again. It is
// zero when that is unknown, and when the other shards suffice, because those are only busy.
func reopenDelay(waits []time.Duration, shards int, cutoff coverage.Cutoff) time.Duration {
	available := shards - len(waits)
	if cutoff.MeetsMinRatio(available, shards) {
		return 0
	}
	slices.Sort(waits)
	for i, wait := range waits {
		if cutoff.MeetsMinRatio(available+i+1, shards) {
			return wait
		}
	}
	return 0
}

// leaveOut reports whether the query leaves a shard to requests that need it, and records that. The
// canary is sent to any shard.
func (q *query) leaveOut(sub int) bool {
	if sub == q.canary {
		return false
	}
	if slices.Contains(q.leftOut, sub) {
		q.engine.policy.recordLeftOut(q.req, sub)
	} else if !slices.Contains(q.kept, sub) {
		return false
	}
	q.engine.metrics.ShardsLeftOut.Add(1)
	q.trace.recordStart(sub, "", causeLeftOut)
	return true
}

// room returns the free slots and the contention of a usable shard.
func (l *loadPolicy) room(req *Request, shard int) shardroom.Shard {
	s := shardroom.Shard{Usable: true, Free: 1}
	if len(req.Groups) < 2 {
		return s // Leaving out the only shard would gain nothing.
	}
	g := l.group(req.Groups[shard])
	if g == nil {
		return s
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	s.Free = g.free(req.late())
	now := l.now()
	s.Contended = g.contention.Contended(now)
	s.Kept = g.contention.SlotsKept(l.shardRoom, now, req.Priority)
	return s
}

func (l *loadPolicy) recordRejection(req *Request, shards []int) {
	for _, shard := range shards {
		l.updateContention(req, shard, func(c *shardroom.Contention) { c.RecordRejection(l.shardRoom, l.now(), req.Priority) })
	}
}

func (l *loadPolicy) recordStart(req *Request, shard int) {
	if len(req.Groups) >= 2 {
		l.updateContention(req, shard, func(c *shardroom.Contention) { c.RecordStart(l.shardRoom, l.now(), req.Priority) })
	}
}

func (l *loadPolicy) recordLeftOut(req *Request, shard int) {
	l.updateContention(req, shard, (*shardroom.Contention).RecordLeftOut)
}

// updateContention calls update with the contention of a shard, if its group is known.
func (l *loadPolicy) updateContention(req *Request, shard int, update func(*shardroom.Contention)) {
	if g := l.group(req.Groups[shard]); g != nil {
		g.mu.Lock()
		defer g.mu.Unlock()
		update(&g.contention)
	}
}

package engine

import (
	"context"
	"math"
	"slices"
	"time"

	"github.com/balsamstall/balsamstall/internal/targetrate"
)

// prepareRateLimits gets tokens for the shards of a request whose targets have rate limits. shards
// holds the targets of consecutive shards, the first of which has the given number.
func (e *Engine) prepareRateLimits(ctx context.Context, req *Request, shards [][]string, first int) {
	if !e.rateLimits.Active() {
		return
	}
	d := targetrate.Demand{Priority: max(req.Priority, 1), Goal: req.Contract.Cutoff.Goal, Shards: make([][]string, len(shards)), MinShards: len(shards)}
	if c := &req.Contract; c.RequireMinRatio {
		d.MinShards = max(int(math.Ceil(c.Cutoff.MinRatio*float64(len(shards)))), 1)
	}
	for i, targets := range shards {
		if req.GroupTargets != nil {
			targets = req.GroupTargets[first+i]
		}
		d.Shards[i] = slices.DeleteFunc(slices.Clone(targets), func(t string) bool {
			zone, known := e.policy.zoneOf(t)
			return !e.usable(t) || known && e.zones.unreachable(zone)
		})
	}
	req.rateRanks = append(make(targetrate.Ranks, first), e.rateLimits.Prepare(ctx, d)...)
}

// rateLimitWait returns the time until the rate limit of one of a shard's targets may allow the
// request, and false if none of them has a limit that keeps it from being sent.
func (e *Engine) rateLimitWait(req *Request, shard int, targets []string) (wait time.Duration, limited bool) {
	for _, t := range targets {
		if left, blocked := e.rateLimits.Availability(t, req.rateRanks.Of(shard)); blocked && (!limited || left < wait) {
			wait, limited = left, true
		}
	}
	return wait, limited
}

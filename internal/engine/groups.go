package engine

import (
	"sync"
	"time"

	"github.com/balsamstall/balsamstall/coordination/replica"
	"github.com/balsamstall/balsamstall/coordination/retrybudget"
	"github.com/balsamstall/balsamstall/coordination/shardlimit"
	"github.com/balsamstall/balsamstall/coordination/shardroom"
)

// groupState holds this entry's repeat budget and concurrency limit for one target group.
type groupState struct {
	mu sync.Mutex
	// repeatBudget is this entry's share of the repeats (retries and hedges) of the fleet. Guarded
	// by mu.
	repeatBudget *retrybudget.FleetShare
	// repeatMinimumFraction is this entry's fraction of the fleet's minimum of repeats. Guarded by
	// mu.
	repeatMinimumFraction float64
	// lateLimit is the number of sub-requests in flight below which requests of late callers may
	// start. Guarded by mu.
	lateLimit int
	// limiter limits the sub-requests in flight. Guarded by mu.
	limiter *shardlimit.Limiter
	// contention records the requests that were rejected for want of this group. Guarded by mu.
	contention shardroom.Contention
}

// free returns the number of sub-requests that the limit allows in addition to those in flight. The
// caller must hold mu.
func (g *groupState) free(late bool) int {
	limit := g.limiter.Limit()
	if late {
		limit = max(min(g.lateLimit, limit/2), 1)
	}
	return limit - g.limiter.InFlight()
}

// usefulFraction is the fraction of the time to the cutoff within which a reply shows that its
// shard is not overloaded.
const usefulFraction = 0.5

// usefulLatency returns the time within which a reply to a request shows that its shard is not
// overloaded.
func usefulLatency(req *Request) time.Duration {
	at, _ := req.Contract.Cutoff.At()
	return time.Duration(usefulFraction * float64(at))
}

// startAttempt counts an attempt at the group.
func (g *groupState) startAttempt() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limiter.Start()
}

// endAttempt counts the end of an attempt. An attempt that was canceled early, such as the loser of
// a hedge, says nothing about the group.
func (g *groupState) endAttempt(now, took, usefulLatency time.Duration, class replica.Class) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limiter.End(now, class == replica.Success && took <= usefulLatency, (class != replica.Canceled || took > usefulLatency) && class != replica.Shed)
}

func (l *loadPolicy) hasCapacity(req *Request, shard int) bool { return l.room(req, shard).Free > 0 }

func (l *loadPolicy) anyAvailable(req *Request, shard int, targets []string) (wait time.Duration, ok bool) {
	now := l.now()
	for _, id := range targets {
		record := l.targets.Get(id)
		if record == nil {
			continue
		}
		state := record.Lock()
		zone, downUntil := state.zone, state.downUntil
		record.Unlock()
		until, reason, blocked := l.restrictions.check(id, zone, req.rateRanks.Of(shard), now)
		if !blocked && now >= downUntil {
			return 0, true
		}
		if !reason.holdsForAnyRank() {
			until = max(until, downUntil)
		}
		if left := until - now; left > 0 && (wait == 0 || left < wait) {
			wait = left
		}
	}
	return wait, false
}

func (l *loadPolicy) tryRepeat(req *Request, shard int) bool {
	if req.Groups != nil {
		g := l.group(req.Groups[shard])
		if g == nil {
			return false
		}
		g.mu.Lock()
		defer g.mu.Unlock()
		return g.repeatBudget.TryRepeat(l.now(), g.repeatMinimumFraction)
	}
	s := l.service(req.Service)
	if s == nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.retries.TryRetry(l.now())
}

// group returns the state of a target group, nil if it is unknown.
func (l *loadPolicy) group(name string) *groupState {
	if m := l.groups.Load(); m != nil {
		return (*m)[name]
	}
	return nil
}

// setGroups replaces the target groups and keeps the state of those that remain.
func (l *loadPolicy) setGroups(c *Catalogue) {
	old := l.groups.Load()
	if old == nil {
		old = &map[string]*groupState{}
	}
	next := make(map[string]*groupState, len(c.Groups))
	for _, group := range c.Groups {
		g := (*old)[group.Name]
		if g == nil {
			g = &groupState{
				repeatBudget: retrybudget.NewFleetShare(c.Repeats, 0),
				limiter:      shardlimit.New(shardlimit.DefaultSettings(), l.now()),
			}
		}
		g.mu.Lock()
		g.repeatBudget.SetSettings(c.Repeats)
		g.repeatMinimumFraction = group.RepeatMinimumFraction
		g.lateLimit = (group.Slots + c.Homes - 1) / max(c.Homes, 1)
		g.mu.Unlock()
		next[group.Name] = g
	}
	l.groups.Store(&next)
}

const (
	// lowAcceptance is the acceptance rate below which a target counts as refusing. While fewer
	// than refusalRepeatReserve repeats of this entry's share are left to retry refused attempts,
	// the cost of such a target is multiplied by refusalCostFactor; otherwise it is divided by the
	// acceptance rate.
	lowAcceptance = 0.85
	// minAcceptance limits the cost factor of a target that refuses everything.
	minAcceptance        = 0.02
	refusalCostFactor    = 50
	refusalRepeatReserve = 1
)

// repeatsLeft returns the number of repeats that this entry may still make at a shard. Without
// target groups, that number is always enough to retry refused attempts.
func (l *loadPolicy) repeatsLeft(req *Request, shard int) float64 {
	if req.Groups == nil {
		return refusalRepeatReserve
	}
	g := l.group(req.Groups[shard])
	if g == nil {
		return 0
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.repeatBudget.Remaining(l.now(), g.repeatMinimumFraction)
}

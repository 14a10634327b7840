package engine

import (
	"sync"
	"time"

	"github.com/balsamstall/balsamstall/coordination/replica"
	"github.com/balsamstall/balsamstall/coordination/retrybudget"
	"github.com/balsamstall/balsamstall/coordination/shardlimit"
)

// poolState is what this entry knows of one target group.
type poolState struct {
	mu sync.Mutex
	// repeats is this entry's share of the fleet's repeats. Guarded by mu.
	repeats *retrybudget.FleetShare
	// repeatPart is this entry's part of the fleet's minimum of repeats. Guarded by mu.
	repeatPart float64
	// spare is the number of sub-requests in flight below which late callers get a place.
	// Guarded by mu.
	spare int
	// limit bounds the sub-requests in flight. Guarded by mu.
	limit *shardlimit.Limiter
}

// usefulPart is the part of the time to the cutoff within which a reply shows that
// its shard is not overloaded.
const usefulPart = 0.5

// useful returns the time within which a reply to a request is of use.
func useful(req *Request) time.Duration {
	at, _ := req.Contract.Cutoff.At()
	return time.Duration(usefulPart * float64(at))
}

// begin counts an attempt at the group.
func (p *poolState) begin() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit.Start()
}

// end counts the end of an attempt. One that was given up early, such as the loser of
// a hedge, tells nothing about the group.
func (p *poolState) end(now, took, useful time.Duration, class replica.Class) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit.End(now, class == replica.Success && took <= useful, (class != replica.Canceled || took > useful) && class != replica.Shed)
}

func (l *loaded) free(req *Request, shard int) bool {
	if len(req.Pools) < 2 {
		return true // Nothing is gained by leaving out the only shard.
	}
	p := l.pool(req.Pools[shard])
	if p == nil {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if req.late() {
		return p.limit.InFlight() < max(min(p.spare, p.limit.Limit()/2), 1)
	}
	return p.limit.CanStart()
}

func (l *loaded) open(targets []string) (wait time.Duration, ok bool) {
	now := l.now()
	for _, id := range targets {
		cell := l.targets.Get(id)
		if cell == nil {
			continue
		}
		until, closed := l.notices.closedUntil(id, now)
		if !closed {
			state := cell.Lock()
			zone := state.zone
			until = state.refusedUntil
			cell.Unlock()
			if now >= until && !l.zones.lost(zone) {
				return 0, true
			}
		}
		if left := until - now; left > 0 && (wait == 0 || left < wait) {
			wait = left
		}
	}
	return wait, false
}

func (l *loaded) allowRetry(req *Request, shard int) bool {
	if req.Pools != nil {
		p := l.pool(req.Pools[shard])
		if p == nil {
			return false
		}
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.repeats.TryRepeat(l.now(), p.repeatPart)
	}
	s := l.service(req.Service)
	if s == nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.retries.TryRetry(l.now())
}

// pool returns the state of a target group, nil for one that is not known.
func (l *loaded) pool(name string) *poolState {
	if m := l.pools.Load(); m != nil {
		return (*m)[name]
	}
	return nil
}

// setPools keeps the repeats of groups that stay.
func (l *loaded) setPools(c *Catalogue) {
	old := l.pools.Load()
	if old == nil {
		old = &map[string]*poolState{}
	}
	next := make(map[string]*poolState, len(c.Pools))
	for _, group := range c.Pools {
		p := (*old)[group.Name]
		if p == nil {
			p = &poolState{
				repeats: retrybudget.NewFleetShare(c.Repeats, 0),
				limit:   shardlimit.New(shardlimit.DefaultSettings(), l.now()),
			}
		}
		p.mu.Lock()
		p.repeats.SetSettings(c.Repeats)
		p.repeatPart = group.RepeatPart
		p.spare = (group.Slots + c.Runners - 1) / max(c.Runners, 1)
		p.mu.Unlock()
		next[group.Name] = p
	}
	l.pools.Store(&next)
}

const (
	// refusesOften is the acceptance below which a target counts as one that refuses, and
	// refusalFactor the factor on its cost while too few repeats are left for the attempts
	// that it refuses: refusalReserve of this entry's share.
	refusesOften = 0.85
	// leastAcceptance bounds the factor for a target that refuses everything.
	leastAcceptance = 0.02
	refusalFactor   = 50
	refusalReserve  = 1
)

// repeatsLeft returns the repeats that this entry may still make at a shard.
func (l *loaded) repeatsLeft(req *Request, shard int) float64 {
	if req.Pools == nil {
		return refusalReserve
	}
	p := l.pool(req.Pools[shard])
	if p == nil {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.repeats.Remaining(l.now(), p.repeatPart)
}

package targetrate

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/balsamstall/balsamstall/coordination/notice"
	"github.com/balsamstall/balsamstall/coordination/ratelimit"
	"github.com/balsamstall/balsamstall/protocol/peerpb"
)

const (
	// requestTimeout limits the time to get tokens from one allocator. It covers a round trip between
	// zones and a host whose CPU is briefly busy.
	requestTimeout = 20 * time.Millisecond
	// maxAllocatorsAsked is the number of allocators that are asked for one shard of a request.
	maxAllocatorsAsked = 4
	// unreachableBackoff is the time for which an allocator is not asked after it did not answer.
	unreachableBackoff = time.Second
	// denseInterval is the interval of requests for tokens of one target below which a token that
	// becomes valid later is useful: another request will need it.
	denseInterval = 250 * time.Millisecond
	// patienceFraction is the fraction of the latency goal, and maxPatience the longest time, for
	// which a request waits for a token that was granted to it.
	patienceFraction = 0.25
	maxPatience      = 150 * time.Millisecond
	// maxPrefetched is the number of tokens of a target that this entry holds for later requests.
	maxPrefetched = 2
	// optionalRank is added to the priority of a request, from 1 to 9, for tokens of the shards that
	// it can do without.
	optionalRank = 10
	// defaultAvailability is assumed while no allocator has answered.
	defaultAvailability = 200 * time.Millisecond
)

// Demand describes a request that is about to choose its targets.
type Demand struct {
	// Priority is the priority of the request, 1 being the most urgent.
	Priority int
	// Goal is its latency goal.
	Goal time.Duration
	// Shards lists, for each shard, the targets that may get the request.
	Shards [][]string
	// MinShards is the number of shards that an answer needs.
	MinShards int
}

// Ranks holds the rank of a request for tokens of each shard's targets, 1 being the most urgent. A nil
// value stands for ranks that do not matter, because no target has a limit.
type Ranks []int

// Of returns the rank for a shard.
func (r Ranks) Of(shard int) int {
	if shard < len(r) {
		return r[shard]
	}
	return 1
}

// Prepare gets tokens for a request before it chooses its targets, and returns the ranks with which it
// must take them. For as many shards as the request needs, it waits for allocators, and for granted
// tokens that become valid within a part of the latency goal. For the other shards it asks in the
// background, after the requests that need them.
func (l *Limiter) Prepare(ctx context.Context, d Demand) Ranks {
	if !l.Active() {
		return nil
	}
	ranks := make(Ranks, len(d.Shards))
	patience := min(time.Duration(patienceFraction*float64(d.Goal)), maxPatience)
	open, limited := l.classify(d.Shards)
	if len(d.Shards) == 1 && len(open) == 1 {
		// The targets without a limit may be busy, and there is no other shard.
		open, limited, patience = nil, open, 0
	}
	missing := d.MinShards - len(open)
	rand.Shuffle(len(limited), func(i, j int) { limited[i], limited[j] = limited[j], limited[i] })
	for missing > 0 && len(limited) > 0 && ctx.Err() == nil {
		needed := limited[:min(missing, len(limited))]
		limited = limited[len(needed):]
		for _, shard := range needed {
			ranks[shard] = d.Priority
		}
		missing -= l.acquireAll(ctx, d, needed, patience)
	}
	for shard, targets := range d.Shards {
		if ranks[shard] == 0 {
			ranks[shard] = d.Priority + optionalRank
			l.prefetch(ctx, targets, ranks[shard])
		}
	}
	return ranks
}

// acquireAll acquires a token for each of the given shards at the same time, and returns for how many
// it got one.
func (l *Limiter) acquireAll(ctx context.Context, d Demand, shards []int, patience time.Duration) int {
	var acquired atomic.Int64
	var running sync.WaitGroup
	for _, shard := range shards {
		running.Go(func() {
			if l.acquire(ctx, d.Shards[shard], d.Priority, patience) {
				acquired.Add(1)
			}
		})
	}
	running.Wait()
	return int(acquired.Load())
}

// classify returns the shards that have a target without a limit, and those all of whose targets have
// one.
func (l *Limiter) classify(shards [][]string) (open, limited []int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, targets := range shards {
		switch {
		case slices.ContainsFunc(targets, func(t string) bool { return !l.isLimited(t) }):
			open = append(open, i)
		case len(targets) > 0:
			limited = append(limited, i)
		}
	}
	return open, limited
}

// isLimited reports whether a target has a limit. The caller must hold mu.
func (l *Limiter) isLimited(target string) bool {
	_, limited := l.limit(target)
	return limited
}

// acquire gets a token of any of the targets for a request that waits for it for the given time at
// most. It returns false if there is none.
func (l *Limiter) acquire(ctx context.Context, targets []string, rank int, patience time.Duration) bool {
	wanted, has := l.wanted(targets, rank)
	if has {
		return true
	}
	return l.ask(ctx, wanted, rank, patience) && l.awaitToken(ctx, wanted, rank, patience)
}

// prefetch asks in the background for a token of any of the targets, for this or a later request.
func (l *Limiter) prefetch(ctx context.Context, targets []string, rank int) {
	wanted, _ := l.wanted(targets, rank)
	now := l.cfg.Clock()
	l.mu.Lock()
	defer l.mu.Unlock()
	// One request asks for a target at a time, and tokens that this entry does not need are left to
	// others.
	wanted = slices.DeleteFunc(wanted, func(t string) bool { return l.asking[t] || l.tokens.Held(t, rank, now) >= maxPrefetched })
	if len(wanted) == 0 {
		return
	}
	maxWait := time.Duration(0)
	if now-l.lastWanted[wanted[0]] < denseInterval {
		maxWait = denseInterval
	}
	for _, t := range wanted {
		l.asking[t], l.lastWanted[t] = true, now
	}
	go func() {
		l.ask(context.WithoutCancel(ctx), wanted, rank, maxWait)
		l.mu.Lock()
		defer l.mu.Unlock()
		for _, t := range wanted {
			delete(l.asking, t)
		}
	}()
}

// wanted returns, in random order, the targets with a limit for whose tokens it makes sense to ask.
// has is set if a token of one of the targets is valid now.
func (l *Limiter) wanted(targets []string, rank int) (wanted []string, has bool) {
	now := l.cfg.Clock()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, t := range targets {
		if !l.isLimited(t) {
			continue
		}
		has = has || l.tokens.Has(t, rank, now)
		if slices.ContainsFunc(l.allocators(t), func(e ratelimit.Entry) bool { return l.mayAsk(t, e, rank, now) }) {
			wanted = append(wanted, t)
		}
	}
	rand.Shuffle(len(wanted), func(i, j int) { wanted[i], wanted[j] = wanted[j], wanted[i] })
	return wanted, has
}

// mayAsk reports whether it makes sense to ask an allocator. The caller must hold mu.
func (l *Limiter) mayAsk(target string, e ratelimit.Entry, rank int, now time.Duration) bool {
	return now >= l.unreachable[e.ID] && l.tokens.MayAsk(target, e.ID, rank, now)
}

// ask asks allocators, one after another, until one grants a token of any of the targets.
func (l *Limiter) ask(ctx context.Context, targets []string, rank int, maxWait time.Duration) (granted bool) {
	for range maxAllocatorsAsked {
		allocator, allocated := l.nextAllocator(targets, rank)
		if len(allocated) == 0 || ctx.Err() != nil {
			return false
		}
		if l.request(ctx, allocator, allocated, rank, maxWait) {
			return true
		}
	}
	return false
}

// nextAllocator returns the allocator to ask next, this entry itself if possible, and those of the
// targets whose limits it allocates.
func (l *Limiter) nextAllocator(targets []string, rank int) (allocator ratelimit.Entry, allocated []string) {
	now := l.cfg.Clock()
	l.mu.Lock()
	defer l.mu.Unlock()
	byAllocator := make(map[ratelimit.Entry][]string)
	for _, t := range targets {
		for _, e := range l.allocators(t) {
			if l.mayAsk(t, e, rank, now) {
				byAllocator[e] = append(byAllocator[e], t)
				if allocator.ID == "" || e.ID == l.cfg.Entry {
					allocator = e
				}
			}
		}
	}
	allocated = byAllocator[allocator]
	return allocator, allocated[:min(len(allocated), maxTargetsPerRequest)]
}

// request asks one allocator and reports whether it granted a token.
func (l *Limiter) request(ctx context.Context, allocator ratelimit.Entry, targets []string, rank int, maxWait time.Duration) (granted bool) {
	in := &peerpb.TokensRequest{Entry: l.cfg.Entry, Rank: int32(rank), MaxWaitUs: maxWait.Microseconds()}
	now := l.cfg.Clock()
	l.mu.Lock()
	for _, t := range targets {
		if known, ok := l.announcements.Announcement(t, now); ok {
			in.Targets = append(in.Targets, EncodeAnnouncement(known))
		} else if _, cold := l.cold[t]; cold {
			// The target has announced nothing. Receivers ignore an announcement of this age.
			in.Targets = append(in.Targets, EncodeAnnouncement(ratelimit.Announcement{Target: notice.Target{ID: t}, Age: ratelimit.Retention}))
		}
	}
	l.mu.Unlock()
	reply, err := l.call(ctx, allocator, in)
	received := l.cfg.Clock()
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		if ctx.Err() == nil {
			l.unreachable[allocator.ID] = received + unreachableBackoff
			l.cfg.Metrics.AllocatorFailures.Add(1)
		}
		return false
	}
	for _, g := range reply.Grants[:min(len(reply.Grants), len(in.Targets))] {
		if !slices.Contains(targets, g.Target) {
			continue
		}
		// Durations count from the allocator's answer, so that a token is not used too early.
		grant := ratelimit.Grant{Granted: g.Granted, ValidAfter: micros(g.ValidAfterUs), Wait: micros(g.WaitUs)}
		if _, cold := l.cold[g.Target]; cold && g.Granted {
			// Its end counts from the request, so that a late answer does not prolong it.
			if grant.VoidAfter = now + grant.ValidAfter + ratelimit.ColdTokenLifetime - received; grant.VoidAfter <= grant.ValidAfter {
				continue
			}
		}
		l.tokens.RecordGrant(g.Target, allocator.ID, rank, received, grant)
		granted = granted || g.Granted
	}
	return granted
}

// call sends a request for tokens to an allocator, which may be this entry.
func (l *Limiter) call(ctx context.Context, allocator ratelimit.Entry, in *peerpb.TokensRequest) (*peerpb.TokensReply, error) {
	if allocator.ID == l.cfg.Entry {
		return l.HandleRequest(in), nil
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	return l.cfg.Tokens(ctx, allocator.Address, in)
}

func micros(n int64) time.Duration {
	return time.Duration(min(max(n, 0), time.Hour.Microseconds())) * time.Microsecond
}

// awaitToken waits until a token of one of the targets is valid, and returns false if that takes
// longer than the given time.
func (l *Limiter) awaitToken(ctx context.Context, targets []string, rank int, patience time.Duration) bool {
	wait := l.firstToken(targets, rank)
	if wait <= 0 || wait > patience {
		return wait == 0
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// firstToken returns the time until a token of one of the targets is valid, or a negative time if
// this entry holds none.
func (l *Limiter) firstToken(targets []string, rank int) time.Duration {
	now := l.cfg.Clock()
	l.mu.Lock()
	defer l.mu.Unlock()
	first := time.Duration(-1)
	for _, t := range targets {
		if l.tokens.Has(t, rank, now) {
			return 0
		}
		if wait := l.tokens.Availability(t, nil, rank, now); wait > 0 && (first < 0 || wait < first) {
			first = wait
		}
	}
	return first
}

// MayTake reports whether the limit of a target allows a request of a rank now.
func (l *Limiter) MayTake(target string, rank int) bool {
	return l.check(target, func(now time.Duration) bool { return l.tokens.Has(target, rank, now) })
}

// Take takes a token for a request to a target, if the target has a limit. It returns false if there
// is none.
func (l *Limiter) Take(target string, rank int) bool {
	return l.check(target, func(now time.Duration) bool { return l.tokens.Take(target, rank, now) })
}

// Admit reports whether a request may be sent to a target now. It is called for each request when it
// is sent, because the target may have announced its limit since the request chose it.
func (l *Limiter) Admit(target string) bool {
	return l.check(target, func(now time.Duration) bool { return l.tokens.Admit(target, now) })
}

// check returns true for a target without a limit, and otherwise what allowed returns. allowed is
// called with mu held.
func (l *Limiter) check(target string, allowed func(now time.Duration) bool) bool {
	if !l.Active() {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.isLimited(target) || allowed(l.cfg.Clock())
}

// Availability reports whether the limit of a target allows no request of a rank now, and then the time
// until it is likely to allow one.
func (l *Limiter) Availability(target string, rank int) (wait time.Duration, limited bool) {
	if l.MayTake(target, rank) {
		return 0, false
	}
	now := l.cfg.Clock()
	l.mu.Lock()
	defer l.mu.Unlock()
	return cmp.Or(l.tokens.Availability(target, l.allocators(target), rank, now), defaultAvailability), true
}

// RecordPause discards the tokens after the process was paused, and ages the announcements by the
// time for which its clock stood still.
func (l *Limiter) RecordPause(clockStopped time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tokens.Drop()
	l.announcements.AddAge(max(clockStopped, 0))
}

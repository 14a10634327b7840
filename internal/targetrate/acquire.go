package targetrate

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/balsamstall/balsamstall/coordination/ratelimit"
	"github.com/balsamstall/balsamstall/protocol/peerpb"
)

const (
	// requestTimeout limits the time to get tokens from one allocator. It covers a round trip between
	// zones and a host whose CPU is briefly busy.
	requestTimeout = 20 * time.Millisecond
	// maxAllocatorsAsked is the number of allocators that are asked for one request.
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
)

// Demand describes a request that is about to choose its targets.
type Demand struct {
	// Priority is the rank of the request, 1 being the most urgent.
	Priority int
	// Goal is its latency goal.
	Goal time.Duration
	// Shards lists, for each shard, the targets that may get the request.
	Shards [][]string
}

// Prepare gets tokens for the shards of a request that have a target with a rate limit. It waits for
// the allocators if the request needs only one shard, or if all targets of a shard have a limit;
// otherwise it asks in the background, for a later request. A request that needs only one shard, all
// of whose targets have a limit, also waits for a token that becomes valid within a part of the latency
// goal.
func (l *Limiter) Prepare(ctx context.Context, d Demand) {
	if !l.Active() {
		return
	}
	var essential sync.WaitGroup
	for _, targets := range d.Shards {
		a, ok := l.needs(d, targets)
		switch {
		case !ok:
		case len(d.Shards) == 1:
			l.ask(ctx, a)
			if a.essential {
				l.awaitToken(ctx, a)
			}
		case a.essential:
			essential.Go(func() { l.ask(ctx, a) })
		default:
			go l.askInBackground(context.WithoutCancel(ctx), a)
		}
	}
	essential.Wait()
}

// acquisition is the need of one shard for a token.
type acquisition struct {
	// targets are the targets with a rate limit, in the order of preference.
	targets  []string
	priority int
	// maxWait is the time within which a token must become valid.
	maxWait time.Duration
	// essential is set if the shard has no other target.
	essential bool
}

// needs returns the need of a shard, and false if it has none.
func (l *Limiter) needs(d Demand, targets []string) (acquisition, bool) {
	now := l.cfg.Clock()
	a := acquisition{priority: d.Priority, essential: true}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, t := range targets {
		if _, limited := l.announcements.Limit(t); !limited {
			a.essential = false
			continue
		}
		if l.tokens.Has(t, d.Priority, now) {
			return acquisition{}, false
		}
		if slices.ContainsFunc(l.allocators(t), func(e ratelimit.Entry) bool { return l.mayAsk(t, e, d.Priority, now) }) {
			a.targets = append(a.targets, t)
		}
	}
	if len(a.targets) == 0 {
		return acquisition{}, false
	}
	rand.Shuffle(len(a.targets), func(i, j int) { a.targets[i], a.targets[j] = a.targets[j], a.targets[i] })
	first := a.targets[0]
	before, asked := l.lastNeed[first]
	for _, t := range a.targets {
		l.lastNeed[t] = now
	}
	switch {
	case len(d.Shards) == 1 && a.essential:
		a.maxWait = min(time.Duration(patienceFraction*float64(d.Goal)), maxPatience)
	case asked && now-before < denseInterval:
		a.maxWait = denseInterval
	}
	return a, true
}

// askInBackground asks for tokens of those targets for which no other request asks.
func (l *Limiter) askInBackground(ctx context.Context, a acquisition) {
	l.mu.Lock()
	a.targets = slices.DeleteFunc(a.targets, func(t string) bool { return l.asking[t] })
	for _, t := range a.targets {
		l.asking[t] = true
	}
	l.mu.Unlock()
	l.ask(ctx, a)
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, t := range a.targets {
		delete(l.asking, t)
	}
}

// mayAsk reports whether it makes sense to ask an allocator. The caller must hold mu.
func (l *Limiter) mayAsk(target string, e ratelimit.Entry, priority int, now time.Duration) bool {
	return now >= l.unreachable[e.ID] && l.tokens.MayAsk(target, e.ID, priority, now)
}

// ask asks allocators, one after another, until one grants a token of any of the targets.
func (l *Limiter) ask(ctx context.Context, a acquisition) {
	for range maxAllocatorsAsked {
		allocator, targets, ok := l.nextAllocator(a)
		if !ok || ctx.Err() != nil || l.request(ctx, allocator, targets, a) {
			return
		}
	}
}

// nextAllocator returns the allocator to ask next, and those of the targets whose limit it allocates:
// this entry itself if possible, otherwise one of the first target.
func (l *Limiter) nextAllocator(a acquisition) (allocator ratelimit.Entry, targets []string, ok bool) {
	now := l.cfg.Clock()
	l.mu.Lock()
	defer l.mu.Unlock()
	var candidates []ratelimit.Entry
	for _, t := range a.targets {
		for _, e := range l.allocators(t) {
			if l.mayAsk(t, e, a.priority, now) {
				candidates = append(candidates, e)
			}
		}
		if len(candidates) > 0 && allocator.ID == "" {
			allocator = candidates[rand.IntN(len(candidates))]
		}
	}
	if len(candidates) == 0 {
		return ratelimit.Entry{}, nil, false
	}
	if i := slices.IndexFunc(candidates, func(e ratelimit.Entry) bool { return e.ID == l.cfg.Entry }); i >= 0 {
		allocator = candidates[i]
	}
	for _, t := range a.targets {
		if slices.Contains(l.allocators(t), allocator) && l.mayAsk(t, allocator, a.priority, now) {
			targets = append(targets, t)
		}
	}
	return allocator, targets[:min(len(targets), maxTargetsPerRequest)], true
}

// request asks one allocator and reports whether it granted tokens.
func (l *Limiter) request(ctx context.Context, allocator ratelimit.Entry, targets []string, a acquisition) (granted bool) {
	in := &peerpb.TokensRequest{Entry: l.cfg.Entry, Priority: int32(a.priority), Count: 1, MaxWaitUs: a.maxWait.Microseconds()}
	now := l.cfg.Clock()
	l.mu.Lock()
	for _, t := range targets {
		if known, ok := l.announcements.Announcement(t, now); ok {
			in.Targets = append(in.Targets, EncodeAnnouncement(known))
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
		l.tokens.RecordGrant(g.Target, allocator.ID, a.priority, received, ratelimit.Grant{Count: int(g.Count),
			First: micros(g.FirstUs), Interval: micros(g.IntervalUs), Wait: micros(g.WaitUs), RetryAfter: micros(g.RetryAfterUs)})
		granted = granted || g.Count > 0
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

// awaitToken waits for the first token of an essential acquisition that becomes valid in time.
func (l *Limiter) awaitToken(ctx context.Context, a acquisition) {
	now := l.cfg.Clock()
	wait := time.Duration(0)
	l.mu.Lock()
	for _, t := range a.targets {
		if l.tokens.Has(t, a.priority, now) {
			l.mu.Unlock()
			return
		}
		if w := l.tokens.Availability(t, nil, a.priority, now); w > 0 && (wait == 0 || w < wait) {
			wait = w
		}
	}
	l.mu.Unlock()
	if wait == 0 || wait > a.maxWait {
		return
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// MayTake reports whether the limit of a target allows a request of a priority now.
func (l *Limiter) MayTake(target string, priority int) bool {
	if l.limited.Load() == 0 {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	_, limited := l.announcements.Limit(target)
	return !limited || l.tokens.Has(target, priority, l.cfg.Clock())
}

// Take takes a token for a request to a target, if the target has a limit. It returns false if there
// is none.
func (l *Limiter) Take(target string, priority int) bool {
	if l.limited.Load() == 0 {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	_, limited := l.announcements.Limit(target)
	return !limited || l.tokens.Take(target, priority, l.cfg.Clock())
}

// Admit reports whether a request may be sent to a target now. It is called for each request when it
// is sent, because the target may have announced its limit since the request chose it.
func (l *Limiter) Admit(target string) bool {
	if l.limited.Load() == 0 {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	_, limited := l.announcements.Limit(target)
	return !limited || l.tokens.Admit(target, l.cfg.Clock())
}

// Availability returns the time until the limit of a target is likely to allow a request of a
// priority, zero if that is not known. limited reports whether the target's limit allows none now.
func (l *Limiter) Availability(target string, priority int) (wait time.Duration, limited bool) {
	if l.limited.Load() == 0 {
		return 0, false
	}
	now := l.cfg.Clock()
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, limited := l.announcements.Limit(target); !limited || l.tokens.Has(target, priority, now) {
		return 0, false
	}
	return cmp.Or(l.tokens.Availability(target, l.allocators(target), priority, now), defaultAvailability), true
}

// defaultAvailability is assumed while no allocator has answered.
const defaultAvailability = 200 * time.Millisecond

// RecordPause discards the tokens after the process was paused, and ages the announcements by the
// time for which its clock stood still.
func (l *Limiter) RecordPause(clockStopped time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tokens.Drop()
	l.announcements.AddAge(max(clockStopped, 0))
}

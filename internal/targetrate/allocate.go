package targetrate

import (
	"slices"
	"time"

	"github.com/balsamstall/balsamstall/coordination/notice"
	"github.com/balsamstall/balsamstall/coordination/ratelimit"
	"github.com/balsamstall/balsamstall/protocol/peerpb"
)

const (
	// maxTargetsPerRequest limits the targets of one request for tokens.
	maxTargetsPerRequest = 64
	// notAllocatorWait is the time after which it makes sense to ask an entry again that is no
	// allocator of the target in its own view.
	notAllocatorWait = 500 * time.Millisecond
)

// Fleet describes the live entries, this entry included.
type Fleet struct {
	Entries []ratelimit.Entry
	// AssumedEntries is the number of entries to assume while this entry knows no other, or zero.
	AssumedEntries int
}

// allocators returns the allocators of a target. The caller must hold mu.
func (l *Limiter) allocators(target string) []ratelimit.Entry {
	if chosen, ok := l.chosen[target]; ok {
		return chosen
	}
	var chosen []ratelimit.Entry
	if _, cold := l.cold[target]; cold {
		chosen = l.coldView.Allocators(target, l.zones[target])
	} else {
		chosen = ratelimit.Allocators(target, l.zones[target], l.fleet.Entries)
	}
	l.chosen[target] = chosen
	return chosen
}

// SetFleet replaces the live entries, among which the allocators are chosen.
func (l *Limiter) SetFleet(f Fleet) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fleet = f
	l.coldView.Update(l.cfg.Clock(), f.Entries, f.AssumedEntries > 0)
	l.clearAllocators()
}

// clearAllocators forgets which entries allocate, after a change of what that depends on. The caller must
// hold mu.
func (l *Limiter) clearAllocators() {
	clear(l.chosen)
	clear(l.allocatesCold)
}

// HandleRequest grants a token of the first target that has one.
func (l *Limiter) HandleRequest(in *peerpb.TokensRequest) *peerpb.TokensReply {
	targets := in.Targets[:min(len(in.Targets), maxTargetsPerRequest)]
	for _, t := range targets {
		l.Merge(in.Entry, DecodeAnnouncement(t))
	}
	now := l.cfg.Clock()
	l.mu.Lock()
	defer l.mu.Unlock()
	reply := &peerpb.TokensReply{}
	for _, t := range targets {
		g := l.allocate(now, t.Target, int(in.Rank), time.Duration(in.MaxWaitUs)*time.Microsecond)
		reply.Grants = append(reply.Grants, &peerpb.TokensGrant{Target: t.Target, Granted: g.Granted,
			ValidAfterUs: g.ValidAfter.Microseconds(), WaitUs: g.Wait.Microseconds()})
		if g.Granted {
			break
		}
	}
	return reply
}

// allocate grants a token of a target. The caller must hold mu.
func (l *Limiter) allocate(now time.Duration, target string, rank int, maxWait time.Duration) ratelimit.Grant {
	perSecond, limited := l.limit(target)
	if _, cold := l.cold[target]; cold {
		return l.allocateCold(now, target, perSecond, rank, maxWait)
	}
	allocators := l.allocators(target)
	position := slices.IndexFunc(allocators, func(e ratelimit.Entry) bool { return e.ID == l.cfg.Entry })
	// Only the first allocator probes whether a limit of zero has ended.
	if !limited || position < 0 || perSecond == 0 && position > 0 {
		return ratelimit.Grant{Wait: notAllocatorWait}
	}
	part := perSecond / float64(max(len(allocators), l.fleet.AssumedEntries))
	if a := l.allocations[target]; a == nil || a.Even() {
		l.allocations[target] = ratelimit.NewAllocation(now, part)
	}
	return l.grant(now, target, part, rank, maxWait)
}

// allocateCold grants a token of a cold target. The caller must hold mu.
func (l *Limiter) allocateCold(now time.Duration, target string, perSecond float64, rank int, maxWait time.Duration) ratelimit.Grant {
	allocates, cached := l.allocatesCold[target]
	if !cached {
		// A time that has to pass is noticed at the next SetFleet, which is called once a second.
		allocates = l.coldView.Allocates(l.cfg.Entry, target, l.zones[target], now)
		l.allocatesCold[target] = allocates
	}
	if !allocates || perSecond == 0 && l.allocators(target)[0].ID != l.cfg.Entry {
		// If this entry becomes an allocator again, it starts without a token.
		delete(l.allocations, target)
		return ratelimit.Grant{Wait: notAllocatorWait}
	}
	part := perSecond * ratelimit.ColdPart
	if a := l.allocations[target]; a == nil || !a.Even() {
		l.allocations[target] = ratelimit.NewEvenAllocation(now, part)
	}
	return l.grant(now, target, part, rank, maxWait)
}

// grant grants a token of part tokens per second. The caller must hold mu.
func (l *Limiter) grant(now time.Duration, target string, part float64, rank int, maxWait time.Duration) ratelimit.Grant {
	g := l.allocations[target].Allocate(now, part, rank, maxWait)
	if g.Granted {
		l.cfg.Metrics.TokensGranted.Add(1)
	} else {
		l.cfg.Metrics.TokensDenied.Add(1)
	}
	return g
}

// DecodeAnnouncement converts an announcement from the peer protocol.
func DecodeAnnouncement(m *peerpb.RateLimit) ratelimit.Announcement {
	return ratelimit.Announcement{Target: notice.Target{ID: m.Target, Started: m.StartedMs}, Limited: m.Limited,
		PerSecond: m.PerSecond, Age: time.Duration(m.AgeMs) * time.Millisecond}
}

// EncodeAnnouncement converts an announcement to the peer protocol.
func EncodeAnnouncement(a ratelimit.Announcement) *peerpb.RateLimit {
	return &peerpb.RateLimit{Target: a.ID, StartedMs: a.Started, Limited: a.Limited, PerSecond: a.PerSecond, AgeMs: a.Age.Milliseconds()}
}

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
	chosen := ratelimit.Allocators(target, l.zones[target], l.fleet.Entries)
	l.chosen[target] = chosen
	return chosen
}

// SetFleet replaces the live entries, among which the allocators are chosen.
func (l *Limiter) SetFleet(f Fleet) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fleet = f
	clear(l.chosen)
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
	perSecond, limited := l.announcements.Limit(target)
	allocators := l.allocators(target)
	position := slices.IndexFunc(allocators, func(e ratelimit.Entry) bool { return e.ID == l.cfg.Entry })
	// Only the first allocator probes whether a limit of zero has ended.
	if !limited || position < 0 || perSecond == 0 && position > 0 {
		return ratelimit.Grant{Wait: notAllocatorWait}
	}
	part := perSecond / float64(max(len(allocators), l.fleet.AssumedEntries))
	if l.allocations[target] == nil {
		l.allocations[target] = ratelimit.NewAllocation(now, part)
	}
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

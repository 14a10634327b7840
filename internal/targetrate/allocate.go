package targetrate

import (
	"time"

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

// HandleRequest grants tokens of the first target that has any.
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
		g := l.allocate(now, t.Target, int(in.Priority), int(in.Count), time.Duration(in.MaxWaitUs)*time.Microsecond)
		reply.Grants = append(reply.Grants, &peerpb.TokensGrant{Target: t.Target, Count: int32(g.Count), FirstUs: g.First.Microseconds(),
			IntervalUs: g.Interval.Microseconds(), WaitUs: g.Wait.Microseconds(), RetryAfterUs: g.RetryAfter.Microseconds()})
		if g.Count > 0 {
			break
		}
	}
	return reply
}

// allocate grants tokens of a target. The caller must hold mu.
func (l *Limiter) allocate(now time.Duration, target string, priority, count int, maxWait time.Duration) ratelimit.Grant {
	perSecond, limited := l.announcements.Limit(target)
	allocators := l.allocators(target)
	rank := -1
	for i := range allocators {
		if allocators[i].ID == l.cfg.Entry {
			rank = i
		}
	}
	// Only the first allocator probes whether a limit of zero has ended.
	if !limited || rank < 0 || perSecond == 0 && rank > 0 {
		return ratelimit.Grant{Wait: notAllocatorWait}
	}
	if l.allocations[target] == nil {
		l.allocations[target] = &ratelimit.Allocation{}
	}
	g := l.allocations[target].Allocate(now, perSecond/float64(max(len(allocators), l.fleet.AssumedEntries)), priority, count, maxWait)
	if g.Count > 0 {
		l.cfg.Metrics.TokensGranted.Add(int64(g.Count))
	} else {
		l.cfg.Metrics.TokensDenied.Add(1)
	}
	return g
}

// DecodeAnnouncement converts an announcement from the peer protocol.
func DecodeAnnouncement(m *peerpb.RateLimit) ratelimit.Announcement {
	return ratelimit.Announcement{Target: ratelimit.Target{ID: m.Target, Started: m.StartedMs}, Limited: m.Limited,
		PerSecond: m.PerSecond, Age: time.Duration(m.AgeMs) * time.Millisecond}
}

// EncodeAnnouncement converts an announcement to the peer protocol.
func EncodeAnnouncement(a ratelimit.Announcement) *peerpb.RateLimit {
	return &peerpb.RateLimit{Target: a.ID, StartedMs: a.Started, Limited: a.Limited, PerSecond: a.PerSecond, AgeMs: a.Age.Milliseconds()}
}

// Package shardlimit bounds the number of sub-requests that an entry has in flight at one shard. It
// handles a shard whose targets are lost, slow or overloaded while the other shards work: queueing
// there helps no request, because a late reply is as useless as none. A sub-request over the limit
// is shed at once, so that the others are answered in time and the query is answered from the shards
// that work.
//
// The limit follows additive increase and multiplicative decrease (D. Chiu and R. Jain, "Analysis of
// the Increase and Decrease Algorithms for Congestion Avoidance in Computer Networks", 1989): timely
// replies raise it, late and missing ones lower it.
//
// All times are durations since an arbitrary origin that is the same for every call. A Limiter is
// not safe for concurrent use.
package shardlimit

import "time"

// Settings configures a Limiter.
type Settings struct {
	// Initial, Min and Max are the initial, lowest and highest limit on sub-requests in flight. The
	// defaults are 16, 1 and 64. The minimum of 1 keeps probing a shard that does not answer.
	Initial, Min, Max float64
	// Decrease is the factor by which one decrease multiplies the limit. The default is 0.8.
	Decrease float64
	// Cooldown is the minimum time between two decreases, so that one pause of a target counts once.
	// The default is 30 ms.
	Cooldown time.Duration
}

// DefaultSettings returns the default settings.
func DefaultSettings() Settings {
	return Settings{Initial: 16, Min: 1, Max: 64, Decrease: 0.8, Cooldown: 30 * time.Millisecond}
}

// Limiter limits the sub-requests in flight at one shard. Create it with New.
type Limiter struct {
	settings    Settings
	limit       float64
	inFlight    int
	decreasedAt time.Duration
}

// New returns a Limiter with nothing in flight.
func New(s Settings, now time.Duration) *Limiter {
	return &Limiter{settings: s, limit: s.Initial, decreasedAt: now}
}

// CanStart reports whether the limit allows another sub-request.
func (l *Limiter) CanStart() bool { return l.inFlight < int(l.limit) }

// Start records the start of an attempt, even over the limit: repeats (retries and hedges) are
// bounded elsewhere.
func (l *Limiter) Start() { l.inFlight++ }

// End records the end of an attempt. inTime tells whether its reply came early enough to be useful.
// counted is false for an attempt that says nothing about the shard; it leaves the limit unchanged.
func (l *Limiter) End(now time.Duration, inTime, counted bool) {
	l.inFlight = max(l.inFlight-1, 0)
	switch {
	case !counted:
	case inTime:
		l.limit = min(l.limit+1/l.limit, l.settings.Max)
	case now-l.decreasedAt >= l.settings.Cooldown:
		l.limit = max(l.limit*l.settings.Decrease, l.settings.Min)
		l.decreasedAt = now
	}
}

// InFlight returns the number of attempts in flight.
func (l *Limiter) InFlight() int { return l.inFlight }

// Limit returns the current limit on sub-requests in flight.
func (l *Limiter) Limit() int { return int(l.limit) }

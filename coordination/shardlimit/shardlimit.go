// Package shardlimit bounds the sub-requests that an entry has in flight at one
// shard. It answers the load of a shard whose targets are lost, slow or overloaded
// while the others work: queueing there helps no request, because a late reply is
// worth as little as none. A sub-request over the limit is left out at once, so
// that the others are answered in time and the answer leaves with the shards that
// work.
//
// The limit follows additive increase and multiplicative decrease (D. Chiu and R.
// Jain, "Analysis of the Increase and Decrease Algorithms for Congestion Avoidance
// in Computer Networks", 1989): replies in time raise it, late and missing ones
// lower it.
//
// All times are durations since an arbitrary start that is the same for every
// call. Nothing here locks: the caller serialises the calls on one Limiter.
package shardlimit

import "time"

// Settings tunes a Limiter.
type Settings struct {
	// Initial, Min and Max bound the sub-requests in flight. The defaults are 16, 1
	// and 64. The least of 1 keeps probing a shard that does not answer.
	Initial, Min, Max float64
	// Decrease is the factor of one decrease. The default is 0.8.
	Decrease float64
	// Cooldown is the least time between two decreases, so that one pause of a target
	// counts once. The default is 30 ms.
	Cooldown time.Duration
}

// DefaultSettings returns the defaults.
func DefaultSettings() Settings {
	return Settings{Initial: 16, Min: 1, Max: 64, Decrease: 0.8, Cooldown: 30 * time.Millisecond}
}

// Limiter holds the limit of one shard. Create it with New.
type Limiter struct {
	settings    Settings
	limit       float64
	inFlight    int
	decreasedAt time.Duration
}

// New returns a limiter with nothing in flight.
func New(s Settings, now time.Duration) *Limiter {
	return &Limiter{settings: s, limit: s.Initial, decreasedAt: now}
}

// Free reports whether another sub-request may start.
func (l *Limiter) Free() bool { return l.inFlight < int(l.limit) }

// Start counts an attempt, whether Free or not: repeats are bounded elsewhere.
func (l *Limiter) Start() { l.inFlight++ }

// End counts the end of an attempt. inTime tells whether it was answered early
// enough to be of use; counted is false for one that says nothing about the shard.
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

// Limit returns the number of sub-requests that may be in flight.
func (l *Limiter) Limit() int { return int(l.limit) }

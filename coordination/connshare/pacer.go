package connshare

import "time"

// Settings configures a Pacer.
type Settings struct {
	// DialsPerSecond is the maximum sustained rate of dials to a target. The default is 20, far
	// below the 166 per second that are possible with dials of 6 ms.
	DialsPerSecond float64
	// Burst is the number of dials that may start at once after an idle period. The default is
	// 4: an entry's share of 30 connections among 9 entries, plus one.
	Burst int
	// MinBackoff is the backoff after a failed dial. It doubles with each further failure, up to
	// MaxBackoff. The defaults are 50 ms and 5 s.
	MinBackoff, MaxBackoff time.Duration
	// MaxWait is the maximum wait that Reserve returns. The default is 1 s.
	MaxWait time.Duration
}

// DefaultSettings returns the default settings.
func DefaultSettings() Settings {
	return Settings{
		DialsPerSecond: 20,
		Burst:          4,
		MinBackoff:     50 * time.Millisecond,
		MaxBackoff:     5 * time.Second,
		MaxWait:        time.Second,
	}
}

// Rand is a source of random numbers. *rand.Rand of math/rand/v2 implements it.
type Rand interface {
	// Float64 returns a number in [0, 1).
	Float64() float64
}

// jitter is the maximum ratio by which an interval is randomly lengthened, so that entries that
// start at the same time do not dial at the same time.
const jitter = 0.5

// Pacer limits the rate at which an entry dials a target, using the generic cell rate algorithm
// (ITU-T I.371). Create it with NewPacer.
type Pacer struct {
	settings Settings
	// fullAt is the time at which the whole burst is available again.
	fullAt time.Duration
	// blockedUntil is the end of the backoff.
	blockedUntil time.Duration
	backoff      time.Duration
}

// NewPacer returns a Pacer that allows an immediate burst.
func NewPacer(s Settings) *Pacer { return &Pacer{settings: s} }

// SetRate changes the sustained rate and the burst. Callers derive both from the share of
// connections, so that a pool that lost all its connections is full again after about a second.
func (p *Pacer) SetRate(dialsPerSecond float64, burst int) {
	p.settings.DialsPerSecond, p.settings.Burst = dialsPerSecond, burst
}

// Reserve reserves one dial and returns the time to wait before it. If the wait would exceed
// MaxWait, it reserves nothing and returns false.
func (p *Pacer) Reserve(now time.Duration, rng Rand) (wait time.Duration, ok bool) {
	interval := time.Duration(float64(time.Second) / p.settings.DialsPerSecond)
	tolerance := time.Duration(max(p.settings.Burst-1, 0)) * interval
	fullAt := max(p.fullAt, now)
	start := max(fullAt-tolerance, now)
	if start < p.blockedUntil {
		start = p.blockedUntil
		fullAt = max(fullAt, start)
	}
	if start-now > p.settings.MaxWait {
		return 0, false
	}
	p.fullAt = fullAt + time.Duration(float64(interval)*(1+jitter*rng.Float64()))
	return start - now, true
}

// RecordFailure starts or doubles the backoff after a failed dial. The backoff is randomly
// lengthened by up to half.
func (p *Pacer) RecordFailure(now time.Duration, rng Rand) {
	p.backoff = min(max(2*p.backoff, p.settings.MinBackoff), p.settings.MaxBackoff)
	length := time.Duration(float64(p.backoff) * (1 + jitter*rng.Float64()))
	p.blockedUntil = max(p.blockedUntil, now+length)
}

// RecordSuccess ends the backoff after a successful dial.
func (p *Pacer) RecordSuccess() { p.backoff, p.blockedUntil = 0, 0 }

package connshare

import "time"

// Settings tunes a Pacer.
type Settings struct {
	// DialsPerSecond is the largest sustained rate of dials to one target. The
	// default is 20, far below the 166 per second that dials of 6 ms allow.
	DialsPerSecond float64
	// Burst is the number of dials that may start at once after a pause. The
	// default is 4: the share of 30 connections among 9 entries and one more.
	Burst int
	// MinBackoff is the time without dials after a failed one. It doubles with
	// each further failure up to MaxBackoff. The defaults are 50 ms and 5 s.
	MinBackoff, MaxBackoff time.Duration
	// MaxWait bounds the wait that Reserve hands out. The default is 1 s.
	MaxWait time.Duration
}

// DefaultSettings returns the defaults.
func DefaultSettings() Settings {
	return Settings{
		DialsPerSecond: 20,
		Burst:          4,
		MinBackoff:     50 * time.Millisecond,
		MaxBackoff:     5 * time.Second,
		MaxWait:        time.Second,
	}
}

// Rand is the random source. *rand.Rand of math/rand/v2 implements it.
type Rand interface {
	// Float64 returns a number from 0 up to 1.
	Float64() float64
}

// jitter is the largest part by which an interval is lengthened at random, so
// that entries that start together do not dial together.
const jitter = 0.5

// Pacer paces the dials of one entry to one target. It follows the generic cell
// rate algorithm (ITU-T I.371). Create it with NewPacer.
type Pacer struct {
	settings Settings
	// due is the time at which the bucket is full again.
	due time.Duration
	// blockedUntil is the end of the backoff.
	blockedUntil time.Duration
	backoff      time.Duration
}

// NewPacer returns a pacer that allows a burst at once.
func NewPacer(s Settings) *Pacer { return &Pacer{settings: s} }

// SetRate changes the sustained rate and the burst. Both follow the share of
// connections, so that a pool that lost all of them is full again after about a
// second.
func (p *Pacer) SetRate(dialsPerSecond float64, burst int) {
	p.settings.DialsPerSecond, p.settings.Burst = dialsPerSecond, burst
}

// Reserve takes the place of one dial and returns the time to wait before it. It
// reports false, and takes no place, when the wait would exceed MaxWait.
func (p *Pacer) Reserve(now time.Duration, rng Rand) (wait time.Duration, ok bool) {
	interval := time.Duration(float64(time.Second) / p.settings.DialsPerSecond)
	tolerance := time.Duration(max(p.settings.Burst-1, 0)) * interval
	due := max(p.due, now)
	start := max(due-tolerance, now)
	if start < p.blockedUntil {
		start = p.blockedUntil
		due = max(due, start)
	}
	if start-now > p.settings.MaxWait {
		return 0, false
	}
	p.due = due + time.Duration(float64(interval)*(1+jitter*rng.Float64()))
	return start - now, true
}

// Failed starts or doubles the backoff after a failed dial. The backoff is
// lengthened at random by up to half.
func (p *Pacer) Failed(now time.Duration, rng Rand) {
	p.backoff = min(max(2*p.backoff, p.settings.MinBackoff), p.settings.MaxBackoff)
	length := time.Duration(float64(p.backoff) * (1 + jitter*rng.Float64()))
	p.blockedUntil = max(p.blockedUntil, now+length)
}

// Succeeded ends the backoff.
func (p *Pacer) Succeeded() { p.backoff, p.blockedUntil = 0, 0 }

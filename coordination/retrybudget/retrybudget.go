// Package retrybudget bounds the retries of one service, so that retries do not
// multiply the load while targets fail.
//
// Successes earn tokens and each retry costs one, as with the retry budgets of
// B. Beyer et al., "Site Reliability Engineering", chapter 21, 2016. A small
// reserve that refills with time lets a quiet service retry too.
//
// All times are durations since an arbitrary start that is the same for every
// call. Nothing here locks: the caller serialises the calls on one Budget.
package retrybudget

import "time"

// Settings tunes a Budget.
type Settings struct {
	// Ratio is the number of retries that one success earns, from 0 to 1. The
	// default is 0.1.
	Ratio float64
	// Burst is the largest number of earned retries kept. The default is 100.
	Burst float64
	// ReservePerSecond is the number of retries per second that are allowed
	// without successes. At most one second of reserve is kept, and at least one
	// retry. The default is 1.
	ReservePerSecond float64
}

// DefaultSettings returns the defaults.
func DefaultSettings() Settings {
	return Settings{Ratio: 0.1, Burst: 100, ReservePerSecond: 1}
}

// Budget is the retry budget of one service. Create it with New.
type Budget struct {
	settings   Settings
	earned     float64
	reserve    float64
	refilledAt time.Duration
}

// New returns a budget with a full reserve and nothing earned.
func New(s Settings, now time.Duration) *Budget {
	b := &Budget{settings: s, refilledAt: now}
	b.reserve = b.maxReserve()
	return b
}

// Success earns the retries of n successful primary attempts.
func (b *Budget) Success(n int) {
	b.earned = min(b.earned+float64(n)*b.settings.Ratio, b.settings.Burst)
}

// TryRetry reports whether one retry is allowed now, and spends it.
func (b *Budget) TryRetry(now time.Duration) bool {
	b.refill(now)
	switch {
	case b.earned >= 1:
		b.earned--
	case b.reserve >= 1:
		b.reserve--
	default:
		return false
	}
	return true
}

// Tokens returns the number of retries that are allowed now.
func (b *Budget) Tokens(now time.Duration) float64 {
	b.refill(now)
	return b.earned + b.reserve
}

func (b *Budget) maxReserve() float64 {
	if b.settings.ReservePerSecond <= 0 {
		return 0
	}
	return max(b.settings.ReservePerSecond, 1)
}

func (b *Budget) refill(now time.Duration) {
	if now <= b.refilledAt {
		return
	}
	added := (now - b.refilledAt).Seconds() * b.settings.ReservePerSecond
	b.reserve = min(b.reserve+added, b.maxReserve())
	b.refilledAt = now
}

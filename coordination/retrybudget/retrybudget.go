// Package retrybudget limits retries, so that they do not multiply the load while targets fail. A
// Budget limits the retries of one service at one entry, a FleetShare the repeats (retries and
// hedges) that all entries send to one target group.
//
// In a Budget, successes earn tokens and each retry costs one, as with the retry budgets of B. Beyer
// et al., "Site Reliability Engineering", chapter 21, 2016. A small reserve that refills over time
// lets a service with little traffic retry too.
//
// All times are durations since an arbitrary origin that is the same for every call. The types are
// not safe for concurrent use.
package retrybudget

import "time"

// Settings configures a Budget.
type Settings struct {
	// Ratio is the number of retries that one success earns, from 0 to 1. The default is 0.1.
	Ratio float64
	// Burst is the maximum number of earned retries that accumulate. The default is 100.
	Burst float64
	// ReservePerSecond is the number of retries per second that are allowed without successes. The
	// reserve holds at most the retries of one second, but at least one retry. The default is 1.
	ReservePerSecond float64
}

// DefaultSettings returns the default settings.
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

// New returns a Budget with a full reserve and no earned retries.
func New(s Settings, now time.Duration) *Budget {
	b := &Budget{settings: s, refilledAt: now}
	b.reserve = b.maxReserve()
	return b
}

// AddSuccesses credits the budget for n successful primary attempts.
func (b *Budget) AddSuccesses(n int) {
	b.earned = min(b.earned+float64(n)*b.settings.Ratio, b.settings.Burst)
}

// TryRetry reports whether one retry is allowed now, and if so takes it from the budget.
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

// maxReserve returns the capacity of the reserve.
func (b *Budget) maxReserve() float64 {
	if b.settings.ReservePerSecond <= 0 {
		return 0
	}
	return max(b.settings.ReservePerSecond, 1)
}

// refill adds the reserve earned since the last refill.
func (b *Budget) refill(now time.Duration) {
	if now <= b.refilledAt {
		return
	}
	added := (now - b.refilledAt).Seconds() * b.settings.ReservePerSecond
	b.reserve = min(b.reserve+added, b.maxReserve())
	b.refilledAt = now
}

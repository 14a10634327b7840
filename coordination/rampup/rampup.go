// Package rampup computes a load balancing weight for cold targets that grows with time, so that
// their caches fill before they get the full load.
//
// Times are durations since an arbitrary origin that is the same for every call.
package rampup

import "time"

// Settings configures the growth of the weight.
type Settings struct {
	// Duration is the time in which the weight grows from MinWeight to 1. The default is 3 s.
	// Zero disables the ramp.
	Duration time.Duration
	// MinWeight is the initial weight, above 0 and at most 1. The default is 0.5: a cold target
	// is somewhat slower, but its capacity is needed while other targets are replaced as well.
	// How much slower it is shows in its latency, from which package replica computes its cost.
	MinWeight float64
}

// DefaultSettings returns the default settings.
func DefaultSettings() Settings {
	return Settings{Duration: 3 * time.Second, MinWeight: 0.5}
}

// Weight returns the weight of a target that became cold at coldSince. It grows linearly from
// MinWeight to 1 over Duration.
func (s Settings) Weight(now, coldSince time.Duration) float64 {
	age := now - coldSince
	if age >= s.Duration {
		return 1
	}
	progress := max(float64(age)/float64(s.Duration), 0)
	return s.MinWeight + (1-s.MinWeight)*progress
}

// Package rampup gives a cold target a part of its normal work that grows with
// time, so that its caches fill before it gets the full load.
//
// Times are durations since an arbitrary start that is the same for every call.
package rampup

import "time"

// Settings tunes the growth of the weight.
type Settings struct {
	// Duration is the time from the least weight to the full one. The default is
	// 3 s. Zero turns the ramp off.
	Duration time.Duration
	// MinWeight is the weight at the start, above 0 and at most 1. The default is
	// 0.5: a cold target is somewhat slower, and while others are replaced as well its
	// work is needed. How much slower it is shows in its latency.
	MinWeight float64
}

// DefaultSettings returns the defaults.
func DefaultSettings() Settings {
	return Settings{Duration: 3 * time.Second, MinWeight: 0.5}
}

// Weight returns the weight of a target that turned cold at coldSince. It grows
// linearly from MinWeight to 1 over Duration.
func (s Settings) Weight(now, coldSince time.Duration) float64 {
	age := now - coldSince
	if age >= s.Duration {
		return 1
	}
	part := max(float64(age)/float64(s.Duration), 0)
	return s.MinWeight + (1-s.MinWeight)*part
}

// Package confirm decides when an entry reads the platform itself, whatever its role, because no entry is
// known to have read it recently.
//
// A document is confirmed as of the latest time at which the platform is known to have had no newer version.
// Watchers read the platform all the time and the others learn from them how old the last confirmation is. An
// entry whose confirmation is too old cannot tell whether its watchers are lost, or the platform, or the path
// to them, so it calls the platform. If the platform is lost to all, all of them call, which is why the calls
// of a large fleet are spread over time.
package confirm

import "time"

// DefaultCallsPerSecond is half of the rate at which the platform of the design size accepts calls.
const DefaultCallsPerSecond = 1000

// maxSpread limits the time between the calls of an entry.
const maxSpread = 10 * time.Minute

// Settings configures the decision.
type Settings struct {
	// MaxAge is the age of a confirmation at which an entry reads the platform. Zero means never. It is
	// exceeded only in a fleet whose entries cannot all call the platform within half of it.
	MaxAge time.Duration
	// CallsPerSecond limits the calls of all entries together while no call succeeds. The default is
	// DefaultCallsPerSecond.
	CallsPerSecond float64
}

// spread returns the time over which the calls of a fleet are distributed.
func (s Settings) spread(entries int) time.Duration {
	rate := s.CallsPerSecond
	if rate <= 0 {
		rate = DefaultCallsPerSecond
	}
	return time.Duration(min(float64(entries)/rate, maxSpread.Seconds()) * float64(time.Second))
}

// ReadAge returns the age of a confirmation at which one of a number of entries reads the platform. position,
// from 0 to 1, is the place of the entry among them. It returns zero if the entry never does.
func (s Settings) ReadAge(entries int, position float64) time.Duration {
	if s.MaxAge <= 0 {
		return 0
	}
	spread := s.spread(entries)
	return max(s.MaxAge-spread, s.MaxAge/2) + time.Duration(position*float64(spread))
}

// RetryPause returns the pause of one of a number of entries after a failed call. random is from 0 to 1.
func (s Settings) RetryPause(entries int, random float64) time.Duration {
	pause := max(s.MaxAge/2, s.spread(entries))
	return pause - time.Duration(random*float64(pause)/4)
}

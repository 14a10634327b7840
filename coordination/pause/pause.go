// Package pause detects that the process was paused, so that cached state can be verified before
// it is used.
//
// After a process was stopped, the next tick is late on the monotonic clock. On a suspended
// machine the monotonic clock may stop, in which case only the wall clock shows the gap. A
// forward step of the wall clock looks like a pause and causes one unnecessary verification.
//
// A Detector is not safe for concurrent use.
package pause

import "time"

// Settings configures a Detector.
type Settings struct {
	// Interval is the time between ticks. The default is 100 ms.
	Interval time.Duration
	// Threshold is the lateness of a tick above which the process counts as paused. The default
	// is 400 ms, which exceeds the scheduling delay of a busy host. Together with the interval
	// it is far below the 3 s within which a leaving target must stop receiving work.
	Threshold time.Duration
}

// DefaultSettings returns the default settings.
func DefaultSettings() Settings {
	return Settings{Interval: 100 * time.Millisecond, Threshold: 400 * time.Millisecond}
}

// Gap is the lateness of a tick.
type Gap struct {
	// Monotonic and Wall are the lateness on the monotonic and the wall clock. Zero or less
	// means on time. Wall is below -Interval if the wall clock was set back.
	Monotonic, Wall time.Duration
}

// Longest returns the larger lateness of the two clocks.
func (g Gap) Longest() time.Duration { return max(g.Monotonic, g.Wall) }

// Detector detects late ticks on the monotonic and the wall clock. Create it with New.
type Detector struct {
	settings Settings
	lastTick time.Duration
	lastWall time.Time
}

// New returns a Detector whose first tick is due one interval after now.
func New(s Settings, now time.Duration, wall time.Time) *Detector {
	return &Detector{settings: s, lastTick: now, lastWall: wall.Round(0)}
}

// Check reports whether the process was paused since the last tick, without counting as a tick.
// A sender calls it before each send, because it may run before the first tick after a pause.
func (d *Detector) Check(now time.Duration, wall time.Time) (Gap, bool) {
	gap := Gap{
		Monotonic: now - d.lastTick - d.settings.Interval,
		// Round strips the monotonic clock reading, which Sub would use otherwise.
		Wall: wall.Round(0).Sub(d.lastWall) - d.settings.Interval,
	}
	return gap, gap.Longest() > d.settings.Threshold
}

// Tick does the same as Check and starts the next interval.
func (d *Detector) Tick(now time.Duration, wall time.Time) (Gap, bool) {
	gap, paused := d.Check(now, wall)
	d.lastTick, d.lastWall = now, wall.Round(0)
	return gap, paused
}

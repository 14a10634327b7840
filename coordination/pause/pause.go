// Package pause detects that the process was paused, so that cached state is
// checked again before it is acted on.
//
// A stopped process sees a late tick on the monotonic clock. A suspended machine
// may stop that clock, and then the wall clock shows the gap. A step of the wall
// clock looks like a pause; the cost is one more check.
//
// Nothing here locks: the caller serialises the calls on one Detector.
package pause

import "time"

// Settings tunes a Detector.
type Settings struct {
	// Interval is the time between two ticks. The default is 100 ms.
	Interval time.Duration
	// Threshold is the lateness above which a tick means a pause. The default is
	// 400 ms: above the scheduling delay of a busy host, and with the interval
	// far below the 3 s in which a leaving target must lose its work.
	Threshold time.Duration
}

// DefaultSettings returns the defaults.
func DefaultSettings() Settings {
	return Settings{Interval: 100 * time.Millisecond, Threshold: 400 * time.Millisecond}
}

// Gap tells how late a tick is.
type Gap struct {
	// Monotonic and Wall are the lateness by either clock. Zero or less means on
	// time. Wall is below -Interval when the wall clock was set back.
	Monotonic, Wall time.Duration
}

// Longest returns the larger lateness.
func (g Gap) Longest() time.Duration { return max(g.Monotonic, g.Wall) }

// Detector compares ticks on two clocks. Create it with New.
type Detector struct {
	settings Settings
	now      time.Duration
	wall     time.Time
}

// New returns a detector whose first tick is due one interval after now.
func New(s Settings, now time.Duration, wall time.Time) *Detector {
	return &Detector{settings: s, now: now, wall: wall.Round(0)}
}

// Check reports whether the process was paused since the last tick, without
// counting as a tick. A sender calls it before a send, because it may run before
// the first tick after the pause.
func (d *Detector) Check(now time.Duration, wall time.Time) (Gap, bool) {
	gap := Gap{
		Monotonic: now - d.now - d.settings.Interval,
		// Round strips the monotonic reading, which Sub would prefer.
		Wall: wall.Round(0).Sub(d.wall) - d.settings.Interval,
	}
	return gap, gap.Longest() > d.settings.Threshold
}

// Tick is Check, and starts the next interval.
func (d *Detector) Tick(now time.Duration, wall time.Time) (Gap, bool) {
	gap, paused := d.Check(now, wall)
	d.now, d.wall = now, wall.Round(0)
	return gap, paused
}

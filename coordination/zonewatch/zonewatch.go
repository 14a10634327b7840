// Package zonewatch finds the availability zones that an entry cannot reach. It answers
// the load of a network partition: packets are dropped, so that attempts into the zone
// hang until a hedge has answered their shard, and a search over many shards meets some
// of them nearly always. One target at a time each entry would find out by dozens of
// attempts; that no target of a whole zone answers any more shows after a few.
//
// The package is pure: it takes the time, on the monotonic clock of the process, as an
// argument, starts nothing and locks nothing.
package zonewatch

import "time"

// Settings tunes a Watch. DefaultSettings returns the defaults.
type Settings struct {
	// UnansweredAfter is the age from which an attempt without a reply is evidence. The
	// default is 50 ms, above the usual time of a reply.
	UnansweredAfter time.Duration
	// Attempts is the number of such attempts in a row after which a zone counts as
	// unreachable. The default is 5.
	Attempts int
	// Targets is the least number of different targets among them: one that is down is
	// no partition. The default is 3.
	Targets int
}

// DefaultSettings returns the defaults.
func DefaultSettings() Settings {
	return Settings{UnansweredAfter: 50 * time.Millisecond, Attempts: 5, Targets: 3}
}

// Watch holds what an entry knows of the zones. Create it with New.
type Detector struct {
	settings Settings
	zones    map[string]*zone
}

type zone struct {
	// repliedAt is the time of the last reply, meaningful when replied is set.
	repliedAt time.Duration
	replied   bool
	// unanswered counts the attempts without a reply since then, and targets names some
	// of their targets.
	unanswered int
	targets    []string
	// lostAt is the time from which the zone counts as unreachable.
	unreachable      bool
	unreachableSince time.Duration
}

// New returns a watch to which every zone is reachable.
func New(s Settings) *Detector { return &Detector{settings: s, zones: make(map[string]*zone)} }

func (w *Detector) zone(name string) *zone {
	z := w.zones[name]
	if z == nil {
		z = &zone{}
		w.zones[name] = z
	}
	return z
}

// Replied records a reply of a target of a zone, or that a connection to one could be
// opened. It reports whether the zone was unreachable until now.
func (w *Detector) Replied(name string, now time.Duration) (recovered bool) {
	z := w.zone(name)
	z.repliedAt, z.replied = now, true
	z.unanswered, z.targets = 0, z.targets[:0]
	recovered, z.unreachable = z.unreachable, false
	return recovered
}

// Unanswered records the end of an attempt that had no reply. It reports whether the zone
// counts as unreachable from now on.
func (w *Detector) Unanswered(name, target string, started, now time.Duration) (unreachable bool) {
	z := w.zone(name)
	if z.unreachable || now-started < w.settings.UnansweredAfter || z.replied && z.repliedAt >= started {
		return false
	}
	z.unanswered++
	z.addTarget(target, w.settings.Targets)
	if z.unanswered < w.settings.Attempts || len(z.targets) < w.settings.Targets {
		return false
	}
	z.unreachable, z.unreachableSince = true, now
	return true
}

// note remembers a target, up to most different ones.
func (z *zone) addTarget(target string, limit int) {
	if len(z.targets) >= limit {
		return
	}
	for _, t := range z.targets {
		if t == target {
			return
		}
	}
	z.targets = append(z.targets, target)
}

// Lost reports whether a zone counts as unreachable.
func (w *Detector) Unreachable(name string) bool {
	z := w.zones[name]
	return z != nil && z.unreachable
}

// AllLost reports whether every zone but the own has been unreachable for at least the
// given time, and there is one.
func (w *Detector) AllUnreachable(own string, now, minDuration time.Duration) bool {
	others := 0
	for name, z := range w.zones {
		if name == own {
			continue
		}
		others++
		if !z.unreachable || now-z.unreachableSince < minDuration {
			return false
		}
	}
	return others > 0
}

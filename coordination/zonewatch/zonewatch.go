// Package zonewatch detects availability zones that an entry cannot reach. During a network partition
// packets are dropped, so that attempts to targets in the zone hang until a hedge has answered for
// their shard, and nearly every search over many shards includes such an attempt. Detecting the
// targets one by one would take each entry dozens of attempts; that no target of a whole zone answers
// is evident after a few.
//
// The package has no side effects: it takes the time, on the monotonic clock of the process, as an
// argument, and starts no goroutines. A Detector is not safe for concurrent use.
package zonewatch

import "time"

// Settings configures a Detector. DefaultSettings returns the defaults.
type Settings struct {
	// UnansweredAfter is the age from which an attempt without a reply counts as evidence. The
	// default of 50 ms is above the usual response time.
	UnansweredAfter time.Duration
	// Attempts is the number of consecutive attempts of that kind after which a zone counts as
	// unreachable. The default is 5.
	Attempts int
	// Targets is the minimum number of distinct targets among these attempts, because a single
	// target that is down is not a partition. The default is 3.
	Targets int
}

// DefaultSettings returns the defaults.
func DefaultSettings() Settings {
	return Settings{UnansweredAfter: 50 * time.Millisecond, Attempts: 5, Targets: 3}
}

// Detector holds an entry's evidence on which zones are reachable. Create it with New.
type Detector struct {
	settings Settings
	zones    map[string]*zone
}

type zone struct {
	// repliedAt is the time of the last reply. It is valid only if replied is set.
	repliedAt time.Duration
	replied   bool
	// unanswered is the number of attempts without a reply since then, and targets holds distinct
	// targets of these attempts, up to Settings.Targets.
	unanswered int
	targets    []string
	// unreachableSince is valid only if unreachable is set.
	unreachable      bool
	unreachableSince time.Duration
}

// New returns a detector that considers every zone reachable.
func New(s Settings) *Detector { return &Detector{settings: s, zones: make(map[string]*zone)} }

func (d *Detector) zone(name string) *zone {
	z := d.zones[name]
	if z == nil {
		z = &zone{}
		d.zones[name] = z
	}
	return z
}

// RecordReply records a reply from a target in a zone, or a connection opened to one. It reports
// whether the zone counted as unreachable until now.
func (d *Detector) RecordReply(name string, now time.Duration) (recovered bool) {
	z := d.zone(name)
	z.repliedAt, z.replied = now, true
	z.unanswered, z.targets = 0, z.targets[:0]
	recovered, z.unreachable = z.unreachable, false
	return recovered
}

// RecordUnanswered records the end of an attempt without a reply. It reports whether the zone counts
// as unreachable from now on.
func (d *Detector) RecordUnanswered(name, target string, started, now time.Duration) (unreachable bool) {
	z := d.zone(name)
	if z.unreachable || now-started < d.settings.UnansweredAfter || z.replied && z.repliedAt >= started {
		return false
	}
	z.unanswered++
	z.addTarget(target, d.settings.Targets)
	if z.unanswered < d.settings.Attempts || len(z.targets) < d.settings.Targets {
		return false
	}
	z.unreachable, z.unreachableSince = true, now
	return true
}

// addTarget records a target, up to limit distinct ones.
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

// Unreachable reports whether a zone counts as unreachable.
func (d *Detector) Unreachable(name string) bool {
	z := d.zones[name]
	return z != nil && z.unreachable
}

// AllUnreachable reports whether zones other than own are known and each of them has been
// unreachable for at least minDuration.
func (d *Detector) AllUnreachable(own string, now, minDuration time.Duration) bool {
	others := 0
	for name, z := range d.zones {
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

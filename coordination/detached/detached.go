// Package detached detects that an entry is partitioned from all targets while its peers still reach
// them. Such an entry cannot serve any request itself, although its callers, its peers and the
// platform are reachable.
//
// Failed attempts alone do not tell a partition from targets in trouble. They only cause a check:
// the entry opens connections to targets from which peers have just heard. It is detached if none can
// be opened. A connection that was opened before may work on meanwhile, so replies do not clear the
// suspicion that refused connections raise.
//
// The package has no side effects: it takes the time, on the monotonic clock of the process, as an
// argument, and starts no goroutines. A Detector is not safe for concurrent use.
package detached

import "time"

// Settings configures a Detector. DefaultSettings returns the defaults.
type Settings struct {
	// Window is the age up to which a failed attempt counts. The default is 2 s.
	Window time.Duration
	// MinTargets is the number of distinct targets with failed attempts that causes a check. The
	// default is 3: a single group seldom has more.
	MinTargets int
	// UnansweredAfter is the age from which an attempt without a reply counts as failed. The default
	// of 50 ms is above the usual response time.
	UnansweredAfter time.Duration
	// CheckInterval is the minimum time between two checks. It doubles with each check that finds a
	// target reachable, up to MaxCheckInterval, and is reset after a time of MaxCheckInterval
	// without a suspicion. The defaults are 250 ms and 2 s. A check without candidates says nothing:
	// the peers that were asked may be detached too.
	CheckInterval, MaxCheckInterval time.Duration
	// Successes is the number of consecutive successful probes after which a detached entry is
	// attached again. It doubles each time the entry becomes detached within FlapPeriod of its last
	// return, up to MaxSuccesses. The defaults are 2, 8 and 10 s.
	Successes, MaxSuccesses int
	FlapPeriod              time.Duration
}

// DefaultSettings returns the defaults.
func DefaultSettings() Settings {
	return Settings{Window: 2 * time.Second, MinTargets: 3, UnansweredAfter: 50 * time.Millisecond,
		CheckInterval: 250 * time.Millisecond, MaxCheckInterval: 2 * time.Second,
		Successes: 2, MaxSuccesses: 8, FlapPeriod: 10 * time.Second}
}

// Detector holds the evidence of one entry. Create it with New.
type Detector struct {
	settings Settings
	// refused and unanswered map targets to the time of their last failed attempt, whose connection was
	// refused or reset, or which got no reply.
	refused, unanswered map[string]time.Duration
	// repliedAt is the time of the last reply of any target. It is valid only if replied is set.
	repliedAt time.Duration
	replied   bool
	checking  bool
	// nextCheck is the earliest time of the next check.
	nextCheck     time.Duration
	checkInterval time.Duration
	detached      bool
	// attachedAt is the time of the last return. It is valid only if returned is set.
	attachedAt time.Duration
	returned   bool
	// successes counts the latest consecutive successful probes, and needed those to return.
	successes, needed int
}

// New returns a Detector of an entry that reaches its targets.
func New(s Settings) *Detector {
	return &Detector{settings: s, refused: make(map[string]time.Duration), unanswered: make(map[string]time.Duration),
		checkInterval: s.CheckInterval, needed: s.Successes}
}

// RecordReply records a reply of any target.
func (d *Detector) RecordReply(now time.Duration) {
	d.repliedAt, d.replied = now, true
	clear(d.unanswered)
}

// RecordRefused records that a connection to a target could not be opened or was reset.
func (d *Detector) RecordRefused(now time.Duration, target string) { d.refused[target] = now }

// RecordUnanswered records an attempt that ended without a reply.
func (d *Detector) RecordUnanswered(now, started time.Duration, target string) {
	if now-started < d.settings.UnansweredAfter || d.replied && d.repliedAt >= started {
		return
	}
	d.unanswered[target] = now
}

// Suspected reports whether the entry may be detached: attempts at several targets have failed.
func (d *Detector) Suspected(now time.Duration) bool {
	suspects := 0
	for target, at := range d.refused {
		if now-at > d.settings.Window {
			delete(d.refused, target)
			continue
		}
		suspects++
	}
	for target, at := range d.unanswered {
		if now-at > d.settings.Window {
			delete(d.unanswered, target)
			continue
		}
		if _, counted := d.refused[target]; !counted {
			suspects++
		}
	}
	return suspects >= d.settings.MinTargets
}

// StartCheck reports whether to check now whether targets can be reached. If so, FinishCheck must be
// called with the result.
func (d *Detector) StartCheck(now time.Duration) bool {
	if d.detached || d.checking || now < d.nextCheck || !d.Suspected(now) {
		return false
	}
	if now-d.nextCheck > d.settings.MaxCheckInterval {
		d.checkInterval = d.settings.CheckInterval
	}
	d.checking = true
	return true
}

// FinishCheck ends a check of candidates, from which peers have just heard, of which reached could be
// reached. It reports whether the entry is detached from now on.
func (d *Detector) FinishCheck(now time.Duration, candidates, reached int) bool {
	d.checking = false
	clear(d.refused)
	clear(d.unanswered)
	d.nextCheck = now + d.checkInterval
	if reached > 0 {
		d.checkInterval = min(2*d.checkInterval, d.settings.MaxCheckInterval)
	}
	if reached > 0 || candidates == 0 {
		return false
	}
	d.needed = d.settings.Successes
	if d.returned && now-d.attachedAt < d.settings.FlapPeriod {
		d.needed = min(2*max(d.needed, d.successes), d.settings.MaxSuccesses)
	}
	d.detached, d.successes = true, 0
	return true
}

// RecordProbe records whether a probe of a detached entry reached a target. It reports whether the
// entry is attached from now on.
func (d *Detector) RecordProbe(now time.Duration, reached bool) bool {
	if !d.detached {
		return false
	}
	if !reached {
		d.successes = 0
		return false
	}
	d.successes++
	if d.successes < d.needed {
		return false
	}
	d.detached, d.attachedAt, d.returned = false, now, true
	d.checkInterval, d.nextCheck = d.settings.CheckInterval, now
	return true
}

// Detached reports whether the entry reaches no target.
func (d *Detector) Detached() bool { return d.detached }

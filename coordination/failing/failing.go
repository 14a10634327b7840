// Package failing remembers the targets that broke off attempts after they were sent,
// at this entry or at another. Such a target loses a part of its answers, and each one
// costs a repeat. With many entries and few requests for each shard one entry tries a
// target every few seconds only, too seldom to find out by itself while it lasts.
//
// The package is pure: it takes the time, on the monotonic clock of the process, as an
// argument, starts nothing and locks nothing.
package failing

import (
	"cmp"
	"slices"
	"time"
)

const (
	// Period is the time for which a target counts as failing after a failure. Servers
	// that lose answers do so for 4 to 5 s on the users' days; the news reaches 68
	// entries within a second.
	Period = 2 * time.Second
	// Factor multiplies the cost of a failing target, as one failure of this entry's
	// own does (replica.Settings.FailurePenalty).
	Factor = 5
	// maxTargets bounds a Set. A zone of the design size has 6,700 targets.
	maxTargets = 8192
)

// Report is a failing target, as entries tell each other.
type Report struct {
	Target string
	// Age is the time since the last failure.
	Age time.Duration
}

// Set holds the failing targets that an entry knows of. It must not be used by several
// goroutines at once. Reports may come again and on any path: a Set keeps the last
// failure of each target, and a report grows older on its way.
type Set struct {
	at map[string]time.Duration // The time of the last failure by target.
}

// NewSet returns an empty set.
func NewSet() *Set { return &Set{at: make(map[string]time.Duration)} }

// Learn records a failure: one that a peer told, or this entry's own with the age zero. It
// reports whether the target did not count as failing before. Ages that cannot be, or are
// too old, are left out.
func (s *Set) Learn(r Report, now time.Duration) bool {
	if r.Age < 0 || r.Age >= Period {
		return false
	}
	at := now - r.Age
	before, known := s.at[r.Target]
	if known && before >= at || !known && len(s.at) >= maxTargets {
		return false
	}
	s.at[r.Target] = at
	return !known || now-before >= Period
}

// Has reports whether a target counts as failing.
func (s *Set) Has(target string, now time.Duration) bool {
	at, known := s.at[target]
	return known && now-at < Period
}

// Len returns the number of targets held, expired ones included.
func (s *Set) Len() int { return len(s.at) }

// Reports returns the failing targets, the last failures first, and forgets the others.
func (s *Set) Reports(now time.Duration) []Report {
	var reports []Report
	for target, at := range s.at {
		if now-at >= Period {
			delete(s.at, target)
			continue
		}
		reports = append(reports, Report{target, now - at})
	}
	slices.SortFunc(reports, func(a, b Report) int {
		return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Target, b.Target))
	})
	return reports
}

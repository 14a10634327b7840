// Package failing tracks the targets on which attempts failed after they were sent, from this entry
// or from another. An attempt fails when its connection breaks or the target replies with an error. Such
// a target loses some of its answers, and each lost answer costs a repeat (a retry or hedge). With many
// entries and few requests per shard, one entry tries a target only every few seconds, too rarely to
// detect the fault by itself while it lasts. Entries therefore exchange reports.
//
// All times are on the monotonic clock of the process. The package starts no goroutines.
package failing

import (
	"cmp"
	"slices"
	"time"
)

const (
	// TTL is the time for which a target counts as failing after a failure. In the users' traffic,
	// targets that lose answers do so for 4 to 5 s, and a report reaches 68 entries within a second.
	TTL = 2 * time.Second
	// CostFactor multiplies the cost of a failing target. It has the effect of one failure seen by
	// this entry itself (replica.Settings.FailurePenalty).
	CostFactor = 5
	// maxTargets bounds the size of a Set. A zone of the design size has 6,700 targets.
	maxTargets = 8192
)

// Report describes a failing target. Entries exchange reports.
type Report struct {
	Target string
	// Age is the time since the last failure of the target.
	Age time.Duration
}

// Set holds the failing targets known to an entry. It is not safe for concurrent use. The same
// report may arrive more than once and through any peer: a Set keeps only the last failure of each
// target, and a report keeps aging while it is passed on.
type Set struct {
	lastFailure map[string]time.Duration // By target.
}

// NewSet returns an empty set.
func NewSet() *Set { return &Set{lastFailure: make(map[string]time.Duration)} }

// Record records a failure that a peer reported, or with age zero one that this entry saw itself. It
// reports whether the target did not count as failing before. Reports with a negative age, or an age
// of TTL or more, are ignored.
func (s *Set) Record(r Report, now time.Duration) bool {
	if r.Age < 0 || r.Age >= TTL {
		return false
	}
	at := now - r.Age
	previous, known := s.lastFailure[r.Target]
	if known && previous >= at || !known && len(s.lastFailure) >= maxTargets {
		return false
	}
	s.lastFailure[r.Target] = at
	return !known || now-previous >= TTL
}

// Has reports whether a target counts as failing.
func (s *Set) Has(target string, now time.Duration) bool {
	at, known := s.lastFailure[target]
	return known && now-at < TTL
}

// Remaining returns the time for which a target still counts as failing, zero if it does not.
func (s *Set) Remaining(target string, now time.Duration) time.Duration {
	at, known := s.lastFailure[target]
	if !known {
		return 0
	}
	return max(at+TTL-now, 0)
}

// Len returns the number of targets held, expired ones included.
func (s *Set) Len() int { return len(s.lastFailure) }

// Reports returns the failing targets, most recent failure first, and removes expired ones.
func (s *Set) Reports(now time.Duration) []Report {
	var reports []Report
	for target, at := range s.lastFailure {
		if now-at >= TTL {
			delete(s.lastFailure, target)
			continue
		}
		reports = append(reports, Report{target, now - at})
	}
	slices.SortFunc(reports, func(a, b Report) int {
		return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Target, b.Target))
	})
	return reports
}

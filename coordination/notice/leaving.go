// Package notice tracks which targets must get no new work, because they are leaving or because they
// requested a hold-off. It serves graceful shutdowns under load, during which the list of targets
// lags behind what the targets themselves report, and overloaded targets that request relief.
//
// The package has no side effects: it takes the time, on the monotonic clock of the process, as an
// argument, and starts no goroutines. Its types are not safe for concurrent use.
package notice

import "time"

const (
	// statedRetention is the time for which a target that stated that it is leaving stays marked
	// after it was removed from the list. It is longer than it takes to restore a list that
	// expired.
	statedRetention = 10 * time.Minute
	// maxTargets bounds each set. A zone has up to 6,700 targets by design.
	maxTargets = 8192
)

// Target identifies one incarnation of a target.
type Target struct {
	ID string
	// Started is the Unix time of its start in milliseconds, or zero if not known.
	Started int64
}

// SameIncarnation reports whether two start times may belong to one incarnation. An unknown start
// time matches every other.
func SameIncarnation(a, b int64) bool { return a == b || a == 0 || b == 0 }

// Report describes a leaving target to another entry.
type Report struct {
	Target
	// Stated is set if the target itself stated that it is leaving, which holds as long as the
	// incarnation lasts.
	Stated bool
	// Remaining is the time for which other evidence remains valid. If Stated is set, it is the
	// time that was passed to Leaving.Reports.
	Remaining time.Duration
}

// Leaving tracks the targets that get no new work because they are leaving. Create it with
// NewLeaving.
type Leaving struct {
	marks map[string]mark
	// listed maps the targets of the current list to their start times.
	listed map[string]int64
}

type mark struct {
	started int64
	stated  bool
	// until is the time at which evidence other than the target's own statement ends, or at which
	// the mark of a target that is no longer listed is removed.
	until time.Duration
}

// NewLeaving returns an empty set.
func NewLeaving() *Leaving { return &Leaving{marks: make(map[string]mark)} }

// SetListed replaces the current list of incarnations, and removes the marks of earlier incarnations.
func (l *Leaving) SetListed(listed map[string]int64, now time.Duration) {
	for id, m := range l.marks {
		started, ok := listed[id]
		switch {
		case ok && !SameIncarnation(started, m.started):
			delete(l.marks, id)
		case !ok && m.stated:
			if _, before := l.listed[id]; before || m.until == 0 {
				m.until = now + statedRetention
				l.marks[id] = m
			}
		}
	}
	l.listed = listed
}

// MarkStated records a target's own statement that it is leaving, which holds until another
// incarnation is listed. It reports whether the statement is new.
func (l *Leaving) MarkStated(t Target) bool {
	if t.Started == 0 {
		t.Started = l.listed[t.ID]
	}
	before, known := l.marks[t.ID]
	if known && before.stated && SameIncarnation(before.started, t.Started) || !l.canMark(t) {
		return false
	}
	l.marks[t.ID] = mark{started: t.Started, stated: true}
	return true
}

// MarkUntil records other evidence that a target is leaving, which holds until the given time. It
// reports whether the target was not known to be leaving before.
func (l *Leaving) MarkUntil(t Target, now, until time.Duration) bool {
	if t.Started == 0 {
		t.Started = l.listed[t.ID]
	}
	before := l.marks[t.ID]
	if before.stated || !l.canMark(t) {
		return false
	}
	l.marks[t.ID] = mark{started: t.Started, until: max(before.until, until)}
	return now >= before.until
}

// canMark reports whether a target can be marked: its incarnation was not replaced by another, and
// the set is not full.
func (l *Leaving) canMark(t Target) bool {
	if started, listed := l.listed[t.ID]; listed && !SameIncarnation(started, t.Started) {
		return false
	}
	_, known := l.marks[t.ID]
	return known || len(l.marks) < maxTargets
}

// Has reports whether a target is leaving and thus gets no new work.
func (l *Leaving) Has(id string, now time.Duration) bool {
	m, known := l.marks[id]
	return known && (m.stated || now < m.until)
}

// Len returns the number of marks, including expired marks that were not yet removed.
func (l *Leaving) Len() int { return len(l.marks) }

// Expire removes the marks that have ended.
func (l *Leaving) Expire(now time.Duration) {
	for id, m := range l.marks {
		_, listed := l.listed[id]
		if now >= m.until && (!m.stated || !listed && m.until > 0) {
			delete(l.marks, id)
		}
	}
}

// Reports returns the leaving targets. statedRemaining is the remaining time to report for statements
// of the targets themselves, for peers that do not know the Stated field.
func (l *Leaving) Reports(now, statedRemaining time.Duration) []Report {
	reports := make([]Report, 0, len(l.marks))
	for id, m := range l.marks {
		r := Report{Target: Target{id, m.started}, Stated: m.stated, Remaining: statedRemaining}
		if !m.stated {
			r.Remaining = m.until - now
		}
		if r.Remaining > 0 {
			reports = append(reports, r)
		}
	}
	return reports
}

// Stated returns those of the given targets that themselves stated that they are leaving.
func (l *Leaving) Stated(ids []string) []Target {
	var stated []Target
	for _, id := range ids {
		if m := l.marks[id]; m.stated {
			stated = append(stated, Target{id, m.started})
		}
	}
	return stated
}

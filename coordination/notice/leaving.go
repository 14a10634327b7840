// Package notice remembers what targets say about new work: that they leave, or that
// they want none for a time. It answers planned stops under load, when the list of
// targets lags behind the targets' own word, and targets that ask for relief.
//
// The package is pure: it takes the time, on the monotonic clock of the process, as an
// argument, starts nothing and locks nothing.
package notice

import "time"

const (
	// forgetAfter is the time for which a target that said that it leaves is remembered
	// after it went from the list. It exceeds the time in which a list that lapsed comes
	// back.
	statedRetention = 10 * time.Minute
	// maxTargets bounds each set. A zone of the design size has 6,700 targets.
	maxTargets = 8192
)

// Target names one incarnation of a target.
type Target struct {
	ID string
	// Started is the Unix time of its start in milliseconds, zero when not known.
	Started int64
}

// same reports whether two starts may be those of one incarnation.
func sameIncarnation(a, b int64) bool { return a == b || a == 0 || b == 0 }

// Report is a leaving target, as entries tell each other.
type Report struct {
	Target
	// Stated is set when the target said so itself. It holds for good.
	Stated bool
	// Left is the time for which other evidence still holds.
	Remaining time.Duration
}

// Leaving holds the targets that get no new work because they leave. Create it with
// NewLeaving.
type Leaving struct {
	marks map[string]mark
	// listed holds the starts of the targets in the list in force.
	listed map[string]int64
}

type mark struct {
	started int64
	stated  bool
	// until is the end of evidence other than the target's word, and the time at which a
	// target that is not listed is forgotten.
	until time.Duration
}

// NewLeaving returns an empty set.
func NewLeaving() *Leaving { return &Leaving{marks: make(map[string]mark)} }

// SetListed tells which incarnations the list in force has. Marks of earlier ones end.
func (l *Leaving) SetListed(listed map[string]int64, now time.Duration) {
	for id, m := range l.marks {
		started, ok := listed[id]
		switch {
		case ok && !sameIncarnation(started, m.started):
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

// State records a target's own word that it leaves. It holds until another incarnation
// is listed. The result tells whether it was not known.
func (l *Leaving) MarkStated(t Target) bool {
	if t.Started == 0 {
		t.Started = l.listed[t.ID]
	}
	before, known := l.marks[t.ID]
	if known && before.stated && sameIncarnation(before.started, t.Started) || !l.canMark(t) {
		return false
	}
	l.marks[t.ID] = mark{started: t.Started, stated: true}
	return true
}

// Mark records other evidence, which holds until the given time. The result tells
// whether the target was not known to be leaving.
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

// room reports whether a mark may be kept: not for an incarnation that was replaced, and
// not beyond the bound.
func (l *Leaving) canMark(t Target) bool {
	if started, listed := l.listed[t.ID]; listed && !sameIncarnation(started, t.Started) {
		return false
	}
	_, known := l.marks[t.ID]
	return known || len(l.marks) < maxTargets
}

// Has reports whether a target gets no new work.
func (l *Leaving) Has(id string, now time.Duration) bool {
	m, known := l.marks[id]
	return known && (m.stated || now < m.until)
}

// Len returns the number of marks held, expired ones included.
func (l *Leaving) Len() int { return len(l.marks) }

// Expire forgets marks that have ended.
func (l *Leaving) Expire(now time.Duration) {
	for id, m := range l.marks {
		_, listed := l.listed[id]
		if now >= m.until && (!m.stated || !listed && m.until > 0) {
			delete(l.marks, id)
		}
	}
}

// Reports returns the leaving targets. left is the time that is told for the targets' own
// word, to peers that know no other.
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

// Stated returns those of the targets that said that they leave.
func (l *Leaving) Stated(ids []string) []Target {
	var stated []Target
	for _, id := range ids {
		if m := l.marks[id]; m.stated {
			stated = append(stated, Target{id, m.started})
		}
	}
	return stated
}

// Package ratelimit decides which requests a target gets that announced a rate limit: a number of
// requests per second that it takes from all entries together. It serves targets in need, while the
// other replicas of their shards can take the load or the whole shard is short of capacity.
//
// The package has no side effects: it takes the time, on the monotonic clock of the process, as an
// argument, and starts no goroutines. Its types are not safe for concurrent use.
package ratelimit

import (
	"cmp"
	"slices"
	"time"

	"github.com/balsamstall/balsamstall/coordination/notice"
)

const (
	// MaxTransit is the longest time that a report takes from one entry to another: the time limit of an
	// exchange between entries (configsync.DefaultCallTimeout).
	MaxTransit = time.Second
	// ambiguity is the difference of the times of two announcements below which either may be the newer
	// one, and the stricter one counts. It covers the transit of two messages: most announcements reach
	// an entry directly or through one other entry.
	ambiguity = 2 * MaxTransit
	// retainedAmbiguity is the difference from which an announcement is dropped. It exceeds ambiguity by
	// one transit, so that a later copy of a dropped announcement is not taken again.
	retainedAmbiguity = ambiguity + MaxTransit
	// EndConfirmation is the time after the end of a limit during which replies without a limit make
	// the announcement of the end younger, until it is newer than the limit beyond doubt also at
	// entries that learn of it through several others.
	EndConfirmation = 10 * time.Second
	// maxCandidates limits the announcements of one target that may be the newest.
	maxCandidates = 8
	// Retention is the time after its last announcement for which a target that is not listed, or
	// whose limit has ended, is remembered. It is longer than it takes to restore a list that
	// expired.
	Retention = 10 * time.Minute
	// endedReportAge is the age up to which peers are told that a limit ended. Those who missed it
	// learn it from a reply.
	endedReportAge = 30 * time.Second
	// maxTargets limits the number of announcements. A zone has up to 6,700 targets by design.
	maxTargets = 8192
	// maxPerSecond is the largest limit that is accepted from a peer.
	maxPerSecond = 1e6
	// changedFraction is the relative change of a limit from which it is news for peers.
	changedFraction = 0.1
)

// Announcement is what a target last stated about its limit.
type Announcement struct {
	notice.Target
	// Limited is set if the target stated a limit, PerSecond is that limit in requests per second.
	// Without it the target ended an earlier limit.
	Limited   bool
	PerSecond float64
	// Age is the time since the statement, at most: it contains MaxTransit for each entry that forwarded
	// the announcement.
	Age time.Duration
}

// Announcements holds, for each target, the announcements that may be the newest, from its own replies
// and from peers. The strictest of them counts. Create it with NewAnnouncements.
//
// Entries that forward their announcements to each other reach a fixed point. The time of an
// announcement at an entry is never later than the target's statement, and only a later copy raises it;
// the time of the newest announcement never falls; and one that is older by the ambiguity is dropped and
// not taken again.
type Announcements struct {
	known map[string]*record
	// listed maps the targets of the current list to their start times.
	listed map[string]int64
	// limited is the number of targets with a limit.
	limited int
}

// record holds what is known of a target.
type record struct {
	started int64
	// candidates holds the announcements that may be the newest, one for each limit, the strictest
	// first. It is never empty.
	candidates []statement
	// stated is set if the target stated its limit, or that it has none, to this entry, and statedAt is
	// the time of the last statement.
	stated   bool
	statedAt time.Duration
	// since is the time at which the announcement that counts last changed.
	since time.Duration
}

type statement struct {
	limited   bool
	perSecond float64
	// earliest is the earliest possible time of the statement.
	earliest time.Duration
	// learned is the time at which this entry learned of the statement, or the time, without the
	// transit, that a later report states: the latest possible time of the statement.
	learned time.Duration
}

// compareStrictness orders statements, the one that allows the fewest requests first.
func compareStrictness(x, y statement) int {
	if x.limited != y.limited {
		if x.limited {
			return -1
		}
		return 1
	}
	return cmp.Compare(x.perSecond, y.perSecond)
}

// newest returns the earliest possible time of the newest announcement.
func (r *record) newest() time.Duration {
	newest := r.candidates[0].earliest
	for i := range r.candidates {
		newest = max(newest, r.candidates[i].earliest)
	}
	return newest
}

// add adds a reported candidate or raises the times of the same one.
func (r *record) add(s statement) {
	i := slices.IndexFunc(r.candidates, func(c statement) bool { return compareStrictness(c, s) == 0 })
	switch {
	case i < 0:
		r.candidates = append(r.candidates, s)
		slices.SortFunc(r.candidates, compareStrictness)
	default:
		c := &r.candidates[i]
		c.earliest, c.learned = max(c.earliest, s.earliest), max(c.learned, s.earliest+MaxTransit)
	}
	oldest := r.newest() - retainedAmbiguity
	r.candidates = slices.DeleteFunc(r.candidates, func(c statement) bool { return c.earliest <= oldest })
	r.candidates = r.candidates[:min(len(r.candidates), maxCandidates)]
}

// NewAnnouncements returns an empty set.
func NewAnnouncements() *Announcements {
	return &Announcements{known: make(map[string]*record)}
}

// SetListed replaces the current list of incarnations and forgets what earlier incarnations
// announced.
func (a *Announcements) SetListed(listed map[string]int64) {
	a.listed = listed
	for id, r := range a.known {
		if started, ok := listed[id]; ok && !notice.SameIncarnation(started, r.started) {
			a.remove(id)
		}
	}
}

// RecordLimit records a reply that states a limit, in requests per second. It reports whether the
// announcement is news for peers: the target had no limit, or a considerably different one.
func (a *Announcements) RecordLimit(id string, now time.Duration, perSecond float64) (isNews bool) {
	return a.state(id, now, statement{limited: true, perSecond: perSecond, earliest: now, learned: now})
}

// RecordNoLimit records a reply that states no limit to a request sent at the given time. It reports
// whether it ends a limit. A request that was sent before this entry learned of the limit proves
// nothing: replies on different connections overtake each other.
func (a *Announcements) RecordNoLimit(id string, sent, now time.Duration) (ended bool) {
	r, known := a.known[id]
	if !known || slices.ContainsFunc(r.candidates, func(c statement) bool { return sent <= c.learned }) {
		return false
	}
	if !r.candidates[0].limited && now-r.since >= EndConfirmation {
		return false
	}
	return a.state(id, now, statement{earliest: now, learned: now})
}

// state records a statement of the target to this entry. It replaces all reports, because this entry
// learned of them earlier.
func (a *Announcements) state(id string, now time.Duration, s statement) (isNews bool) {
	started := a.listed[id]
	if r, known := a.known[id]; known {
		started = cmp.Or(started, r.started)
	}
	return a.update(id, now, func(r *record) {
		r.started, r.stated, r.statedAt = started, true, now
		r.candidates = append(r.candidates[:0], s)
	})
}

// Merge records a peer's report. It reports whether the report is news, as RecordLimit does.
//
// The age of a report lacks the time of its last transit, for which MaxTransit is added, so that an
// announcement never becomes younger by being forwarded.
func (a *Announcements) Merge(report Announcement, now time.Duration) (isNews bool) {
	r, known := a.known[report.ID]
	started, listed := a.listed[report.ID]
	if listed && !notice.SameIncarnation(started, report.Started) || !known && !report.Limited ||
		!(report.PerSecond >= 0) || report.PerSecond > maxPerSecond || report.Age < 0 || report.Age >= Retention {
		return false
	}
	s := statement{limited: report.Limited, earliest: now - report.Age - MaxTransit, learned: now}
	if s.limited {
		s.perSecond = report.PerSecond
	}
	later := false
	if known && !notice.SameIncarnation(r.started, report.Started) {
		if report.Started < r.started {
			return false
		}
		later = true
	}
	if known && !later {
		// The target may have stated something else to this entry since.
		same := slices.ContainsFunc(r.candidates, func(c statement) bool { return compareStrictness(c, s) == 0 })
		if !same && (r.stated && now-report.Age <= r.statedAt || s.earliest <= r.newest()-ambiguity) {
			return false
		}
	}
	return a.update(report.ID, now, func(r *record) {
		if later {
			*r = record{}
		}
		r.started = cmp.Or(report.Started, started, r.started)
		r.add(s)
	})
}

// update changes the record of a target. It reports whether the announcement that counts has changed
// considerably.
func (a *Announcements) update(id string, now time.Duration, change func(r *record)) (isNews bool) {
	r, known := a.known[id]
	if !known {
		if len(a.known) >= maxTargets {
			return false
		}
		r = &record{}
		a.known[id] = r
	}
	var before statement
	if known {
		before = r.candidates[0]
	}
	change(r)
	after := r.candidates[0]
	if before.limited {
		a.limited--
	}
	if after.limited {
		a.limited++
	}
	if !known || compareStrictness(before, after) != 0 {
		r.since = now
	}
	difference := max(after.perSecond, before.perSecond) - min(after.perSecond, before.perSecond)
	return after.limited != before.limited || difference > changedFraction*before.perSecond
}

func (a *Announcements) remove(id string) {
	if a.known[id].candidates[0].limited {
		a.limited--
	}
	delete(a.known, id)
}

// Limit returns the limit of a target in requests per second, and false if it has none.
func (a *Announcements) Limit(id string) (perSecond float64, limited bool) {
	r, known := a.known[id]
	if !known {
		return 0, false
	}
	return r.candidates[0].perSecond, r.candidates[0].limited
}

// Limited returns the number of targets that have a limit.
func (a *Announcements) Limited() int { return a.limited }

// LimitedTargets returns the targets that have a limit, in order of their ids.
func (a *Announcements) LimitedTargets() []string {
	ids := make([]string, 0, a.limited)
	for id, r := range a.known {
		if r.candidates[0].limited {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// Announcement returns the announcement of a target that counts, and false if nothing is known.
func (a *Announcements) Announcement(id string, now time.Duration) (Announcement, bool) {
	r, known := a.known[id]
	if !known {
		return Announcement{}, false
	}
	return r.announcement(id, r.candidates[0], now), true
}

func (r *record) announcement(id string, s statement, now time.Duration) Announcement {
	return Announcement{Target: notice.Target{ID: id, Started: r.started}, Limited: s.limited, PerSecond: s.perSecond, Age: max(now-s.earliest, 0)}
}

// Reports returns the announcements for peers, the newest first. It includes limits that ended
// recently, so that peers do not keep them.
func (a *Announcements) Reports(now time.Duration) []Announcement {
	reports := make([]Announcement, 0, len(a.known))
	for id, r := range a.known {
		for _, s := range r.candidates {
			if report := r.announcement(id, s, now); report.Limited || report.Age < endedReportAge {
				reports = append(reports, report)
			}
		}
	}
	slices.SortFunc(reports, func(x, y Announcement) int {
		return cmp.Or(cmp.Compare(x.Age, y.Age), cmp.Compare(x.ID, y.ID), cmp.Compare(x.PerSecond, y.PerSecond))
	})
	return reports
}

// AddAge ages all announcements by the time for which the clock of the process stood still, as it
// does while the host is suspended.
func (a *Announcements) AddAge(d time.Duration) {
	for _, r := range a.known {
		r.statedAt -= d
		r.since -= d
		for i := range r.candidates {
			r.candidates[i].earliest -= d
			r.candidates[i].learned -= d
		}
	}
}

// Expire removes old announcements of targets that are not listed or have no limit.
func (a *Announcements) Expire(now time.Duration) {
	for id, r := range a.known {
		if _, listed := a.listed[id]; now-r.newest() >= Retention && (!listed || !r.candidates[0].limited) {
			a.remove(id)
		}
	}
}

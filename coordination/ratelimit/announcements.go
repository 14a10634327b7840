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
	// retention is the time after its last announcement for which a target that is not listed, or
	// whose limit has ended, is remembered. It is longer than it takes to restore a list that
	// expired.
	retention = 10 * time.Minute
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
	// Age is the time since the statement.
	Age time.Duration
}

// Announcements holds the newest announcement of each target, from its own replies and from peers.
// Create it with NewAnnouncements.
type Announcements struct {
	known map[string]statement
	// listed maps the targets of the current list to their start times.
	listed map[string]int64
	// limited is the number of targets with a limit.
	limited int
}

type statement struct {
	started   int64
	limited   bool
	perSecond float64
	at        time.Duration
}

// NewAnnouncements returns an empty set.
func NewAnnouncements() *Announcements {
	return &Announcements{known: make(map[string]statement)}
}

// SetListed replaces the current list of incarnations and forgets what earlier incarnations
// announced.
func (a *Announcements) SetListed(listed map[string]int64) {
	a.listed = listed
	for id, s := range a.known {
		if started, ok := listed[id]; ok && !notice.SameIncarnation(started, s.started) {
			a.remove(id)
		}
	}
}

// RecordLimit records a reply that states a limit, in requests per second. It reports whether the
// announcement is news for peers: the target had no limit, or a considerably different one.
func (a *Announcements) RecordLimit(id string, now time.Duration, perSecond float64) (isNews bool) {
	return a.set(id, statement{started: a.listed[id], limited: true, perSecond: perSecond, at: now})
}

// RecordNoLimit records a reply that states no limit to a request sent at the given time. It reports
// whether it ends a limit. A request that was sent before the limit was last announced proves
// nothing: replies on different connections overtake each other.
func (a *Announcements) RecordNoLimit(id string, sent, now time.Duration) (ended bool) {
	before := a.known[id]
	if !before.limited || sent <= before.at {
		return false
	}
	return a.set(id, statement{started: before.started, at: now})
}

// Merge records a peer's report. It reports whether the report is news, as RecordLimit does.
func (a *Announcements) Merge(r Announcement, now time.Duration) (isNews bool) {
	before, known := a.known[r.ID]
	started, listed := a.listed[r.ID]
	at := now - r.Age
	if listed && !notice.SameIncarnation(started, r.Started) || known && at <= before.at || !known && !r.Limited || !(r.PerSecond >= 0) || r.PerSecond > maxPerSecond || r.Age < 0 || r.Age >= retention {
		return false
	}
	return a.set(r.ID, statement{started: cmp.Or(r.Started, started), limited: r.Limited, perSecond: r.PerSecond, at: at})
}

func (a *Announcements) set(id string, s statement) (isNews bool) {
	before, known := a.known[id]
	if !known && len(a.known) >= maxTargets {
		return false
	}
	if before.limited {
		a.limited--
	}
	if s.limited {
		a.limited++
	}
	a.known[id] = s
	difference := max(s.perSecond, before.perSecond) - min(s.perSecond, before.perSecond)
	return s.limited != before.limited || difference > changedFraction*before.perSecond
}

func (a *Announcements) remove(id string) {
	if a.known[id].limited {
		a.limited--
	}
	delete(a.known, id)
}

// Limit returns the limit of a target in requests per second, and false if it has none.
func (a *Announcements) Limit(id string) (perSecond float64, limited bool) {
	s := a.known[id]
	return s.perSecond, s.limited
}

// Limited returns the number of targets that have a limit.
func (a *Announcements) Limited() int { return a.limited }

// LimitedTargets returns the targets that have a limit, in order of their ids.
func (a *Announcements) LimitedTargets() []string {
	ids := make([]string, 0, a.limited)
	for id, s := range a.known {
		if s.limited {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// Announcement returns what is known about a target, and false if nothing is.
func (a *Announcements) Announcement(id string, now time.Duration) (Announcement, bool) {
	s, known := a.known[id]
	return Announcement{Target: notice.Target{ID: id, Started: s.started}, Limited: s.limited, PerSecond: s.perSecond, Age: max(now-s.at, 0)}, known
}

// Reports returns the announcements for peers, the newest first. It includes limits that ended
// recently, so that peers do not keep them.
func (a *Announcements) Reports(now time.Duration) []Announcement {
	reports := make([]Announcement, 0, len(a.known))
	for id := range a.known {
		if r, _ := a.Announcement(id, now); r.Limited || r.Age < endedReportAge {
			reports = append(reports, r)
		}
	}
	slices.SortFunc(reports, func(x, y Announcement) int {
		return cmp.Or(cmp.Compare(x.Age, y.Age), cmp.Compare(x.ID, y.ID))
	})
	return reports
}

// AddAge ages all announcements by the time for which the clock of the process stood still, as it
// does while the host is suspended.
func (a *Announcements) AddAge(d time.Duration) {
	for id, s := range a.known {
		s.at -= d
		a.known[id] = s
	}
}

// Expire removes old announcements of targets that are not listed or have no limit.
func (a *Announcements) Expire(now time.Duration) {
	for id, s := range a.known {
		if _, listed := a.listed[id]; now-s.at >= retention && (!listed || !s.limited) {
			a.remove(id)
		}
	}
}

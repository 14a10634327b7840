// Package membership maintains an entry's view of the other entries and makes the decisions that
// depend on it: which entries watch the platform, which peer to exchange state with, and which
// entries to notify of a new document.
//
// The view is local and involves no consensus. An entry counts as alive if news of it, received
// directly or through another entry, is no older than the expiry. The views of different entries
// may differ at any time; a wrong view costs extra calls to the platform or to peers but does not
// affect correctness.
//
// The package has no side effects: it takes the time and the random source as arguments, and starts
// no goroutines. A Table is not safe for concurrent use.
package membership

import (
	"math/bits"
	"time"

	"github.com/balsamstall/balsamstall/protocol/ids"
	"github.com/cespare/xxhash/v2"
)

// Defaults of Settings.
const (
	// DefaultExpiry is the age at which an entry stops counting as alive.
	DefaultExpiry = 3 * time.Second
	// DefaultRetention is the age at which an entry that no source lists is removed.
	DefaultRetention = 10 * time.Minute
	// DefaultWatchersPerZone tolerates the undetected failure of one watcher.
	DefaultWatchersPerZone = 2
	// DefaultMaxMembers has room for the 5,300 entries that the system is designed for.
	DefaultMaxMembers = 8192
	// DefaultInterval is the interval at which an entry starts exchanges.
	DefaultInterval = 500 * time.Millisecond
)

// Settings configures a Table. Zero values select the defaults.
type Settings struct {
	// WatchersPerZone is the number of entries per zone that watch the platform.
	WatchersPerZone int
	// Interval is the interval at which an entry starts exchanges.
	Interval time.Duration
	// Expiry is the age at which an entry stops counting as alive. The Table raises it for large
	// fleets, in which news takes longer to spread; see ExpiryFor.
	Expiry time.Duration
	// Retention is the age at which an entry that no source lists is removed.
	Retention time.Duration
	// MaxMembers bounds the number of entries in the table.
	MaxMembers int
}

// WithDefaults returns the settings with zero values replaced by the defaults.
func (s Settings) WithDefaults() Settings {
	if s.WatchersPerZone <= 0 {
		s.WatchersPerZone = DefaultWatchersPerZone
	}
	if s.Interval <= 0 {
		s.Interval = DefaultInterval
	}
	if s.Expiry <= 0 {
		s.Expiry = DefaultExpiry
	}
	if s.Retention <= 0 {
		s.Retention = DefaultRetention
	}
	if s.MaxMembers <= 0 {
		s.MaxMembers = DefaultMaxMembers
	}
	return s
}

// Entry describes one entry.
type Entry struct {
	ID   string
	Zone string
	// Address is the IP:port on which the entry serves its peers.
	Address string
	// Incarnation is zero until the first news of the entry.
	Incarnation ids.Incarnation
	// Draining is set during a graceful shutdown of the entry.
	Draining bool
	// Detached is set while the entry reaches no target.
	Detached bool
	// Capacity is the CPU capacity of the entry's host in thousandths of a core, or zero if it is
	// not known.
	Capacity uint32
}

// Member is an entry and what is known about its liveness.
type Member struct {
	Entry
	// Alive reports whether the latest news of the entry is no older than the expiry.
	Alive bool
	// Listed reports whether the settings or the host list name the entry.
	Listed bool
	// LastSeen is the latest time at which the entry is known to have been alive, or zero if none.
	LastSeen time.Time
}

// Source identifies a list of entries that may or may not be alive.
type Source uint8

// The sources are bits, so that one entry can come from several of them.
const (
	// FromSettings is the list of peers in the settings.
	FromSettings Source = 1 << iota
	// FromHostList is the platform's host list, which may be out of date.
	FromHostList
)

type member struct {
	Entry
	score       uint64
	sources     Source
	lastSeen    time.Time
	lastContact time.Time // When a message from the entry itself last arrived.
	lastFailure time.Time
	failures    int
}

// Table holds an entry's view of the others.
type Table struct {
	self     Entry
	score    uint64
	settings Settings
	members  map[string]*member
	// insertionOrder makes choices reproducible for a given random source, which iteration over
	// the map would not.
	insertionOrder []*member
	// pinned holds the ids of the members whose records every sample carries.
	pinned map[string]bool
}

// New returns the table of an entry that knows no others yet.
func New(self Entry, settings Settings) *Table {
	return &Table{self: self, score: Score(self.Zone, self.ID), settings: settings.WithDefaults(), members: make(map[string]*member)}
}

// Score returns the rendezvous-hash score of an entry within its zone. The entries with the highest
// scores are the watchers, so that an entry that joins or leaves changes the role of at most one
// other.
func Score(zone, id string) uint64 { return xxhash.Sum64String(zone + "\x00" + id) }

// ExpiryFor returns the age at which a member stops counting as alive when n entries are known.
// Each round of exchanges doubles the number of entries that have a piece of news, which is up to
// 2 log2(n) intervals old when it reaches the last entry of a large fleet.
func (s Settings) ExpiryFor(n int) time.Duration {
	return max(s.Expiry, time.Duration(2*bits.Len(uint(n)))*s.Interval)
}

func (t *Table) expiry() time.Duration {
	if len(t.members) <= maxFullSample {
		return t.settings.Expiry
	}
	return t.settings.ExpiryFor(len(t.members) + 1)
}

// SetDraining marks this entry as draining. A draining entry is not a watcher.
func (t *Table) SetDraining() { t.self.Draining = true }

// SetDetached sets whether this entry reaches no target.
func (t *Table) SetDetached(detached bool) { t.self.Detached = detached }

// Self returns the entry that owns the table.
func (t *Table) Self() Entry { return t.self }

// SetListed replaces the entries that a source lists. The listed details apply until the first news
// of the entry; those from the settings take precedence over the host list, which may be out
// of date.
func (t *Table) SetListed(source Source, entries []Entry) {
	for _, m := range t.insertionOrder {
		m.sources &^= source
	}
	for _, e := range entries {
		m := t.getOrAdd(e)
		if m == nil {
			continue
		}
		m.sources |= source
		if m.lastSeen.IsZero() && (source == FromSettings || m.sources&FromSettings == 0) {
			m.Zone, m.Address, m.Draining, m.score = e.Zone, e.Address, e.Draining, Score(e.Zone, e.ID)
		}
	}
}

// RecordAlive records that e was alive at the time at, which is now if e itself sent the message and
// earlier if another entry reported it. News that is older than the table's is ignored. So is a
// report of an incarnation that differs from the one that the entry itself gave within the expiry:
// the time of a report does not include its transit, so that a report of an incarnation that has
// just ended could appear newer than news of its successor.
func (t *Table) RecordAlive(now, at time.Time, e Entry) {
	if at.After(now) {
		at = now
	}
	m := t.getOrAdd(e)
	if m == nil || !at.After(m.lastSeen) {
		return
	}
	direct := at.Equal(now)
	if !direct && e.Incarnation != m.Incarnation && !m.lastContact.IsZero() && now.Sub(m.lastContact) <= t.expiry() {
		return
	}
	if direct {
		m.lastContact = now
	}
	if e.Address == "" { // From a peer whose version lacks the address field.
		e.Address = m.Address
	}
	if e.Capacity == 0 { // From a peer whose version lacks the capacity field.
		e.Capacity = m.Capacity
	}
	if e.Zone != m.Zone {
		m.score = Score(e.Zone, e.ID)
	}
	m.Entry, m.lastSeen = e, at
}

// RecordSuccess records that the entry with the given id answered a call.
func (t *Table) RecordSuccess(id string) {
	if m := t.members[id]; m != nil {
		m.failures, m.lastFailure = 0, time.Time{}
	}
}

// RecordFailure records that the entry with the given id did not answer a call.
func (t *Table) RecordFailure(now time.Time, id string) {
	if m := t.members[id]; m != nil {
		m.failures++
		m.lastFailure = now
	}
}

// getOrAdd returns the member for e and adds it if necessary. It returns nil for this entry, for an
// entry without an id, and for a new entry when the table is full.
func (t *Table) getOrAdd(e Entry) *member {
	if e.ID == "" || e.ID == t.self.ID {
		return nil
	}
	m := t.members[e.ID]
	if m == nil {
		if len(t.members) >= t.settings.MaxMembers {
			return nil
		}
		m = &member{Entry: e, score: Score(e.Zone, e.ID)}
		t.members[e.ID] = m
		t.insertionOrder = append(t.insertionOrder, m)
	}
	return m
}

// Size returns the number of known entries, this one included.
func (t *Table) Size() int { return len(t.members) + 1 }

// Expire removes the entries that no source lists and whose latest news is older than the retention.
func (t *Table) Expire(now time.Time) {
	kept := t.insertionOrder[:0]
	for _, m := range t.insertionOrder {
		if m.sources == 0 && now.Sub(m.lastSeen) > t.settings.Retention {
			delete(t.members, m.ID)
			continue
		}
		kept = append(kept, m)
	}
	clear(t.insertionOrder[len(kept):])
	t.insertionOrder = kept
}

// aliveCutoff returns the earliest LastSeen of a member that counts as alive.
func (t *Table) aliveCutoff(now time.Time) time.Time { return now.Add(-t.expiry()) }

func (m *member) aliveSince(since time.Time) bool {
	return !m.lastSeen.IsZero() && !m.lastSeen.Before(since)
}

// Entry returns the entry with the given id, and false if the table does not have it.
func (t *Table) Entry(id string) (Entry, bool) {
	if m := t.members[id]; m != nil {
		return m.Entry, true
	}
	return Entry{}, false
}

// Members returns all known entries except this one, in the order in which they were added.
func (t *Table) Members(now time.Time) []Member {
	since := t.aliveCutoff(now)
	members := make([]Member, len(t.insertionOrder))
	for i, m := range t.insertionOrder {
		members[i] = Member{Entry: m.Entry, Alive: m.aliveSince(since), Listed: m.sources != 0, LastSeen: m.lastSeen}
	}
	return members
}

// IsWatcher reports whether this entry watches the platform: it is not draining, and fewer than
// WatchersPerZone live entries of its zone that are not draining rank above it.
func (t *Table) IsWatcher(now time.Time) bool {
	if t.self.Draining {
		return false
	}
	since := t.aliveCutoff(now)
	above := 0
	for _, m := range t.insertionOrder {
		if m.Zone == t.self.Zone && !m.Draining && m.aliveSince(since) && outranks(m.score, m.ID, t.score, t.self.ID) {
			above++
		}
	}
	return above < t.settings.WatchersPerZone
}

// outranks compares by score, then by id.
func outranks(score uint64, id string, otherScore uint64, otherID string) bool {
	return score > otherScore || score == otherScore && id > otherID
}

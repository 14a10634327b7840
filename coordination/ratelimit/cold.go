package ratelimit

import (
	"maps"
	"time"
)

const (
	// ColdPart is the part of a cold target's limit that each allocator grants. A token may be sent up
	// to ColdTokenLifetime after it became valid, so that a second may get the tokens of 1.25 s. With
	// two fifths each, three allocators, of which one grants because its view is wrong, stay within
	// one and a half times the limit: 3 x 0.4 x 1.25 = 1.5.
	ColdPart = 0.4
	// ColdTokenLifetime is the time after which a token of a cold target is void. It exceeds the
	// longest wait of a request for a token (150 ms).
	ColdTokenLifetime = 250 * time.Millisecond
	// viewSettle is the time in which all entries that are in contact learn of a new entry.
	viewSettle = 3 * time.Second
	// viewMemory is the time for which an entry that is no longer heard of still counts. Partitions
	// up to this time create no other allocators; if both allocators of a target end, it gets nothing
	// for as long.
	viewMemory = 2 * time.Minute
)

// ColdView chooses the allocators of cold targets. They must not get more than their limit for a second,
// so that in doubt they get less: only entries in the target's zone allocate, an entry that is no longer
// heard of counts for a while, and an entry that is new, or sees new entries, allocates only what it
// allocates with and without them. Create it with NewColdView.
type ColdView struct {
	seen map[string]sighting
	// alone is set while this entry knows no other but must assume that there are others.
	alone bool
}

type sighting struct {
	entry       Entry
	first, last time.Duration
}

// NewColdView returns a view without entries.
func NewColdView() *ColdView { return &ColdView{seen: make(map[string]sighting)} }

// Update records the live entries, this one included. alone is set if this entry knows no other but must
// assume that there are others.
func (v *ColdView) Update(now time.Duration, entries []Entry, alone bool) {
	v.alone = alone
	for _, e := range entries {
		s, known := v.seen[e.ID]
		if !known || s.entry.Zone != e.Zone {
			s.first = now
		}
		s.entry, s.last = e, now
		v.seen[e.ID] = s
	}
	maps.DeleteFunc(v.seen, func(_ string, s sighting) bool { return now-s.last >= viewMemory })
}

// Allocators returns the allocators of a cold target in the given zone.
func (v *ColdView) Allocators(target, zone string) []Entry {
	return v.choose(target, zone, func(sighting) bool { return true })
}

// Allocates reports whether the entry self allocates the limit of a cold target in the given zone now.
func (v *ColdView) Allocates(self, target, zone string, now time.Duration) bool {
	return !v.alone && contains(v.Allocators(target, zone), self) &&
		contains(v.choose(target, zone, func(s sighting) bool { return now-s.first >= viewSettle }), self)
}

func (v *ColdView) choose(target, zone string, counts func(sighting) bool) []Entry {
	var entries []Entry
	for _, s := range v.seen {
		if s.entry.Zone == zone && counts(s) {
			entries = append(entries, s.entry)
		}
	}
	return Allocators(target, zone, entries)
}

func contains(entries []Entry, id string) bool {
	for i := range entries {
		if entries[i].ID == id {
			return true
		}
	}
	return false
}

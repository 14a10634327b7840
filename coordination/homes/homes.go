// Package homes chooses the few entries of each availability zone that run gathered
// requests for all entries of the zone. It answers the load of a large fleet in which
// each entry sees little: a target hears from one of 200 entries once in seconds, so
// that each finds slow and failing targets by the requests of its own callers, and half
// of the attempts open a connection first. A home sees dense traffic, keeps its
// connections warm and spends the greater part of the fleet's repeats.
//
// The choice is by capacity, then by rendezvous hash (D. Thaler and C. Ravishankar,
// "Using Name-Based Mappings to Increase Hit Rates", 1998). It needs no agreement:
// entries that differ on the homes cost some connections, because every entry can run
// a request and bounds what it spends by its own view.
//
// The package is pure: it takes ages instead of times and the random source as an
// argument, starts nothing and locks nothing.
package homes

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Defaults of Settings.
const (
	// DefaultPerZone lets one home of a zone be lost while another has warm connections.
	DefaultPerZone = 2
	// DefaultEntriesPerHome bounds the entries that send their requests to one home.
	DefaultEntriesPerHome = 16
	// DefaultMinEntries is the size of a fleet below which every entry is its own home.
	DefaultMinEntries = 24
	// DefaultReplaceAfter is the silence after which another entry takes the place of a
	// home. It covers a window of the fleet's bound on repeats, so that what the silent
	// home spent before is no longer counted.
	DefaultReplaceAfter = 10 * time.Second
	// DefaultResignAfter is the time without news of any entry of the own zone after
	// which an entry stops counting itself as a home. It is shorter than ReplaceAfter, so
	// that a home which is cut off resigns before the others replace it.
	DefaultResignAfter = 5 * time.Second
)

// Settings of the choice. NewSettings returns the defaults.
type Settings struct {
	// PerZone is the least number of homes of a zone. Zero turns homes off: every entry
	// runs its own requests.
	PerZone int
	// EntriesPerHome adds homes to large zones.
	EntriesPerHome int
	// MinEntries is the size of a fleet below which every entry is its own home.
	MinEntries int
	// ReplaceAfter and ResignAfter are times of silence.
	ReplaceAfter, ResignAfter time.Duration
}

// NewSettings returns the defaults.
func NewSettings() Settings {
	return Settings{
		PerZone:        DefaultPerZone,
		EntriesPerHome: DefaultEntriesPerHome,
		MinEntries:     DefaultMinEntries,
		ReplaceAfter:   DefaultReplaceAfter,
		ResignAfter:    DefaultResignAfter,
	}
}

// Entry is an entry of the fleet that was heard at least once.
type Entry struct {
	ID, Zone string
	// Address is where the entry serves peers, as IP:port.
	Address string
	// Capacity is the processor of the entry's host in thousandths of a core, zero when
	// it is not known.
	Capacity uint32
	// Silent is the time since the entry was last known to live.
	SilentFor time.Duration
	// Draining is set when the entry is in a planned stop.
	Draining bool
}

// Assignment tells who runs gathered requests, in the view of one entry.
type Assignment struct {
	// Entries and Zones count the fleet, Homes the homes of all its zones. They count
	// silent entries too: an entry that is cut off still uses its share.
	Entries, Zones, Homes int
	// Home reports whether the own entry is a home.
	IsHome bool
	// Own lists the homes of the own zone but the own entry, and Others those of the
	// other zones, without entries that are in a planned stop.
	SameZone, OtherZones []Entry
}

// Active reports whether some entries are homes and others are not.
func (a *Assignment) Active() bool { return a.Homes > 0 && a.Homes < a.Entries }

// Assign chooses the homes of every zone. others are all entries that were ever heard
// but the own.
func Assign(s Settings, self Entry, others []Entry) Assignment {
	zones := map[string][]Entry{self.Zone: {self}}
	zoneSilence := s.ReplaceAfter // Since the last news of the own zone.
	for _, e := range others {
		zones[e.Zone] = append(zones[e.Zone], e)
		if e.Zone == self.Zone {
			zoneSilence = min(zoneSilence, e.SilentFor)
		}
	}
	a := Assignment{Entries: len(others) + 1, Zones: len(zones)}
	if s.PerZone <= 0 || a.Entries < s.MinEntries {
		a.Homes, a.IsHome = a.Entries, true
		return a
	}
	for zone, members := range zones {
		n := s.homeCount(len(members))
		a.Homes += n
		for _, e := range s.chooseHomes(members, n) {
			switch {
			case e.ID == self.ID:
				a.IsHome = zoneSilence < s.ResignAfter
			case e.Draining:
			case zone == self.Zone:
				a.SameZone = append(a.SameZone, e)
			default:
				a.OtherZones = append(a.OtherZones, e)
			}
		}
	}
	return a
}

// count returns the number of homes of a zone with n entries.
func (s Settings) homeCount(n int) int {
	return min(max(s.PerZone, (n+s.EntriesPerHome-1)/max(s.EntriesPerHome, 1)), n)
}

// best returns the n entries of a zone that are its homes.
func (s Settings) chooseHomes(members []Entry, n int) []Entry {
	type ranked struct {
		member int
		score  uint64
	}
	order := make([]ranked, 0, len(members))
	for i := range members {
		if members[i].SilentFor < s.ReplaceAfter {
			order = append(order, ranked{i, rendezvousScore(&members[i])})
		}
	}
	slices.SortFunc(order, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(members[b.member].Capacity, members[a.member].Capacity), cmp.Compare(b.score, a.score))
	})
	homes := make([]Entry, min(n, len(order)))
	for i := range homes {
		homes[i] = members[order[i].member]
	}
	return homes
}

func rendezvousScore(e *Entry) uint64 { return xxhash.Sum64String("home\x00" + e.Zone + "\x00" + e.ID) }

// Rand is a source of random numbers. Those of math/rand/v2 implement it.
type Rand interface {
	// IntN returns a number from 0 to n-1.
	IntN(n int) int
}

// Order returns up to most homes to which a request is offered one after the other:
// those of the own zone in random order, then those of other zones. avoid tells which
// homes are left out.
func (a *Assignment) OfferOrder(rng Rand, limit int, avoid func(id string) bool) []Entry {
	order := sample(rng, a.SameZone, limit, avoid)
	return append(order, sample(rng, a.OtherZones, limit-len(order), avoid)...)
}

func sample(rng Rand, candidates []Entry, n int, avoid func(id string) bool) []Entry {
	eligible := slices.DeleteFunc(slices.Clone(candidates), func(e Entry) bool { return avoid(e.ID) })
	n = min(n, len(eligible))
	for i := range n {
		j := i + rng.IntN(len(eligible)-i)
		eligible[i], eligible[j] = eligible[j], eligible[i]
	}
	return eligible[:n]
}

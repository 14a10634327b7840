// Package homes chooses the homes of each availability zone: the few entries that run gathered
// requests (those to every shard of a service, with merged records) for all entries of the zone. In a
// large fleet each entry has little traffic of its own. With 200 entries, each sends a request to a
// given target only once every few seconds, so that it detects slow and failing targets at the
// expense of its own callers, and half of the attempts have to open a connection first. A home has
// dense traffic, keeps its connections warm and makes most of the fleet's repeats (retries and
// hedges).
//
// Entries are ranked by capacity, then by rendezvous hash (D. Thaler and C. Ravishankar, "Using
// Name-Based Mappings to Increase Hit Rates", 1998). No consensus is needed: if entries disagree on
// the homes, this costs some connections, because every entry can run a request and limits its
// connections and repeats by its own view.
//
// The package has no side effects: it takes ages instead of times and the random source as
// arguments, and starts no goroutines.
package homes

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Defaults of Settings.
const (
	// DefaultPerZone leaves one home with warm connections when the other fails.
	DefaultPerZone = 2
	// DefaultEntriesPerHome limits the number of entries that send their requests to one home.
	DefaultEntriesPerHome = 16
	// DefaultMinEntries is the fleet size below which every entry is its own home.
	DefaultMinEntries = 24
	// DefaultReplaceAfter is the time without news of a home after which another entry replaces
	// it. It covers a window of the fleet's bound on repeats, so that the repeats of the replaced
	// home no longer count.
	DefaultReplaceAfter = 10 * time.Second
	// DefaultResignAfter is the time without news of any other entry of its zone after which an
	// entry no longer considers itself a home. It is shorter than DefaultReplaceAfter, so that
	// a partitioned home resigns before the others replace it.
	DefaultResignAfter = 5 * time.Second
)

// Settings configures the choice of homes. DefaultSettings returns the defaults.
type Settings struct {
	// PerZone is the minimum number of homes in a zone. Zero disables homes: every entry runs its
	// own requests.
	PerZone int
	// EntriesPerHome is the number of entries for each home of a large zone.
	EntriesPerHome int
	// MinEntries is the fleet size below which every entry is its own home.
	MinEntries int
	// ReplaceAfter is the time without news of a home after which it is replaced, and ResignAfter
	// the time without news of its zone after which a home resigns.
	ReplaceAfter, ResignAfter time.Duration
}

// DefaultSettings returns the default settings.
func DefaultSettings() Settings {
	return Settings{
		PerZone:        DefaultPerZone,
		EntriesPerHome: DefaultEntriesPerHome,
		MinEntries:     DefaultMinEntries,
		ReplaceAfter:   DefaultReplaceAfter,
		ResignAfter:    DefaultResignAfter,
	}
}

// Entry describes an entry of the fleet of which there has been news at least once.
type Entry struct {
	ID, Zone string
	// Address is the IP:port on which the entry serves its peers.
	Address string
	// Capacity is the CPU capacity of the entry's host in thousandths of a core, or zero if it is
	// not known.
	Capacity uint32
	// SinceLastSeen is the time since the entry was last known to be alive.
	SinceLastSeen time.Duration
	// Draining is set during a graceful shutdown of the entry.
	Draining bool
	// Detached is set while the entry reaches no target.
	Detached bool
}

// Assignment holds one entry's view of which entries run gathered requests.
type Assignment struct {
	// Entries, Zones and Homes are the numbers of entries, zones and homes in the fleet. They
	// include entries without recent news, because a partitioned entry still uses its share.
	Entries, Zones, Homes int
	// IsHome reports whether this entry is a home.
	IsHome bool
	// SameZone lists the other homes of this entry's zone, and OtherZones those of the other zones.
	// Both leave out draining entries and those that reach no target.
	SameZone, OtherZones []Entry
}

// Active reports whether some entries are homes and some are not.
func (a *Assignment) Active() bool { return a.Homes > 0 && a.Homes < a.Entries }

// Assign chooses the homes of every zone. others holds all known entries except self, including
// those without recent news.
func Assign(s Settings, self Entry, others []Entry) Assignment {
	zones := map[string][]Entry{self.Zone: {self}}
	sinceZoneNews := s.ReplaceAfter // Time since the last news of self's zone, at most ReplaceAfter.
	for _, e := range others {
		zones[e.Zone] = append(zones[e.Zone], e)
		if e.Zone == self.Zone {
			sinceZoneNews = min(sinceZoneNews, e.SinceLastSeen)
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
				a.IsHome = sinceZoneNews < s.ResignAfter
			case e.Draining || e.Detached:
			case zone == self.Zone:
				a.SameZone = append(a.SameZone, e)
			default:
				a.OtherZones = append(a.OtherZones, e)
			}
		}
	}
	return a
}

// homeCount returns the number of homes of a zone with n entries.
func (s Settings) homeCount(n int) int {
	return min(max(s.PerZone, (n+s.EntriesPerHome-1)/max(s.EntriesPerHome, 1)), n)
}

// chooseHomes returns the n highest-ranked entries of a zone that were seen within ReplaceAfter, or
// all of them if there are fewer.
func (s Settings) chooseHomes(members []Entry, n int) []Entry {
	type ranked struct {
		member int
		score  uint64
	}
	order := make([]ranked, 0, len(members))
	for i := range members {
		if members[i].SinceLastSeen < s.ReplaceAfter {
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

// Rand is a source of random numbers. The generators of math/rand/v2 implement it.
type Rand interface {
	// IntN returns a random number from 0 to n-1.
	IntN(n int) int
}

// OfferOrder returns up to limit homes in the order in which a request is offered to them: those of
// this entry's zone in random order, then those of other zones in random order. Homes for which
// avoid returns true are left out.
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

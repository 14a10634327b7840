package ratelimit

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// AllocatorsPerTarget is the number of entries that allocate the limit of a target, each an equal
// part of it. The second keeps the target in use while the first has failed unnoticed, and if two
// entries disagree on one allocator, all entries together still stay within one and a half times the
// limit.
const AllocatorsPerTarget = 2

// Entry is a live entry of the fleet.
type Entry struct {
	ID, Zone string
	// Address is the IP:port on which the entry serves its peers.
	Address string
}

// Allocators returns the entries that allocate the limit of a target, at most AllocatorsPerTarget.
// They are chosen among the entries of the target's zone, from where they reach the target as long as
// any entry does, or among all entries if the zone has too few. Entries are ranked by rendezvous hash
// (D. Thaler and C. Ravishankar, 1998), so that no consensus is needed.
func Allocators(target, zone string, entries []Entry) []Entry {
	candidates := make([]Entry, 0, len(entries))
	for _, e := range entries {
		if e.Zone == zone {
			candidates = append(candidates, e)
		}
	}
	if len(candidates) < AllocatorsPerTarget {
		candidates = append(candidates[:0], entries...)
	}
	slices.SortFunc(candidates, func(a, b Entry) int {
		return cmp.Or(cmp.Compare(rendezvousScore(target, b.ID), rendezvousScore(target, a.ID)), cmp.Compare(a.ID, b.ID))
	})
	return candidates[:min(AllocatorsPerTarget, len(candidates))]
}

func rendezvousScore(target, entry string) uint64 {
	return xxhash.Sum64String("limit\x00" + target + "\x00" + entry)
}

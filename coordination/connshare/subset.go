package connshare

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// fill is the part of a target's connection cap that the entries plan to use. The
// rest is for uneven subsets, probes, and targets that lower their cap under load.
const fill = 0.8

// SubsetSize returns the number of the targets of a group, of the given size, to
// which each of the entries connects, so that one connection from each entry of
// its subset stays within the cap of each target. It is at least 1.
func SubsetSize(limit, targets, entries int) int {
	if entries <= 0 {
		return targets
	}
	return min(max(int(fill*float64(limit)*float64(targets)/float64(entries)), 1), targets)
}

const (
	// startEntries is the least number of entries that share connections in the first
	// startPeriod of a process. News of other entries take that long to arrive, and an
	// entry that takes the fleet for small connects to more targets, with more
	// connections, than there are places.
	startEntries = 30
	startPeriod  = time.Second
	// predecessorPeriod is the age of a fleet up to which targets may still hold the
	// connections of the processes before it. After a loss of power nothing closes them;
	// on the users' days resets over the cap went on for 6 s.
	predecessorPeriod = 6 * time.Second
)

// Sharers returns the number of entries that share the places of the targets, for an
// entry that knows of the given number. age is that of its own process, and fleetAge
// the highest of the processes that it heard of, its own included. Each entry counts
// twice while the whole fleet is young, because then targets may hold the connections
// of all processes before. A single entry shares with nobody.
func Sharers(entries int, age, fleetAge time.Duration) int {
	if entries <= 1 {
		return entries
	}
	if fleetAge < predecessorPeriod {
		entries *= 2
	}
	if age < startPeriod {
		return max(entries, startEntries)
	}
	return entries
}

// Member is a target of a group.
type Member struct {
	ID string
	// Local is set for a target in the entry's own availability zone.
	Local bool
}

// Subset returns the ids of n targets for an entry: local ones first, then by
// rendezvous hash of the entry and the target (D. Thaler and C. Ravishankar, "Using
// Name-Based Mappings to Increase Hit Rates", 1998). Entries differ, so the load
// stays even, and a target that comes or goes changes few subsets.
func Subset(entry string, group []Member, n int) []string {
	type ranked struct {
		Member
		score uint64
	}
	order := make([]ranked, len(group))
	for i, m := range group {
		order[i] = ranked{m, xxhash.Sum64String(entry + "\x00" + m.ID)}
	}
	slices.SortFunc(order, func(a, b ranked) int {
		switch {
		case a.Local != b.Local && a.Local:
			return -1
		case a.Local != b.Local:
			return 1
		case a.score > b.score:
			return -1
		case a.score < b.score:
			return 1
		}
		return 0
	})
	ids := make([]string, min(n, len(order)))
	for i := range ids {
		ids[i] = order[i].ID
	}
	return ids
}

// SubsetShare returns the number of connections to one target that an entry may
// hold when each of the entries connects to a subset of the given size of a group.
func SubsetShare(limit, targets, subset, entries int) int {
	if entries <= 0 || subset <= 0 {
		return max(limit, 1)
	}
	users := float64(entries) * float64(subset) / float64(max(targets, 1))
	return max(int(float64(limit)*fill/users), 1)
}

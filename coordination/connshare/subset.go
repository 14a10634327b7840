package connshare

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// plannedUtilization is the ratio of a target's connection limit that the entries plan to use.
// The rest is for uneven subsets, probes, and targets that lower their limit under load.
const plannedUtilization = 0.8

// SubsetSize returns the number of targets, out of a group of the given size, to which each entry
// connects, so that one connection from each of its entries stays within the limit of each
// target. The result is at least 1.
func SubsetSize(limit, targets, entries int) int {
	if entries <= 0 {
		return targets
	}
	return min(max(int(plannedUtilization*float64(limit)*float64(targets)/float64(entries)), 1), targets)
}

const (
	// minStartupEntries is the minimum number of entries that share connections in the first
	// startupPeriod of a process. It takes that long to learn of the other entries. An entry
	// that underestimates the fleet opens connections to more targets, and more to each, than
	// the limits allow.
	minStartupEntries = 30
	startupPeriod     = time.Second
	// staleConnectionPeriod is the age of a fleet up to which targets may still hold connections
	// of the previous processes. After a power loss nothing closes these connections, and
	// targets were seen to reset connections over the limit for 6 s.
	staleConnectionPeriod = 6 * time.Second
)

// EffectiveEntries returns the number of entries among which an entry divides the connection
// limits. entries is the number of entries that it knows of, age is the age of its own process,
// and fleetAge the maximum age of all processes that it knows of, its own included. Each entry
// counts twice while the whole fleet is young, because targets may still hold the connections of
// all previous processes. A single entry does not share the limits.
func EffectiveEntries(entries int, age, fleetAge time.Duration) int {
	if entries <= 1 {
		return entries
	}
	if fleetAge < staleConnectionPeriod {
		entries *= 2
	}
	if age < startupPeriod {
		return max(entries, minStartupEntries)
	}
	return entries
}

// Target is a target of a group.
type Target struct {
	ID string
	// Local is set for a target in the entry's own availability zone.
	Local bool
}

// Subset returns the IDs of n targets for an entry: local targets first, then by rendezvous hash
// of the entry and the target (D. Thaler and C. Ravishankar, "Using Name-Based Mappings to
// Increase Hit Rates", 1998). Subsets differ between entries, which spreads the load evenly, and
// adding or removing a target changes few subsets.
func Subset(entry string, group []Target, n int) []string {
	type ranked struct {
		Target
		score uint64
	}
	order := make([]ranked, len(group))
	for i, t := range group {
		order[i] = ranked{t, xxhash.Sum64String(entry + "\x00" + t.ID)}
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

// SubsetShare returns the number of connections to a target that an entry may hold if each entry
// connects to a subset of the given size of the group.
func SubsetShare(limit, targets, subset, entries int) int {
	if entries <= 0 || subset <= 0 {
		return max(limit, 1)
	}
	entriesPerTarget := float64(entries) * float64(subset) / float64(max(targets, 1))
	return max(int(float64(limit)*plannedUtilization/entriesPerTarget), 1)
}

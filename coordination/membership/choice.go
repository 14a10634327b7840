package membership

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// maxFullSample is the largest number of other entries for which every exchange carries a
	// record of each. A record takes about 65 bytes and an entry sends and receives 8 messages a
	// second, so 12 records cost 6 KB/s.
	maxFullSample = 12
	// sampleSize is the number of records in each message of a larger fleet.
	sampleSize = 8
	// standbyWatchers is the number of entries ranked directly below the watchers whose records
	// every sample carries, so that the zone knows which entry takes over.
	standbyWatchers = 2
	// retryOdds directs one exchange in that many to an entry that does not count as alive or
	// could not be reached, so that the two sides of a healed partition find each other.
	retryOdds = 4
	// sameZoneOdds keeps one exchange in that many of a large fleet within the zone, where the
	// watcher role is decided.
	sameZoneOdds = 2
	// maxBackoff bounds the delay before an entry that did not answer is tried again.
	maxBackoff = 30 * time.Second
	// maxBackoffDoublings is enough to reach maxBackoff from the default interval.
	maxBackoffDoublings = 6
)

// peerClass tells how a member may be chosen for an exchange.
type peerClass uint8

const (
	classIneligible peerClass = iota
	classLive
	classLiveSameZone
	classRetryDue // Not alive or not reachable, and due for a retry.
	numClasses
)

func (t *Table) classify(now, since time.Time, m *member) peerClass {
	switch {
	case m.Address == "":
		return classIneligible
	case m.aliveSince(since) && !m.unreachable() && m.Zone == t.self.Zone:
		return classLiveSameZone
	case m.aliveSince(since) && !m.unreachable():
		return classLive
	case t.retryDue(now, m):
		return classRetryDue
	}
	return classIneligible
}

// NextPeer returns the entry for the next exchange. It prefers live entries; a quarter of the
// choices go to entries that are due for a retry. It returns false when no entry is eligible.
func (t *Table) NextPeer(now time.Time, rng *rand.Rand) (Entry, bool) {
	since := t.aliveCutoff(now)
	var counts [numClasses]int
	for _, m := range t.insertionOrder {
		counts[t.classify(now, since, m)]++
	}
	from, to := classLive, classLiveSameZone
	switch {
	case counts[classRetryDue] > 0 && (counts[classLive]+counts[classLiveSameZone] == 0 || rng.IntN(retryOdds) == 0):
		from, to = classRetryDue, classRetryDue
	case len(t.insertionOrder) > maxFullSample && counts[classLiveSameZone] > 0 && rng.IntN(sameZoneOdds) == 0:
		from = classLiveSameZone
	}
	total := 0
	for c := from; c <= to; c++ {
		total += counts[c]
	}
	if total == 0 {
		return Entry{}, false
	}
	skip := rng.IntN(total)
	for _, m := range t.insertionOrder {
		if c := t.classify(now, since, m); c < from || c > to {
			continue
		}
		if skip == 0 {
			return m.Entry, true
		}
		skip--
	}
	return Entry{}, false
}

// unreachable reports whether the latest call to m failed after m was last known to be alive, as
// when only the path between the two entries is cut.
func (m *member) unreachable() bool { return m.failures > 0 && !m.lastFailure.Before(m.lastSeen) }

// retryDue reports whether the backoff after failed calls to m has ended.
func (t *Table) retryDue(now time.Time, m *member) bool {
	if m.failures == 0 {
		return true
	}
	pause := t.settings.Interval << min(m.failures, maxBackoffDoublings)
	return now.Sub(m.lastFailure) >= min(pause, maxBackoff)
}

// FanoutPeers returns up to n distinct entries to notify immediately: live entries first, then
// those that are due for a retry.
func (t *Table) FanoutPeers(now time.Time, rng *rand.Rand, n int) []Entry {
	since := t.aliveCutoff(now)
	var alive, others []Entry
	for _, m := range t.insertionOrder {
		switch t.classify(now, since, m) {
		case classLive, classLiveSameZone:
			alive = append(alive, m.Entry)
		case classRetryDue:
			others = append(others, m.Entry)
		}
	}
	chosen := pick(rng, alive, n)
	return append(chosen, pick(rng, others, n-len(chosen))...)
}

// ZoneFanoutPeers returns up to n distinct live entries of this entry's zone.
func (t *Table) ZoneFanoutPeers(now time.Time, rng *rand.Rand, n int) []Entry {
	since := t.aliveCutoff(now)
	var alive []Entry
	for _, m := range t.insertionOrder {
		if m.Zone == t.self.Zone && m.aliveSince(since) {
			alive = append(alive, m.Entry)
		}
	}
	return pick(rng, alive, n)
}

// pick returns up to n randomly chosen elements. It reorders items.
func pick[T any](rng *rand.Rand, items []T, n int) []T {
	n = max(min(n, len(items)), 0)
	for i := range n {
		j := i + rng.IntN(len(items)-i)
		items[i], items[j] = items[j], items[i]
	}
	return slices.Clone(items[:n])
}

// Sample returns the live members whose records the next message carries. For a small fleet these
// are all of them; for a larger one they are the highest-ranked members of this entry's zone, the
// pinned members and a random selection.
func (t *Table) Sample(now time.Time, rng *rand.Rand) []Member {
	alive := t.liveMembers(now)
	if len(alive) > maxFullSample {
		sample := t.topRankedInZone(alive)
		randomCount := sampleSize - len(sample)
		for _, m := range alive {
			if t.pinned[m.ID] && !slices.Contains(sample, m) {
				sample = append(sample, m)
			}
		}
		rest := slices.DeleteFunc(alive, func(m *member) bool { return slices.Contains(sample, m) })
		alive = append(sample, pick(rng, rest, randomCount)...)
	}
	return exportMembers(alive)
}

// SetPinned replaces the set of members whose records every sample carries.
func (t *Table) SetPinned(ids []string) {
	t.pinned = make(map[string]bool, len(ids))
	for _, id := range ids {
		t.pinned[id] = true
	}
}

// maxBootstrapSample limits a bootstrap sample to about 8 KB.
const maxBootstrapSample = 120

// BootstrapSample returns the live members to send to an entry that knows few others: a random
// selection of at most maxBootstrapSample.
func (t *Table) BootstrapSample(now time.Time, rng *rand.Rand) []Member {
	return exportMembers(pick(rng, t.liveMembers(now), maxBootstrapSample))
}

// liveMembers returns the members that count as alive.
func (t *Table) liveMembers(now time.Time) []*member {
	since := t.aliveCutoff(now)
	var alive []*member
	for _, m := range t.insertionOrder {
		if m.aliveSince(since) {
			alive = append(alive, m)
		}
	}
	return alive
}

func exportMembers(members []*member) []Member {
	out := make([]Member, len(members))
	for i, m := range members {
		out[i] = Member{Entry: m.Entry, Alive: true, Listed: m.sources != 0, LastSeen: m.lastSeen}
	}
	return out
}

// topRankedInZone returns the watchers of this entry's zone and their standbys.
func (t *Table) topRankedInZone(alive []*member) []*member {
	limit := min(t.settings.WatchersPerZone+standbyWatchers, sampleSize)
	var top []*member
	for _, m := range alive {
		if m.Zone != t.self.Zone {
			continue
		}
		pos := len(top)
		for pos > 0 && outranks(m.score, m.ID, top[pos-1].score, top[pos-1].ID) {
			pos--
		}
		if pos < limit {
			top = slices.Insert(top, pos, m)
			top = top[:min(len(top), limit)]
		}
	}
	return top
}

package membership

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var start = time.Unix(1_000, 0)

// fleet returns n entries spread over zones.
func fleet(n, zones int) []Entry {
	entries := make([]Entry, n)
	for i := range entries {
		entries[i] = Entry{ID: fmt.Sprintf("e%03d", i), Zone: fmt.Sprintf("z%d", i%zones), Address: fmt.Sprintf("10.0.0.1:%d", 7000+i)}
	}
	return entries
}

// tableWithAll returns the table of self in which all others were seen alive at start.
func tableWithAll(self Entry, others []Entry) *Table {
	t := New(self, Settings{})
	t.SetListed(FromSettings, others)
	for _, e := range others {
		t.RecordAlive(start, start, e)
	}
	return t
}

func Example() {
	entries := fleet(5, 1)
	watchers := 0
	for _, e := range entries {
		if tableWithAll(e, entries).IsWatcher(start) {
			watchers++
		}
	}
	fmt.Println(watchers, "of", len(entries), "watch")
	t := tableWithAll(entries[0], entries)
	peers := t.FanoutPeers(start, rand.New(rand.NewPCG(1, 1)), 3)
	fmt.Println("push to", len(peers))
	// Output:
	// 2 of 5 watch
	// push to 3
}

// Guards against a zone without a watcher while views differ, and against too many watchers once
// they agree.
func TestWatchersOfAZone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		entries := fleet(rapid.IntRange(1, 40).Draw(t, "entries"), rapid.IntRange(1, 4).Draw(t, "zones"))
		unseen := rapid.IntRange(0, 3).Draw(t, "unseen")
		agreed, partial := map[string]int{}, map[string]int{}
		sizes := map[string]int{}
		for _, e := range entries {
			sizes[e.Zone]++
			if tableWithAll(e, entries).IsWatcher(start) {
				agreed[e.Zone]++
			}
			// A view in which some entries are missing.
			from := rapid.IntRange(0, len(entries)).Draw(t, "from")
			some := slices.Delete(slices.Clone(entries), from, min(len(entries), from+unseen))
			if tableWithAll(e, some).IsWatcher(start) {
				partial[e.Zone]++
			}
		}
		for zone, size := range sizes {
			is.Equal(agreed[zone], min(size, DefaultWatchersPerZone))
			is.True(partial[zone] >= min(size, DefaultWatchersPerZone))
		}
	})
}

// Guards against an entry that counts as alive after it stopped, and against old news that
// overwrites newer news.
func TestExpiryAndOldNews(t *testing.T) {
	is := is.New(t)
	entries := fleet(2, 1)
	table := tableWithAll(entries[0], entries)
	is.True(table.Members(start.Add(DefaultExpiry))[0].Alive)
	is.True(!table.Members(start.Add(DefaultExpiry + 1))[0].Alive)
	draining := entries[1]
	draining.Draining = true
	table.RecordAlive(start.Add(2*time.Second), start.Add(2*time.Second), draining)
	table.RecordAlive(start.Add(3*time.Second), start.Add(time.Second), entries[1])
	is.True(table.Members(start.Add(3 * time.Second))[0].Draining)
	table.SetListed(FromSettings, nil)
	table.Expire(start.Add(time.Hour))
	is.Equal(len(table.Members(start.Add(time.Hour))), 0)
}

// Guards against a report that reverts a restarted entry to its previous incarnation: the time of a
// report does not include its transit, so that the report appears newer than it is.
func TestReportDoesNotBringBackAnIncarnation(t *testing.T) {
	is := is.New(t)
	entries := fleet(2, 1)
	table := New(entries[0], Settings{})
	old, restarted := entries[1], entries[1]
	old.Incarnation[0], restarted.Incarnation[0] = 1, 2
	table.RecordAlive(start, start, restarted)
	at := start.Add(10 * time.Millisecond)
	table.RecordAlive(at, at.Add(-time.Millisecond), old)
	is.Equal(table.Members(at)[0].Incarnation, restarted.Incarnation)
	at = at.Add(2 * DefaultExpiry) // No message from the entry itself for longer than the expiry.
	table.RecordAlive(at, at.Add(-time.Millisecond), old)
	is.Equal(table.Members(at)[0].Incarnation, old.Incarnation)
}

// Guards against unbounded growth of the table by reports of new entries.
func TestTableSizeIsBounded(t *testing.T) {
	is := is.New(t)
	table := New(Entry{ID: "self"}, Settings{MaxMembers: 3})
	for _, e := range fleet(10, 1) {
		table.RecordAlive(start, start, e)
	}
	is.Equal(len(table.Members(start)), 3)
}

// Guards against a partition that persists after the network has healed, and against an entry that
// calls a dead peer in every round.
func TestSilentPeersAreRetriedWithBackoff(t *testing.T) {
	is := is.New(t)
	entries := fleet(2, 1)
	table := New(entries[0], Settings{})
	table.SetListed(FromSettings, entries)
	rng := rand.New(rand.NewPCG(1, 2))
	now, tries := start, 0
	for range 240 { // Two minutes of rounds.
		if e, ok := table.NextPeer(now, rng); ok {
			tries++
			table.RecordFailure(now, e.ID)
		}
		now = now.Add(DefaultInterval)
	}
	is.True(tries >= 5)
	is.True(tries <= 12)
}

// Guards against messages that grow with the fleet, and against a zone that does not learn of its
// watchers.
func TestSampleOfALargeFleet(t *testing.T) {
	is := is.New(t)
	entries := fleet(300, 3)
	table := tableWithAll(entries[0], entries)
	sample := table.Sample(start, rand.New(rand.NewPCG(1, 3)))
	is.Equal(len(sample), sampleSize)
	zone := slices.DeleteFunc(slices.Clone(entries[1:]), func(e Entry) bool { return e.Zone != entries[0].Zone })
	slices.SortFunc(zone, func(a, b Entry) int {
		if Score(a.Zone, a.ID) > Score(b.Zone, b.ID) {
			return -1
		}
		return 1
	})
	for i := range DefaultWatchersPerZone + standbyWatchers {
		is.Equal(sample[i].ID, zone[i].ID)
	}
}

func BenchmarkPeer(b *testing.B) {
	for _, n := range []int{9, 300, 5300} {
		table := tableWithAll(fleet(n, 3)[0], fleet(n, 3))
		rng := rand.New(rand.NewPCG(1, 4))
		b.Run(fmt.Sprintf("entries=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				table.NextPeer(start, rng)
			}
		})
	}
}

func BenchmarkWatcher(b *testing.B) {
	table := tableWithAll(fleet(5300, 18)[0], fleet(5300, 18))
	for b.Loop() {
		table.IsWatcher(start)
	}
}

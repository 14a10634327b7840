package ratelimit_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/balsamstall/balsamstall/coordination/notice"
	"github.com/balsamstall/balsamstall/coordination/ratelimit"
)

const (
	tick = 5 * time.Millisecond
	// maxDelay is the longest delay of a simulated message, somewhat below ratelimit.MaxTransit because
	// ages are sent in whole milliseconds.
	maxDelay = ratelimit.MaxTransit - 2*time.Millisecond
)

// maxChanges is the number of changes of a limit at one entry, after the last statement of the target, that
// a test accepts. Up to eight announcements are still under way then.
const maxChanges = 8

// limit is what an entry knows of the simulated target.
type limit struct {
	limited   bool
	perSecond float64
}

// forwarding simulates entries that forward what they know of one target "t" with delays.
type forwarding struct {
	rng     *rand.Rand
	now     time.Duration
	entries []*ratelimit.Announcements
	// origins holds the difference between the clock of each entry and now.
	origins []time.Duration
	// messages holds, by time of arrival, what arrives at which entry.
	messages map[time.Duration][]message
	// neighbors lists the entries to which each entry sends.
	neighbors [][]int
	// changes counts the changes of the limit at each entry.
	changes []int
}

type message struct {
	to int
	ratelimit.Announcement
}

func newForwarding(n int, seed uint64, ring bool) *forwarding {
	f := &forwarding{rng: rand.New(rand.NewPCG(seed, 0)), now: time.Hour, messages: make(map[time.Duration][]message)}
	for i := range n {
		a := ratelimit.NewAnnouncements()
		a.SetListed(map[string]int64{"t": 1})
		f.entries = append(f.entries, a)
		f.changes = append(f.changes, 0)
		f.origins = append(f.origins, time.Duration(f.rng.Int64N(int64(time.Hour))))
		var neighbors []int
		for j := range n {
			if j != i && (!ring || (i+1)%n == j || (j+1)%n == i) {
				neighbors = append(neighbors, j)
			}
		}
		f.neighbors = append(f.neighbors, neighbors)
	}
	return f
}

func (f *forwarding) clock(i int) time.Duration { return f.now + f.origins[i] }

func (f *forwarding) limit(i int) limit {
	perSecond, limited := f.entries[i].Limit("t")
	return limit{limited, perSecond}
}

// update applies a change to an entry, which forwards news at once.
func (f *forwarding) update(i int, change func(a *ratelimit.Announcements, now time.Duration) (isNews bool)) {
	before := f.limit(i)
	isNews := change(f.entries[i], f.clock(i))
	if f.limit(i) != before {
		f.changes[i]++
	}
	if isNews {
		for _, to := range f.neighbors[i] {
			f.send(i, to)
		}
	}
}

// send sends the reports of an entry. Most messages are fast, some take nearly as long as possible.
func (f *forwarding) send(from, to int) {
	longest := 20 * time.Millisecond
	if f.rng.IntN(5) == 0 {
		longest = maxDelay
	}
	at := f.now + tick + (time.Duration(f.rng.Int64N(int64(longest)))/tick)*tick
	if at-f.now > maxDelay {
		at -= tick
	}
	for _, r := range f.entries[from].Reports(f.clock(from)) {
		r.Age = r.Age.Truncate(time.Millisecond) // As on the wire.
		f.messages[at] = append(f.messages[at], message{to, r})
	}
}

// run delivers messages for a time. Each entry sends its reports to a neighbor about every 500 ms.
func (f *forwarding) run(d time.Duration, each func()) {
	for end := f.now + d; f.now < end; f.now += tick {
		for _, m := range f.messages[f.now] {
			f.update(m.to, func(a *ratelimit.Announcements, now time.Duration) bool { return a.Merge(m.Announcement, now) })
		}
		delete(f.messages, f.now)
		for i := range f.entries {
			if f.rng.IntN(100) == 0 {
				f.send(i, f.neighbors[i][f.rng.IntN(len(f.neighbors[i]))])
			}
		}
		if each != nil {
			each()
		}
	}
}

// Guards against announcements that replace each other for as long as entries forward them: on an
// earlier version three limits circulated for 36 s, and a target got more than its limit.
func TestForwardedAnnouncementsReachAFixedPoint(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 9).Draw(t, "entries")
		f := newForwarding(n, rapid.Uint64().Draw(t, "seed"), rapid.Bool().Draw(t, "ring"))
		for range rapid.IntRange(2, 8).Draw(t, "statements") {
			to, perSecond := rapid.IntRange(0, n-1).Draw(t, "entry"), rapid.SampledFrom([]float64{0, 6.81, 15.57, 40}).Draw(t, "limit")
			ended := rapid.IntRange(0, 3).Draw(t, "ended") == 0
			f.update(to, func(a *ratelimit.Announcements, now time.Duration) bool {
				if ended {
					return a.RecordNoLimit("t", now, now)
				}
				return a.RecordLimit("t", now, perSecond)
			})
			f.run(time.Duration(rapid.IntRange(0, 3000).Draw(t, "gap_ms"))*time.Millisecond/tick*tick, nil)
		}
		clear(f.changes)
		f.run(40*time.Second, nil)
		if most := slices.Max(f.changes); most > maxChanges {
			t.Fatalf("an entry changed the limit %d times in 40 s after the last statement", most)
		}
	})
}

// Guards against entries that keep an earlier limit, or none, after the target raised, lowered or ended
// its limit, whether or not they send requests to the target themselves.
func TestEntriesAgreeOnTheLimitOfATarget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 9).Draw(t, "entries")
		f := newForwarding(n, rapid.Uint64().Draw(t, "seed"), rapid.Bool().Draw(t, "ring"))
		users := rapid.IntRange(1, n).Draw(t, "entries that send requests")
		current := limit{true, 15.57}
		reply := func() {
			if f.rng.IntN(20) != 0 {
				return
			}
			i, sent, stated := f.rng.IntN(users), time.Duration(f.rng.Int64N(int64(200*time.Millisecond))), current
			f.update(i, func(a *ratelimit.Announcements, now time.Duration) bool {
				if stated.limited {
					return a.RecordLimit("t", now, stated.perSecond)
				}
				return a.RecordNoLimit("t", now-sent, now)
			})
			if stated.limited && f.limit(i) != stated {
				t.Fatalf("limit %v after a reply that states %v", f.limit(i), stated)
			}
		}
		for range rapid.IntRange(1, 6).Draw(t, "changes") {
			current = limit{}
			if rapid.IntRange(0, 3).Draw(t, "ended") > 0 {
				current = limit{true, rapid.SampledFrom([]float64{0, 6.81, 15.57, 40}).Draw(t, "limit")}
			}
			f.run(time.Duration(rapid.IntRange(0, 4000).Draw(t, "gap_ms"))*time.Millisecond/tick*tick, reply)
		}
		f.run(15*time.Second, reply)
		for i := range f.entries {
			if f.limit(i) != current {
				t.Fatalf("entry %d of %d knows %v, the target states %v", i, n, f.limit(i), current)
			}
		}
	})
}

// Guards against older announcements that count beside clearly newer ones, against a stricter one that
// does not count although it may be the newest, against a limit that ends by the reply to a request that
// was sent before the limit was stated, and against a report that replaces what the target stated later,
// in whatever order reports arrive.
func TestOlderAnnouncementsNeverReplaceNewerOnes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := ratelimit.NewAnnouncements()
		a.SetListed(map[string]int64{"t": 1})
		now := time.Hour
		// stated holds the time at which the target last stated each limit, as far as the entry
		// learned of it since the last statement to the entry itself, which was at own.
		stated, own := map[limit]time.Duration{}, time.Duration(-1)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond
			next := limit{limited: rapid.IntRange(0, 3).Draw(t, "ended") > 0}
			if next.limited {
				next.perSecond = rapid.SampledFrom([]float64{0, 6.81, 15.57, 40}).Draw(t, "limit")
			}
			perSecond, limited := a.Limit("t")
			before := limit{limited, perSecond}
			ownStatement := rapid.IntRange(0, 3).Draw(t, "own") == 0
			switch {
			case ownStatement && next.limited:
				a.RecordLimit("t", now, next.perSecond)
				stated, own = map[limit]time.Duration{next: now}, now
			case ownStatement:
				sent := now - time.Duration(rapid.IntRange(0, 3000).Draw(t, "took_ms"))*time.Millisecond
				ended := a.RecordNoLimit("t", sent, now)
				for l, at := range stated {
					if ended && l.limited && sent <= at {
						t.Fatalf("request sent at %v ended the limit stated at %v", sent, at)
					}
				}
				if known, _ := a.Announcement("t", now); ended || !before.limited && known.ID != "" && known.Age == 0 {
					stated, own = map[limit]time.Duration{next: now}, now
				}
			default:
				transit := time.Duration(rapid.IntRange(0, int(maxDelay.Milliseconds())).Draw(t, "transit_ms")) * time.Millisecond
				age := time.Duration(rapid.IntRange(0, 8000).Draw(t, "age_ms")) * time.Millisecond
				a.Merge(ratelimit.Announcement{Target: notice.Target{ID: "t", Started: 1}, Limited: next.limited, PerSecond: next.perSecond, Age: age}, now)
				// The entry cannot know the transit.
				if at := now - transit - age; now-age > own && (next.limited || len(stated) > 0) {
					stated[next] = max(stated[next], at)
				}
			}
			perSecond, limited = a.Limit("t")
			counts, newest := limit{limited, perSecond}, time.Duration(-1)
			for _, at := range stated {
				newest = max(newest, at)
			}
			if at, known := stated[counts]; known && at < newest-4*ratelimit.MaxTransit || !known && len(stated) > 0 && newest > own+ratelimit.MaxTransit {
				t.Fatalf("%v of %v counts, the newest of %v is of %v", counts, at, stated, newest)
			}
			for l, at := range stated {
				if stricter := l.limited && (!limited || l.perSecond < perSecond); stricter && at > newest-ratelimit.MaxTransit {
					t.Fatalf("%v counts and not %v of %v, the newest of %v is of %v", counts, l, at, stated, newest)
				}
			}
			if own == now && counts != next {
				t.Fatalf("%v counts after the target stated %v", counts, next)
			}
		}
	})
}

// Guards against reports of an earlier incarnation that replace those of a later one, and back, while
// the target is not listed.
func TestLaterIncarnationOfAnUnlistedTargetCounts(t *testing.T) {
	a := ratelimit.NewAnnouncements()
	report := func(started int64, perSecond float64, age time.Duration) {
		a.Merge(ratelimit.Announcement{Target: notice.Target{ID: "t", Started: started}, Limited: true, PerSecond: perSecond, Age: age}, time.Hour)
	}
	for step, s := range []struct {
		started   int64
		perSecond float64
		age       time.Duration
		want      string
	}{
		{5, 40, 2 * time.Second, "40 true"},
		{7, 50, 20 * time.Second, "50 true"}, // A later incarnation, although its report is older.
		{5, 1, 0, "50 true"},                 // An earlier one.
		{0, 3, 0, "3 true"},                  // One that may be the same.
		{5, 1, 0, "3 true"},                  // The incarnation is still known.
	} {
		report(s.started, s.perSecond, s.age)
		if perSecond, limited := a.Limit("t"); fmt.Sprint(perSecond, " ", limited) != s.want {
			t.Fatalf("step %d: limit %v %v, want %s", step, perSecond, limited, s.want)
		}
	}
}

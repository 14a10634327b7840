package targetrate_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/balsamstall/balsamstall/coordination/ratelimit"
	"github.com/balsamstall/balsamstall/internal/targetrate"
	"github.com/balsamstall/balsamstall/protocol/peerpb"
	"github.com/balsamstall/balsamstall/protocol/requestrate"
)

const (
	// coldOvershoot and coldSlack are the bound on the requests of a second: limit x 1.5 + 5.
	coldOvershoot, coldSlack = 1.5, 5
	// newsDelay is the longest time until an entry hears of another one that it can reach.
	newsDelay = 1500 * time.Millisecond
	// forgetAfter is the time without news after which an entry is no longer live (entry.allocatorRetention).
	forgetAfter = 10 * time.Second
)

// coldFleet simulates entries and one cold target, which all entries reach.
type coldFleet struct {
	start time.Time
	limit float64

	mu      sync.Mutex // Guards the fields below.
	rng     *rand.Rand
	entries []*coldEntry
	sent    []time.Duration
}

// coldEntry is one entry and what it knows of the others.
type coldEntry struct {
	self    ratelimit.Entry
	limiter *targetrate.Limiter
	up      bool
	// side is the part of a partition to which the entry belongs.
	side int
	// contact is, for each other entry, the time from which this entry hears of it, and heard the time
	// of the last news. A zero contact stands for none.
	contact, heard []time.Duration
}

func newColdFleet(n, up int, limit float64, seed uint64) *coldFleet {
	f := &coldFleet{start: time.Now(), limit: limit, rng: rand.New(rand.NewPCG(seed, 1)), entries: make([]*coldEntry, n)}
	for i := range f.entries {
		f.entries[i] = &coldEntry{self: ratelimit.Entry{ID: fmt.Sprint("e", i), Zone: fmt.Sprint("z", i%3), Address: fmt.Sprint(i)}}
		f.restart(i)
		f.entries[i].up = i < up
	}
	return f
}

func (f *coldFleet) now() time.Duration { return time.Since(f.start) + time.Hour }

// restart replaces an entry by a new process. The caller must hold mu.
func (f *coldFleet) restart(i int) {
	e, n := f.entries[i], len(f.entries)
	e.up, e.contact, e.heard = true, make([]time.Duration, n), make([]time.Duration, n)
	for j := range n {
		if other := f.entries[j]; other != nil && other.contact != nil {
			other.contact[i] = 0
		}
	}
	e.limiter = targetrate.New(targetrate.Config{Entry: e.self.ID, Clock: f.now, Log: zerolog.Nop(), Metrics: &targetrate.Metrics{}, NotifyPeers: func() {},
		Tokens: func(ctx context.Context, address string, in *peerpb.TokensRequest) (*peerpb.TokensReply, error) {
			var to int
			_, _ = fmt.Sscan(address, &to)
			there, back := f.delay(), f.delay()
			time.Sleep(there)
			f.mu.Lock()
			callee := f.entries[to]
			limiter, reachable := callee.limiter, callee.up && callee.side == e.side
			f.mu.Unlock()
			if !reachable {
				return nil, errUnreachable
			}
			reply := limiter.HandleRequest(in)
			time.Sleep(back)
			return reply, ctx.Err()
		}})
	e.limiter.SetColdLimits(map[string]float64{"t": f.limit})
	e.limiter.SetTargets(map[string]int64{"t": 1}, map[string]string{"t": "z0"})
}

// delay returns the time of one way of a call. A few are lost to the time limit of the caller.
func (f *coldFleet) delay() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Duration(f.rng.ExpFloat64() * float64(2*time.Millisecond))
}

// updateViews tells each entry what it hears of the others.
func (f *coldFleet) updateViews() {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	for i, e := range f.entries {
		if !e.up {
			continue
		}
		view := targetrate.Fleet{Entries: []ratelimit.Entry{e.self}}
		for j, other := range f.entries {
			switch {
			case i == j:
				continue
			case !other.up || other.side != e.side:
				e.contact[j] = 0
			case e.contact[j] == 0:
				e.contact[j] = now + time.Duration(f.rng.Int64N(int64(newsDelay)))
			case now >= e.contact[j]:
				e.heard[j] = now
			}
			if e.heard[j] > 0 && now-e.heard[j] < forgetAfter {
				view.Entries = append(view.Entries, other.self)
			}
		}
		if len(view.Entries) == 1 && len(f.entries) > 1 {
			view.AssumedEntries = len(f.entries)
		}
		e.limiter.SetFleet(view)
	}
}

// request sends a request of a random entry that waits up to 200 ms for a connection.
func (f *coldFleet) request() {
	f.mu.Lock()
	e := f.entries[f.rng.IntN(len(f.entries))]
	l, up, connecting, priority := e.limiter, e.up, time.Duration(f.rng.Int64N(int64(200*time.Millisecond))), 1+f.rng.IntN(2)
	f.mu.Unlock()
	if !up {
		return
	}
	l.Prepare(context.Background(), targetrate.Demand{Priority: priority, Goal: 500 * time.Millisecond, Shards: [][]string{{"t"}, {"t"}}, MinShards: priority})
	if !l.Take("t", priority) {
		return
	}
	time.Sleep(connecting)
	if l.Admit("t") {
		f.mu.Lock()
		f.sent = append(f.sent, f.now())
		f.mu.Unlock()
	}
}

// run sends perSecond requests a second for a time and calls eachSecond once a second.
func (f *coldFleet) run(perSecond float64, seconds int, eachSecond func(second int)) {
	for second := range seconds {
		eachSecond(second)
		for range 2 {
			f.updateViews()
			for end := f.now() + 500*time.Millisecond; f.now() < end; {
				f.mu.Lock()
				pause := f.rng.ExpFloat64() / perSecond
				f.mu.Unlock()
				time.Sleep(time.Duration(pause * float64(time.Second)))
				go f.request()
			}
		}
	}
	time.Sleep(time.Second) // Requests under way end.
}

// disturb changes the fleet in cycles of 30 s: entries restart and end one by one, most restart at once,
// and for 20 s the fleet is cut into two to four parts, in which one entry restarts.
func (f *coldFleet) disturb(second int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := len(f.entries)
	switch at := second % 30; {
	case at == 0:
		for _, e := range f.entries {
			e.side = 0
		}
	case at < 4:
		f.restart(f.rng.IntN(n))
		f.entries[f.rng.IntN(n)].up = false
	case at == 4:
		for range n {
			f.restart(f.rng.IntN(n))
		}
	case at == 9:
		parts := 2 + f.rng.IntN(3)
		for _, e := range f.entries {
			e.side = f.rng.IntN(parts)
		}
	case at == 12:
		f.restart(f.rng.IntN(n))
	}
}

// maxInSecond returns the largest number of requests of any second.
func (f *coldFleet) maxInSecond() int {
	slices.Sort(f.sent)
	most, first := 0, 0
	for last, at := range f.sent {
		for f.sent[first] <= at-time.Second {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// Guards against a cold target that gets more requests in a second than it tolerates, from entries that start,
// restart, end, are cut off from each other while all reach the target, and disagree on the allocators.
func TestFleetStaysWithinTheLimitOfAColdTarget(t *testing.T) {
	for _, entries := range []int{3, 9, 60, 300} {
		for _, limit := range []float64{0.5, 5, 40} {
			for _, faults := range []bool{false, true} {
				if entries == 300 && (limit < 40 || !faults) || entries == 60 && limit < 5 {
					continue // They take the longest.
				}
				t.Run(fmt.Sprintf("%d entries, limit %g, faults %v", entries, limit, faults), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						up := entries
						if faults {
							up = max(entries*2/3, 3)
						}
						f := newColdFleet(entries, up, limit, uint64(entries))
						seconds := 45
						if entries == 300 {
							seconds = 29
						}
						f.run(250, seconds, func(second int) {
							if faults {
								f.disturb(second)
							}
						})
						f.mu.Lock()
						defer f.mu.Unlock()
						if got, allowed := f.maxInSecond(), int(coldOvershoot*limit+coldSlack); got > allowed {
							t.Errorf("%d requests in a second, allowed %d", got, allowed)
						}
						// Allocators start after 3 s and grant two fifths each. With three entries
						// the zone has one.
						fraction := 0.5
						if entries == 3 {
							fraction = 0.25
						}
						if got, wanted := len(f.sent), int(limit*40*fraction); !faults && got < wanted {
							t.Errorf("%d requests in 45 s, wanted at least %d", got, wanted)
						}
					})
				})
			}
		}
	}
}

// Guards against a cold limit that outlasts the cold state, that hides a lower limit of the target's own, or
// that loosens it.
func TestLowerOfColdAndStatedLimitCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newColdFleet(1, 1, 20, 1)
		l := f.entries[0].limiter
		f.updateViews()
		time.Sleep(4 * time.Second)
		count := func() int {
			sent := 0
			for end := f.now() + 10*time.Second; f.now() < end; {
				l.Prepare(context.Background(), targetrate.Demand{Priority: 1, Goal: time.Second, Shards: [][]string{{"t"}}, MinShards: 1})
				if l.Take("t", 1) && l.Admit("t") {
					sent++
				}
				time.Sleep(10 * time.Millisecond)
			}
			return sent
		}
		if got := count(); got < 60 || got > 100 {
			t.Errorf("%d requests in 10 s while the target is cold with a limit of 20", got)
		}
		l.RecordReply("t", "", f.now(), requestrate.Rate{Stated: true, PerSecond: 5}, true)
		if got := count(); got < 15 || got > 25 {
			t.Errorf("%d requests in 10 s while the target states a limit of 5", got)
		}
		l.RecordReply("t", "", f.now(), requestrate.Rate{Stated: true, PerSecond: 100}, true)
		if got := count(); got < 60 || got > 100 {
			t.Errorf("%d requests in 10 s while the target is cold and states a limit of 100", got)
		}
		l.RecordReply("t", "", f.now(), requestrate.Rate{}, true)
		l.SetColdLimits(nil)
		if got := count(); got < 900 || l.Active() {
			t.Errorf("%d of 1000 requests after the target is warm, limits active: %v", got, l.Active())
		}
	})
}

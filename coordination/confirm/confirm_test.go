package confirm

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/balsamstall/balsamstall/protocol/ids"
)

const tick = 50 * time.Millisecond

// fleet simulates entries that confirm documents by their own calls and by exchanges.
type fleet struct {
	settings    Settings
	rng         *rand.Rand
	confirmedAt []time.Duration // By entry.
	nextCall    []time.Duration
	watchers    int
	// reaches reports whether an entry reaches the platform.
	reaches func(entry int) bool
}

// run advances the simulation and returns the most calls outside the watcher role within a second, and the
// highest age at an entry that reaches the platform.
func (f *fleet) run(from, to time.Duration) (calls int, oldest time.Duration) {
	const watch, exchange = 1500 * time.Millisecond, 500 * time.Millisecond
	n := len(f.confirmedAt)
	perSecond := map[time.Duration]int{}
	for now := from; now < to; now += tick {
		for i := range n {
			if i < f.watchers && f.reaches(i) && (now+time.Duration(i)*watch/time.Duration(f.watchers))%watch < tick {
				f.confirmedAt[i] = now
			}
			if (now+time.Duration(i)*tick)%exchange < tick {
				f.confirmedAt[i] = max(f.confirmedAt[i], f.confirmedAt[f.rng.IntN(n)])
			}
			if now >= f.nextCall[i] && now-f.confirmedAt[i] >= f.settings.ReadAge(n, float64(i)/float64(n)) {
				perSecond[now/time.Second]++
				if f.reaches(i) {
					f.confirmedAt[i], f.nextCall[i] = now, now+time.Second
				} else {
					f.nextCall[i] = now + time.Second + f.settings.RetryPause(n, f.rng.Float64())
				}
			}
			if f.reaches(i) {
				oldest = max(oldest, now-f.confirmedAt[i])
			}
		}
	}
	for _, c := range perSecond {
		calls = max(calls, c)
	}
	return calls, oldest
}

// Guards against an entry that reaches the platform and relies on entries that do not, and against more calls
// of a fleet than the platform accepts while it is lost to all.
func TestEntryThatReachesThePlatformNeverWaitsForOthers(t *testing.T) {
	for _, n := range []int{3, 9, 68, 300, 5300} {
		for _, bound := range []time.Duration{3 * time.Second, 5 * time.Second} {
			settings := Settings{MaxAge: bound * 3 / 4, CallsPerSecond: 3000}
			f := &fleet{settings: settings, rng: rand.New(rand.NewPCG(1, uint64(n))), confirmedAt: make([]time.Duration, n),
				nextCall: make([]time.Duration, n), watchers: min(5, n), reaches: func(int) bool { return true }}
			calm, _ := f.run(0, 20*time.Second)
			survivor := n - 1
			f.reaches = func(entry int) bool { return entry == survivor }
			alone, oldest := f.run(20*time.Second, 40*time.Second)
			f.reaches = func(int) bool { return false }
			lost, _ := f.run(40*time.Second, 60*time.Second)
			t.Logf("%d entries, bound %v: calls/s calm %d, one reaches the platform %d, none %d; oldest confirmation %v", n, bound, calm, alone, lost, oldest)
			if oldest > bound {
				t.Errorf("%d entries: the last confirmation is %v old", n, oldest)
			}
			if limit := int(settings.CallsPerSecond) + n/10; max(calm, alone, lost) > max(limit, 2*n) || lost > limit && n > 1500 {
				t.Errorf("%d entries: %d, %d, %d calls in a second", n, calm, alone, lost)
			}
		}
	}
}

// Guards against ages above the bound in a fleet that can call the platform within half of it.
func TestReadAgeIsAtMostMaxAge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := Settings{MaxAge: time.Duration(rapid.IntRange(0, 10_000).Draw(t, "age")) * time.Millisecond, CallsPerSecond: rapid.Float64Range(0, 10_000).Draw(t, "rate")}
		n, position := rapid.IntRange(1, 5300).Draw(t, "entries"), rapid.Float64Range(0, 1).Draw(t, "position")
		age := s.ReadAge(n, position)
		if s.spread(n) <= s.MaxAge/2 && age > s.MaxAge || s.MaxAge > 0 && age < s.MaxAge/2 {
			t.Fatalf("%v for at most %v", age, s.MaxAge)
		}
	})
}

// Guards against a message that waited in a socket and counts as fresh, also after its sender was restarted.
func TestDelayIsAtLeastThatAgainstTheFastestMessage(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var d Delays
		now := time.Unix(1_000_000, 0)
		started, fastest, first := now, time.Duration(0), true
		incarnation := ids.Incarnation{1}
		for range rapid.IntRange(1, 30).Draw(t, "messages") {
			if rapid.IntRange(0, 9).Draw(t, "restart") == 0 {
				incarnation[0]++
				started, first = now, true
			}
			sent := now.Add(time.Duration(rapid.IntRange(1, 2_000).Draw(t, "pause")) * time.Millisecond)
			delay := time.Duration(rapid.IntRange(0, 5_000).Draw(t, "delay")) * time.Millisecond
			now = sent.Add(delay)
			if first || delay < fastest {
				fastest = delay
			}
			estimate := d.Estimate(now, "a", incarnation, sent.Sub(started))
			if want := delay - fastest; estimate < want || !first && estimate > want+minDelay {
				t.Fatalf("estimate %v of a delay of %v, fastest %v", estimate, delay, fastest)
			}
			first = false
		}
	})
}

func BenchmarkReadAge(b *testing.B) {
	s := Settings{MaxAge: 2 * time.Second}
	b.ReportAllocs()
	for b.Loop() {
		s.ReadAge(5300, 0.5)
	}
}

func Example() {
	s := Settings{MaxAge: 3 * time.Second, CallsPerSecond: 1000}
	fmt.Println(s.ReadAge(9, 0.5).Round(10*time.Millisecond), s.ReadAge(1000, 0), s.ReadAge(1000, 1))
	// Output: 3s 2s 3s
}

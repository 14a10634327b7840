package shardlimit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// shard is a queue of requests with some slots.
type shard struct {
	slots  int
	work   time.Duration
	busyTo []time.Duration // When each slot is free again.
}

// arrive returns when a request that arrives at now is answered.
func (s *shard) arrive(now time.Duration, rng *rand.Rand) time.Duration {
	if s.busyTo == nil {
		s.busyTo = make([]time.Duration, s.slots)
	}
	first := 0
	for i := range s.busyTo {
		if s.busyTo[i] < s.busyTo[first] {
			first = i
		}
	}
	end := max(s.busyTo[first], now) + time.Duration(float64(s.work)*(0.5+rng.Float64()))
	s.busyTo[first] = end
	return end
}

// play sends a request every gap and returns the parts of the requests that were
// answered within goal, and that were left out at once.
func play(limited bool, slots int, work, gap, goal time.Duration, seed uint64) (inTime, leftOut float64) {
	rng := rand.New(rand.NewPCG(seed, 1))
	const entries = 9
	limits := make([]*Limiter, entries)
	for i := range limits {
		limits[i] = New(DefaultSettings(), 0)
	}
	type answer struct {
		at, began time.Duration
		entry     int
	}
	var running []answer
	s := &shard{slots: slots, work: work}
	total, good, out := 0, 0, 0
	for now := time.Duration(0); now < 20*time.Second; now += gap {
		rest := running[:0]
		for _, a := range running {
			if a.at > now {
				rest = append(rest, a)
				continue
			}
			ok := a.at-a.began <= goal
			limits[a.entry].End(a.at, a.at-a.began <= goal/2, true)
			if ok {
				good++
			}
		}
		running = rest
		total++
		i := rng.IntN(entries)
		if limited && !limits[i].Free() {
			out++
			continue
		}
		limits[i].Start()
		running = append(running, answer{at: s.arrive(now, rng), began: now, entry: i})
	}
	return float64(good) / float64(total), float64(out) / float64(total)
}

// Guards against a queue that makes every answer of an overloaded shard late: at
// twice its capacity, a good part of the callers still get theirs in time.
func TestOverloadedShardStillAnswersInTime(t *testing.T) {
	is := is.New(t)
	const slots, work, goal = 3, 15 * time.Millisecond, 100 * time.Millisecond
	gap := work / slots / 2
	without, _ := play(false, slots, work, gap, goal, 1)
	with, _ := play(true, slots, work, gap, goal, 1)
	t.Logf("answered in time at twice the capacity: %.2f without the limit, %.2f with it", without, with)
	is.True(without < 0.05)
	is.True(with > 0.35) // of at most 0.5
}

// Guards against shards that are left out although they have capacity.
func TestUnloadedShardIsNotLimited(t *testing.T) {
	is := is.New(t)
	const slots, work, goal = 3, 15 * time.Millisecond, 100 * time.Millisecond
	inTime, leftOut := play(true, slots, work, 2*work/slots, goal, 1)
	is.True(inTime > 0.99)
	is.Equal(leftOut, 0.0)
}

// Guards against a limit that no probe can leave again, and a count that drifts.
func TestLimitStaysInBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := DefaultSettings()
		l := New(s, 0)
		running := 0
		now := time.Duration(0)
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * time.Millisecond
			if running == 0 || rapid.Bool().Draw(t, "start") && l.Free() {
				l.Start()
				running++
			} else {
				l.End(now, rapid.Bool().Draw(t, "good"), rapid.Bool().Draw(t, "counted"))
				running--
			}
			if l.Limit() < int(s.Min) || l.Limit() > int(s.Max) || l.Free() != (running < l.Limit()) {
				t.Fatalf("limit %d with %d running", l.Limit(), running)
			}
		}
	})
}

func Example() {
	l := New(DefaultSettings(), 0)
	for i := range 40 { // No reply comes in time.
		l.Start()
		l.End(time.Duration(i)*50*time.Millisecond, false, true)
	}
	l.Start()
	fmt.Println(l.Limit(), l.Free())
	// Output: 1 false
}

func BenchmarkStartEnd(b *testing.B) {
	l := New(DefaultSettings(), 0)
	for b.Loop() {
		if l.Free() {
			l.Start()
			l.End(0, true, true)
		}
	}
}

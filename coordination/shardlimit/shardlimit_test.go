package shardlimit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// shard is a simulated shard: a queue served by a number of slots.
type shard struct {
	slots       int
	serviceTime time.Duration
	busyUntil   []time.Duration // By slot.
}

// arrive returns the time at which a request that arrives at now is answered.
func (s *shard) arrive(now time.Duration, rng *rand.Rand) time.Duration {
	if s.busyUntil == nil {
		s.busyUntil = make([]time.Duration, s.slots)
	}
	first := 0
	for i := range s.busyUntil {
		if s.busyUntil[i] < s.busyUntil[first] {
			first = i
		}
	}
	end := max(s.busyUntil[first], now) + time.Duration(float64(s.serviceTime)*(0.5+rng.Float64()))
	s.busyUntil[first] = end
	return end
}

// simulate sends a request every gap. It returns the fractions of requests that were answered within
// goal and that were shed.
func simulate(limited bool, slots int, serviceTime, gap, goal time.Duration, seed uint64) (inTime, shed float64) {
	rng := rand.New(rand.NewPCG(seed, 1))
	const entries = 9
	limiters := make([]*Limiter, entries)
	for i := range limiters {
		limiters[i] = New(DefaultSettings(), 0)
	}
	type answer struct {
		at, start time.Duration
		entry     int
	}
	var running []answer
	s := &shard{slots: slots, serviceTime: serviceTime}
	total, answeredInTime, shedCount := 0, 0, 0
	for now := time.Duration(0); now < 20*time.Second; now += gap {
		remaining := running[:0]
		for _, a := range running {
			if a.at > now {
				remaining = append(remaining, a)
				continue
			}
			ok := a.at-a.start <= goal
			limiters[a.entry].End(a.at, a.at-a.start <= goal/2, true)
			if ok {
				answeredInTime++
			}
		}
		running = remaining
		total++
		i := rng.IntN(entries)
		if limited && !limiters[i].CanStart() {
			shedCount++
			continue
		}
		limiters[i].Start()
		running = append(running, answer{at: s.arrive(now, rng), start: now, entry: i})
	}
	return float64(answeredInTime) / float64(total), float64(shedCount) / float64(total)
}

// Guards against a queue that makes every answer of an overloaded shard late: at twice its capacity,
// more than 35% of the requests must still be answered in time.
func TestOverloadedShardStillAnswersInTime(t *testing.T) {
	is := is.New(t)
	const slots, serviceTime, goal = 3, 15 * time.Millisecond, 100 * time.Millisecond
	gap := serviceTime / slots / 2
	withoutLimit, _ := simulate(false, slots, serviceTime, gap, goal, 1)
	withLimit, _ := simulate(true, slots, serviceTime, gap, goal, 1)
	t.Logf("fraction answered in time at twice the capacity: %.2f without the limit, %.2f with the limit", withoutLimit, withLimit)
	is.True(withoutLimit < 0.05)
	is.True(withLimit > 0.35) // at most 0.5 is possible
}

// Guards against shedding requests to a shard that has spare capacity.
func TestUnloadedShardIsNotLimited(t *testing.T) {
	is := is.New(t)
	const slots, serviceTime, goal = 3, 15 * time.Millisecond, 100 * time.Millisecond
	inTime, shed := simulate(true, slots, serviceTime, 2*serviceTime/slots, goal, 1)
	is.True(inTime > 0.99)
	is.Equal(shed, 0.0)
}

// Guards against a limit so low that no probe can raise it again, and against a wrong count of
// attempts in flight.
func TestLimitStaysInBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := DefaultSettings()
		l := New(s, 0)
		running := 0
		now := time.Duration(0)
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * time.Millisecond
			if running == 0 || rapid.Bool().Draw(t, "start") && l.CanStart() {
				l.Start()
				running++
			} else {
				l.End(now, rapid.Bool().Draw(t, "good"), rapid.Bool().Draw(t, "counted"))
				running--
			}
			if l.Limit() < int(s.Min) || l.Limit() > int(s.Max) || l.CanStart() != (running < l.Limit()) {
				t.Fatalf("limit %d with %d running", l.Limit(), running)
			}
		}
	})
}

func Example() {
	l := New(DefaultSettings(), 0)
	for i := range 40 { // no reply arrives in time
		l.Start()
		l.End(time.Duration(i)*50*time.Millisecond, false, true)
	}
	l.Start()
	fmt.Println(l.Limit(), l.CanStart())
	// Output: 1 false
}

func BenchmarkStartEnd(b *testing.B) {
	l := New(DefaultSettings(), 0)
	for b.Loop() {
		if l.CanStart() {
			l.Start()
			l.End(0, true, true)
		}
	}
}

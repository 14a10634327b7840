package shardroom

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// atLeast returns the Request.Sufficient of a request that needs a number of shards.
func atLeast(minimum int) func(int) bool { return func(shards int) bool { return shards >= minimum } }

func drawShards(t *rapid.T) []Shard {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Shard {
		return Shard{Usable: rapid.IntRange(0, 9).Draw(t, "usable") > 0, Free: rapid.IntRange(-2, 4).Draw(t, "free"), Contended: rapid.Bool().Draw(t, "contended")}
	}), 2, 40).Draw(t, "shards")
}

// A request is rejected exactly if too few usable shards have a free slot, and full shards are named only
// if free slots would have helped. Guards against a rejection of a request that could be answered, against
// an answer below the minimum, and against shards that are left out because others are unusable.
func TestRejectsOnlyBelowMinimum(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		shards := drawShards(t)
		minimum := rapid.IntRange(1, len(shards)).Draw(t, "minimum")
		available, usable := 0, 0
		for _, s := range shards {
			if s.Usable {
				usable++
			}
			if s.Usable && s.Free > 0 {
				available++
			}
		}
		d := DefaultSettings().Decide(Request{Sufficient: atLeast(minimum)}, shards)
		if d.Rejected != (available < minimum) || d.Available != available {
			t.Fatalf("%d of %d needed shards are available: %+v", available, minimum, d)
		}
		if d.Rejected && (len(d.Full) > 0) != (usable >= minimum) {
			t.Fatalf("%d of %d needed shards are usable: %+v", usable, minimum, d)
		}
	})
}

// Only contended shards with a free slot are left out, and the margin remains. Guards against answers
// that lack a shard that no other request needs, and against requests that one more failure makes fail.
func TestLeavesOutOnlyContendedShardsAboveMargin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, shards := DefaultSettings(), drawShards(t)
		minimum := rapid.IntRange(1, len(shards)).Draw(t, "minimum")
		d := s.Decide(Request{Sufficient: atLeast(minimum)}, shards)
		for _, i := range d.LeftOut {
			if !shards[i].Usable || shards[i].Free <= 0 || !shards[i].Contended {
				t.Fatalf("shard %d is left out: %+v", i, shards[i])
			}
		}
		if n := len(d.LeftOut); n > 0 && (d.Rejected || d.Available-n < minimum+s.Margin) {
			t.Fatalf("%d shards are left out of %d, %d are needed", n, d.Available, minimum)
		}
	})
}

// The requests that leave a shard out never exceed the number that the rejections permit, and there are
// none later than ContendedFor after the last rejection. Guards against a single rejection that costs
// many answers.
func TestRejectionsBoundWhatIsLeftOut(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := DefaultSettings()
		var c Contention
		rejections, leftOut := 0, 0
		now, last := time.Duration(0), -time.Hour
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond
			if rapid.IntRange(0, 9).Draw(t, "rejected") == 0 {
				c.RecordRejection(s, now, 1)
				rejections, last = rejections+1, now
			}
			if !c.Contended(now) {
				continue
			}
			if now-last >= s.ContendedFor {
				t.Fatalf("contended %v after the last rejection", now-last)
			}
			c.RecordLeftOut()
			if leftOut++; leftOut > rejections*s.LeftOutPerRejection {
				t.Fatalf("%d requests left the shard out after %d rejections", leftOut, rejections)
			}
		}
	})
}

// Guards against leaving out a shard with many free slots while one with few is used.
func TestLeavesOutTheFullestShards(t *testing.T) {
	is := is.New(t)
	shards := slices.Repeat([]Shard{{Usable: true, Free: 9}}, 36)
	shards[3], shards[7], shards[9] = Shard{Usable: true, Free: 2, Contended: true}, Shard{Usable: true, Free: 1, Contended: true}, Shard{Usable: true, Free: 5, Contended: true}
	d := DefaultSettings().Decide(Request{Sufficient: atLeast(32)}, shards)
	is.Equal(d.LeftOut, []int{7, 3})
}

// contest simulates one shard at which each service offers a request in every step, in random order. It
// calls observe after each step with the numbers of started requests by service.
func contest(seed uint64, slots, steps int, priorities []int, observe func(now time.Duration, c *Contention, started []int)) {
	s, rng := DefaultSettings(), rand.New(rand.NewPCG(seed, 1))
	s.UrgentFirst = true
	var c Contention
	var ends []time.Duration
	started := make([]int, len(priorities))
	for step := range steps {
		now := time.Duration(step) * 10 * time.Millisecond
		ends = slices.DeleteFunc(ends, func(end time.Duration) bool { return end <= now })
		for _, service := range rng.Perm(len(priorities)) {
			priority := priorities[service]
			shard := Shard{Usable: true, Free: slots - len(ends), Kept: c.SlotsKept(s, now, priority)}
			if s.Decide(Request{Sufficient: atLeast(1)}, []Shard{shard}).Rejected {
				c.RecordRejection(s, now, priority)
				continue
			}
			c.RecordStart(s, now, priority)
			started[service]++
			ends = append(ends, now+time.Duration(1+rng.IntN(8))*10*time.Millisecond)
		}
		observe(now, &c, started)
	}
}

// From its rejection on until it was not rejected for a second, a priority is never served less than a
// lower one of the same work by more than one slot. Guards against urgent requests that are rejected
// while others take the slots.
func TestHigherPriorityIsNotServedLess(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		priorities := []int{1, 2, 3}
		ahead := make([]int, len(priorities)) // By how much each priority exceeds the next one before the rejection.
		contest(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 5).Draw(t, "slots"), 500, priorities, func(now time.Duration, c *Contention, started []int) {
			for i, priority := range priorities[:len(priorities)-1] {
				lead := started[i] - started[i+1]
				if !slices.ContainsFunc(c.priorities, func(p priorityState) bool { return p.priority == priority && now < p.rejectedUntil }) {
					ahead[i] = lead
				} else if lead < ahead[i]-1 {
					t.Fatalf("at %v priority %d has started %d requests and priority %d %d", now, priority, started[i], priority+1, started[i+1])
				}
			}
		})
	})
}

// Every service gets a part of the slots, whatever the others offer. Guards against a service that is
// starved by more urgent ones or by others of its priority.
func TestNoServiceStarves(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var total []int
		contest(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 3).Draw(t, "slots"), 1500, []int{1, 1, 3}, func(_ time.Duration, _ *Contention, started []int) { total = started })
		sum := total[0] + total[1] + total[2]
		for service, n := range total {
			if n < sum/25 { // One request in nine may be of the lower priority.
				t.Fatalf("service %d has started %d of %d requests", service, n, sum)
			}
		}
	})
}

func Example() {
	s := DefaultSettings()
	var contention Contention
	shards := slices.Repeat([]Shard{{Usable: true, Free: 4}}, 36)
	shards[8].Free, shards[9].Free = 0, 0
	page := s.Decide(Request{Sufficient: atLeast(35)}, shards)
	contention.RecordRejection(s, 0, 2)
	shards[8] = Shard{Usable: true, Free: 1, Contended: contention.Contended(10 * time.Millisecond)}
	lookup := s.Decide(Request{Sufficient: atLeast(31)}, shards)
	fmt.Println(page.Rejected, page.Full, lookup.Rejected, lookup.LeftOut)
	// Output: true [8 9] false [8]
}

func BenchmarkDecide(b *testing.B) {
	s := DefaultSettings()
	shards := slices.Repeat([]Shard{{Usable: true, Free: 4}}, 36)
	shards[8].Contended, shards[9].Free = true, 0
	r := Request{Sufficient: atLeast(31)}
	for b.Loop() {
		s.Decide(r, shards)
	}
}

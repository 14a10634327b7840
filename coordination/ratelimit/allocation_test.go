package ratelimit_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/balsamstall/balsamstall/coordination/ratelimit"
)

// Guards against bursts: tokens that become valid at more than the allocated rate, whatever the rate
// and the order of the requests.
func TestTokensNeverExceedTheRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := ratelimit.NewAllocation(time.Hour, 2.5)
		now, valid := time.Hour, []time.Duration(nil)
		rates := rapid.SampledFrom([][]float64{{0}, {0.01}, {2.5}, {2.5, 40}, {1e6}}).Draw(t, "rates")
		maxRate := slices.Max(rates)
		for range rapid.IntRange(1, 200).Draw(t, "requests") {
			now += time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond
			perSecond := rapid.SampledFrom(rates).Draw(t, "rate")
			maxWait := time.Duration(rapid.IntRange(-10, 10_000).Draw(t, "wait")) * time.Millisecond
			g := a.Allocate(now, perSecond, rapid.IntRange(-1, 19).Draw(t, "rank"), maxWait)
			if !g.Granted {
				if g.Wait <= 0 {
					t.Fatalf("denied without a time to come back: %+v", g)
				}
				continue
			}
			at, interval := now+g.ValidAfter, time.Duration(float64(time.Second)/max(maxRate, 0.1))
			if g.ValidAfter < 0 || g.ValidAfter > max(maxWait, 0) {
				t.Fatalf("token %+v, waited for %v at most", g, maxWait)
			}
			valid = append(valid, at)
			slices.Sort(valid)
			// The reserve adds one token to those of any period.
			for i, from := range valid {
				for j := i + 2; j < len(valid); j++ {
					if least := time.Duration(j-i-1) * interval; valid[j]-from < least-time.Microsecond {
						t.Fatalf("%d tokens within %v", j-i+1, valid[j]-from)
					}
				}
			}
		}
	})
}

// Guards against urgent requests that lose their tokens to others, and against kinds that starve,
// while all kinds ask for more than the rate.
func TestUrgentRequestsComeFirst(t *testing.T) {
	is := is.New(t)
	a := ratelimit.NewAllocation(0, 20)
	rng := rand.New(rand.NewPCG(1, 2))
	granted := map[int]int{}
	for now := time.Duration(0); now < time.Minute; now += 2 * time.Millisecond {
		rank := 1 + rng.IntN(2)
		if a.Allocate(now, 20, rank, 150*time.Millisecond).Granted {
			granted[rank]++
		}
	}
	is.True(granted[1] >= 4*granted[2]) // Urgent requests get nearly all tokens.
	is.True(granted[2] >= 60*20/10)     // The others do not starve.
	is.True(granted[1]+granted[2] >= 60*20*9/10)
	is.True(granted[1]+granted[2] <= 60*20+20)
}

// Guards against a wait for a kind that no longer asks.
func TestOtherRequestsUseWhatUrgentOnesLeave(t *testing.T) {
	is := is.New(t)
	a := ratelimit.NewAllocation(0, 20)
	a.Allocate(0, 20, 1, 0)
	granted := 0
	for now := 3 * time.Second; now < 13*time.Second; now += 5 * time.Millisecond {
		if a.Allocate(now, 20, 5, 0).Granted {
			granted++
		}
	}
	is.True(granted >= 10*20*8/10)
}

// Guards against entries that choose different allocators although they know the same entries, and
// against allocators that cannot reach the target.
func TestAllocatorsDependOnTheEntriesOnly(t *testing.T) {
	is := is.New(t)
	var entries []ratelimit.Entry
	for i := range 30 {
		entries = append(entries, ratelimit.Entry{ID: fmt.Sprint("e", i), Zone: fmt.Sprint("z", i%3)})
	}
	count := map[string]int{}
	for i := range 300 {
		target := fmt.Sprint("t", i)
		chosen := ratelimit.Allocators(target, "z1", entries)
		rand.Shuffle(len(entries), func(i, j int) { entries[i], entries[j] = entries[j], entries[i] })
		is.Equal(chosen, ratelimit.Allocators(target, "z1", entries))
		is.Equal(len(chosen), ratelimit.AllocatorsPerTarget)
		for _, e := range chosen {
			is.Equal(e.Zone, "z1")
			count[e.ID]++
		}
	}
	is.Equal(len(count), 10) // Every entry of the zone takes a part.
	is.Equal(len(ratelimit.Allocators("t", "empty", entries)), ratelimit.AllocatorsPerTarget)
	is.Equal(len(ratelimit.Allocators("t", "z0", entries[:1])), 1)
	is.Equal(len(ratelimit.Allocators("t", "z0", nil)), 0)
}

// Guards against a token that is used twice, late, early or by a less urgent request, and against a
// request without one.
func TestTokensAreUsedOnce(t *testing.T) {
	is := is.New(t)
	k := ratelimit.NewTokens()
	k.RecordGrant("t", "e1", 2, time.Second, ratelimit.Grant{Granted: true, ValidAfter: 100 * time.Millisecond})
	k.RecordGrant("t", "e1", 2, time.Second, ratelimit.Grant{Granted: true, ValidAfter: 300 * time.Millisecond})
	is.True(!k.Take("t", 2, 1050*time.Millisecond)) // Not valid yet.
	is.Equal(k.Availability("t", nil, 2, 1050*time.Millisecond), 50*time.Millisecond)
	is.True(!k.Take("t", 3, 1100*time.Millisecond))                     // Granted to a more urgent kind.
	is.True(!k.Admit("t", 1100*time.Millisecond))                       // No token was taken.
	is.True(k.Take("t", 1, 1100*time.Millisecond))                      // A more urgent request may use it.
	is.True(!k.Take("t", 1, 1200*time.Millisecond))                     // The second token is not valid yet.
	is.True(k.Admit("t", 1300*time.Millisecond))                        // The request is sent.
	is.True(!k.Admit("t", 1300*time.Millisecond))                       // Only once.
	is.True(!k.Has("t", 2, 1300*time.Millisecond+600*time.Millisecond)) // The second token is void.
	k.Expire(time.Minute)
	k.RecordGrant("t", "e1", 3, time.Minute, ratelimit.Grant{Wait: time.Second})
	is.True(!k.MayAsk("t", "e1", 3, time.Minute))
	is.True(k.MayAsk("t", "e1", 2, time.Minute)) // More urgent.
	is.True(k.MayAsk("t", "e2", 3, time.Minute)) // Another allocator.
	is.Equal(k.Availability("t", []ratelimit.Entry{{ID: "e1"}}, 3, time.Minute), time.Second)
	k.Drop()
	is.True(k.MayAsk("t", "e1", 3, time.Minute))
}

func ExampleAllocation() {
	a := ratelimit.NewAllocation(0, 2) // The first token is valid after one interval.
	g := a.Allocate(400*time.Millisecond, 2, 1, 150*time.Millisecond)
	fmt.Println(g.Granted, g.ValidAfter)
	g = a.Allocate(400*time.Millisecond, 2, 1, 150*time.Millisecond)
	fmt.Println(g.Granted, g.Wait)
	// Output:
	// true 100ms
	// false 600ms
}

func BenchmarkAllocate(b *testing.B) {
	a := ratelimit.NewAllocation(0, 40)
	for i := range b.N {
		a.Allocate(time.Duration(i)*time.Millisecond, 40, 1+i%3, 150*time.Millisecond)
	}
}

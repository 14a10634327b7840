package ratelimit_test

import (
	"fmt"
	"math/rand/v2"
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
		var a ratelimit.Allocation
		now, last := time.Hour, time.Duration(0)
		for range rapid.IntRange(1, 200).Draw(t, "requests") {
			now += time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond
			perSecond := rapid.SampledFrom([]float64{0, 0.01, 2.5, 2.5, 2.5, 40, 1e6}).Draw(t, "rate")
			maxWait := time.Duration(rapid.IntRange(-10, 10_000).Draw(t, "wait")) * time.Millisecond
			g := a.Allocate(now, perSecond, rapid.IntRange(1, 9).Draw(t, "priority"), rapid.IntRange(-1, 100).Draw(t, "count"), maxWait)
			if g.Count == 0 {
				if g.Wait <= 0 || g.RetryAfter < g.Wait {
					t.Fatalf("denied without a time to come back: %+v", g)
				}
				continue
			}
			if first := now + g.First; g.Count > ratelimit.MaxTokens || g.First > max(maxWait, 0) || last > 0 && first < last {
				t.Fatalf("grant %+v after %v; the next token is due at %v", g, now, last)
			}
			last = now + g.First + time.Duration(g.Count)*g.Interval
			if perSecond == 0 && g.Interval < ratelimit.ProbeInterval {
				t.Fatalf("a limit of zero allows a request every %v", g.Interval)
			}
			// A rate that rises ends the booking at the lower rate.
			last = min(last, now)
		}
	})
}

// Guards against urgent requests that lose their tokens to others, and against kinds that starve,
// while all kinds ask for more than the rate.
func TestUrgentRequestsComeFirst(t *testing.T) {
	is := is.New(t)
	var a ratelimit.Allocation
	rng := rand.New(rand.NewPCG(1, 2))
	granted := map[int]int{}
	for now := time.Duration(0); now < time.Minute; now += 2 * time.Millisecond {
		priority := 1 + rng.IntN(2)
		granted[priority] += a.Allocate(now, 20, priority, 1, 150*time.Millisecond).Count
	}
	is.True(granted[1] >= 4*granted[2]) // Urgent requests get nearly all tokens.
	is.True(granted[2] >= 60*20/10)     // The others do not starve.
	is.True(granted[1]+granted[2] >= 60*20*9/10)
	is.True(granted[1]+granted[2] <= 60*20+20)
}

// Guards against a wait for a kind that no longer asks.
func TestOtherRequestsUseWhatUrgentOnesLeave(t *testing.T) {
	is := is.New(t)
	var a ratelimit.Allocation
	a.Allocate(0, 20, 1, 1, 0)
	granted := 0
	for now := 3 * time.Second; now < 13*time.Second; now += 5 * time.Millisecond {
		granted += a.Allocate(now, 20, 5, 1, 0).Count
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
	k.RecordGrant("t", "e1", 2, time.Second, ratelimit.Grant{Count: 2, First: 100 * time.Millisecond, Interval: 200 * time.Millisecond})
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
	k.RecordGrant("t", "e1", 3, time.Minute, ratelimit.Grant{Wait: time.Second, RetryAfter: 3 * time.Second})
	is.True(!k.MayAsk("t", "e1", 3, time.Minute))
	is.True(k.MayAsk("t", "e1", 2, time.Minute)) // More urgent.
	is.True(k.MayAsk("t", "e2", 3, time.Minute)) // Another allocator.
	is.Equal(k.Availability("t", []ratelimit.Entry{{ID: "e1"}}, 3, time.Minute), 3*time.Second)
	k.Drop()
	is.True(k.MayAsk("t", "e1", 3, time.Minute))
}

func ExampleAllocation() {
	var a ratelimit.Allocation
	a.Allocate(0, 2, 1, 1, 0) // The first token is valid after one interval.
	g := a.Allocate(400*time.Millisecond, 2, 1, 1, 150*time.Millisecond)
	fmt.Println(g.Count, g.First)
	g = a.Allocate(400*time.Millisecond, 2, 1, 1, 150*time.Millisecond)
	fmt.Println(g.Count, g.Wait)
	// Output:
	// 1 100ms
	// 0 450ms
}

func BenchmarkAllocate(b *testing.B) {
	var a ratelimit.Allocation
	for i := range b.N {
		a.Allocate(time.Duration(i)*time.Millisecond, 40, 1+i%3, 1, 150*time.Millisecond)
	}
}

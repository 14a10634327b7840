package callerage_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/balsamstall/balsamstall/coordination/callerage"
)

const ms = time.Millisecond

// Simulates calls of which half are retries, with one caller in 25 that waits twice as long.
// Guards against first calls that count as retries, and retries that count as first calls.
func TestRetryingCallersAreRecognized(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 1))
		tracker := callerage.New()
		wrong, retrying := 0, 0
		for n := range 2000 {
			fullWait := 2500 * ms
			if rng.IntN(25) == 0 {
				fullWait *= 2
			}
			waited := time.Duration(0)
			if rng.IntN(2) == 0 {
				waited = time.Duration(100+rng.IntN(1500)) * ms
			}
			remaining := fullWait - waited - time.Duration(rng.IntN(10))*ms
			got := tracker.RecordCall(time.Duration(n)*5*ms, remaining)
			if fullWait > 2500*ms || n < 100 {
				continue
			}
			if waited > 0 {
				retrying++
			}
			if (got > 0) != (waited > 0) || got-waited > 20*ms || waited-got > 20*ms {
				wrong++
			}
		}
		if wrong > 20 || retrying < 500 {
			t.Fatalf("seed %d: %d wrong estimates in 2000 calls, %d retries", seed, wrong, retrying)
		}
	}
}

// Guards against an estimate for callers that state no wait, and against one that stays after
// the callers' waits have changed.
func TestEstimateFollowsTheCallers(t *testing.T) {
	is := is.New(t)
	tracker := callerage.New()
	is.Equal(tracker.RecordCall(0, 0), time.Duration(0))
	is.Equal(tracker.RecordCall(0, 600*ms), time.Duration(0))
	is.Equal(tracker.RecordCall(ms, 400*ms), 200*ms)
	for n := range 100 {
		tracker.RecordCall(20*time.Second+time.Duration(n)*ms, 300*ms)
	}
	is.Equal(tracker.RecordCall(21*time.Second, 300*ms), time.Duration(0))
}

func BenchmarkRecordCall(b *testing.B) {
	tracker := callerage.New()
	b.ReportAllocs()
	for b.Loop() {
		tracker.RecordCall(time.Second, time.Second)
	}
}

func Example() {
	tracker := callerage.New()
	fmt.Println(tracker.RecordCall(0, 2500*ms), tracker.RecordCall(ms, 1700*ms))
	// Output: 0s 800ms
}

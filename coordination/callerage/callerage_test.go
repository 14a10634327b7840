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

// Plays the load that the package answers: half of the calls come from callers who return,
// and one caller in 25 is twice as patient. Guards against first calls that count as
// returning ones, and the other way round.
func TestReturningCallersAreTold(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 1))
		tracker := callerage.New()
		wrong, returning := 0, 0
		for n := range 2000 {
			whole := 2500 * ms
			if rng.IntN(25) == 0 {
				whole *= 2
			}
			waited := time.Duration(0)
			if rng.IntN(2) == 0 {
				waited = time.Duration(100+rng.IntN(1500)) * ms
			}
			told := whole - waited - time.Duration(rng.IntN(10))*ms
			got := tracker.Waited(time.Duration(n)*5*ms, told)
			if whole > 2500*ms || n < 100 {
				continue
			}
			if waited > 0 {
				returning++
			}
			if (got > 0) != (waited > 0) || got-waited > 20*ms || waited-got > 20*ms {
				wrong++
			}
		}
		if wrong > 20 || returning < 500 {
			t.Fatalf("seed %d: %d wrong of 2000, %d returning", seed, wrong, returning)
		}
	}
}

// Guards against an estimate where callers tell nothing, and one that outlives a change of
// the callers' patience.
func TestEstimateFollowsTheCallers(t *testing.T) {
	is := is.New(t)
	tracker := callerage.New()
	is.Equal(tracker.Waited(0, 0), time.Duration(0))
	is.Equal(tracker.Waited(0, 600*ms), time.Duration(0))
	is.Equal(tracker.Waited(ms, 400*ms), 200*ms)
	for n := range 100 {
		tracker.Waited(20*time.Second+time.Duration(n)*ms, 300*ms)
	}
	is.Equal(tracker.Waited(21*time.Second, 300*ms), time.Duration(0))
}

func BenchmarkWaited(b *testing.B) {
	tracker := callerage.New()
	b.ReportAllocs()
	for b.Loop() {
		tracker.Waited(time.Second, time.Second)
	}
}

func Example() {
	tracker := callerage.New()
	fmt.Println(tracker.Waited(0, 2500*ms), tracker.Waited(ms, 1700*ms))
	// Output: 0s 800ms
}

package readiness

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// feed counts results at ten a second until the given time.
func feed(j *Judge, from, to time.Duration, served bool) {
	for now := from; now < to; now += 100 * time.Millisecond {
		j.Result(now, served)
	}
}

// Guards against an entry in a cut zone that keeps callers whom others could serve.
func TestCutOffEntryTurnsCallersAway(t *testing.T) {
	is := is.New(t)
	j := New(DefaultSettings(), 0)
	feed(j, 0, 5*time.Second, true)
	is.True(j.Fit(5*time.Second, 4900*time.Millisecond, true))
	feed(j, 5*time.Second, 7*time.Second, false)
	is.True(!j.Fit(7*time.Second, 5*time.Second, true))
	// The cut ends: news from the other zone are enough, because nobody calls.
	is.True(j.Fit(10*time.Second, 9900*time.Millisecond, true))
}

// Guards against entries that all turn callers away because targets are down: they
// hear each other.
func TestFailingTargetsAreNoReason(t *testing.T) {
	is := is.New(t)
	j := New(DefaultSettings(), 0)
	feed(j, 0, 5*time.Second, false)
	is.True(j.Fit(5*time.Second, 4900*time.Millisecond, true))
	is.True(j.Fit(5*time.Second, 0, false)) // One zone only.
}

// Guards against an entry that serves and turns callers away because the others
// stopped.
func TestServingEntryStaysReady(t *testing.T) {
	is := is.New(t)
	j := New(DefaultSettings(), 0)
	feed(j, 0, 9*time.Second, true)
	is.True(j.Fit(9*time.Second, 0, true))
}

// Guards against an entry that never asks for callers again.
func TestUnfitEntryTriesAgain(t *testing.T) {
	is := is.New(t)
	j := New(DefaultSettings(), 0)
	feed(j, 0, 2*time.Second, false)
	is.True(!j.Fit(2*time.Second, 0, true))
	is.True(j.Fit(18*time.Second, 0, true))
}

func Example() {
	j := New(DefaultSettings(), 0)
	for range 5 {
		j.Result(1800*time.Millisecond, false)
	}
	fmt.Println(j.Fit(2*time.Second, 1900*time.Millisecond, true), j.Fit(2*time.Second, 0, true))
	// Output: true false
}

func BenchmarkFit(b *testing.B) {
	j := New(DefaultSettings(), 0)
	for b.Loop() {
		j.Result(0, true)
		j.Fit(0, 0, true)
	}
}

package rampup

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against a weight that decreases, starts below MinWeight, exceeds 1 or does not reach 1.
func TestWeightGrowsToOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := Settings{
			Duration:  time.Duration(rapid.IntRange(0, 10_000).Draw(t, "ms")) * time.Millisecond,
			MinWeight: rapid.Float64Range(0.01, 1).Draw(t, "least"),
		}
		cold := time.Duration(rapid.IntRange(0, 1_000).Draw(t, "cold")) * time.Millisecond
		a := time.Duration(rapid.IntRange(0, 20_000).Draw(t, "a")) * time.Millisecond
		b := a + time.Duration(rapid.IntRange(0, 20_000).Draw(t, "b"))*time.Millisecond
		wa, wb := s.Weight(a, cold), s.Weight(b, cold)
		if wa < s.MinWeight || wb < wa || wb > 1 || b >= cold+s.Duration && wb != 1 {
			t.Fatalf("weight %v at %v and %v at %v", wa, a, wb, b)
		}
	})
}

func BenchmarkWeight(b *testing.B) {
	s, now := DefaultSettings(), time.Duration(0)
	b.ReportAllocs()
	for b.Loop() {
		now += time.Microsecond
		s.Weight(now, 0)
	}
}

func Example() {
	s := DefaultSettings()
	coldSince := 10 * time.Second
	for _, now := range []time.Duration{10 * time.Second, 11500 * time.Millisecond, 13 * time.Second} {
		fmt.Println(s.Weight(now, coldSince))
	}
	// Output:
	// 0.5
	// 0.75
	// 1
}

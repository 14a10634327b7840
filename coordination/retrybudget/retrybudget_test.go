package retrybudget

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against more retries than the successes and the reserve allow, and against a refusal while
// retries remain in the budget.
func TestRetriesStayInBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := Settings{
			Ratio:            rapid.Float64Range(0, 1).Draw(t, "ratio"),
			Burst:            rapid.Float64Range(0, 50).Draw(t, "burst"),
			ReservePerSecond: rapid.Float64Range(0, 5).Draw(t, "reserve"),
		}
		b, now := New(s, 0), time.Duration(0)
		successes, retries := 0, 0
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond
			n := rapid.IntRange(0, 20).Draw(t, "successes")
			successes += n
			b.AddSuccesses(n)
			allowed := b.Tokens(now) >= 2
			if b.TryRetry(now) {
				retries++
			} else if allowed {
				t.Fatalf("refused with tokens left")
			}
		}
		most := s.Ratio*float64(successes) + s.ReservePerSecond*now.Seconds() + b.maxReserve()
		if float64(retries) > most+1e-6 {
			t.Fatalf("%d retries, at most %v", retries, most)
		}
	})
}

func BenchmarkTryRetry(b *testing.B) {
	budget, now := New(DefaultSettings(), 0), time.Duration(0)
	b.ReportAllocs()
	for b.Loop() {
		now += time.Microsecond
		budget.AddSuccesses(1)
		budget.TryRetry(now)
	}
}

func Example() {
	budget := New(DefaultSettings(), 0)
	fmt.Println(budget.TryRetry(0), budget.TryRetry(0)) // the reserve covers one
	budget.AddSuccesses(10)
	fmt.Println(budget.TryRetry(0), budget.TryRetry(0)) // ten successes earn one
	// Output:
	// true false
	// true false
}

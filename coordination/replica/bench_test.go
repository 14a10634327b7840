package replica

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// newAttemptLoop returns a function that runs one attempt: Pick, Start and Finish.
func newAttemptLoop(targets int) func() {
	rng := rand.New(rand.NewPCG(1, 2))
	s := DefaultSettings()
	stats := make([]*Stats, targets)
	candidates := make([]Candidate, targets)
	for i := range stats {
		stats[i] = NewStats(s, 0)
		stats[i].Finish(stats[i].Start(0), time.Millisecond, Success)
		candidates[i].Target = i
	}
	now := time.Duration(0)
	score := func(target int) Score { return stats[target].Score(now) }
	return func() {
		now += 100 * time.Microsecond
		i, _ := Pick(rng, candidates, score)
		stats[i].Finish(stats[i].Start(now), now+time.Millisecond, Success)
	}
}

func BenchmarkAttempt(b *testing.B) {
	for _, targets := range []int{3, 10, 100, 1_000, 10_000} {
		b.Run(fmt.Sprintf("targets=%d", targets), func(b *testing.B) {
			attempt := newAttemptLoop(targets)
			b.ReportAllocs()
			for b.Loop() {
				attempt()
			}
		})
	}
}

package outage

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const maxGap = 3 * time.Second

var start = time.Unix(1_700_000_000, 0)

func second(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }

// Guards against spans that depend on the order in which an entry hears of answers.
func TestJoinDoesNotDependOnTheOrder(t *testing.T) {
	span := rapid.Custom(func(t *rapid.T) Span {
		since := rapid.IntRange(0, 40).Draw(t, "since")
		return Span{second(float64(since)), second(float64(since + rapid.IntRange(0, 10).Draw(t, "length")))}
	})
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		a, b := span.Draw(t, "a"), span.Draw(t, "b")
		is.Equal(a.Join(b, maxGap), b.Join(a, maxGap))
		is.Equal(a.Join(a, maxGap), a)
		is.Equal(a.Join(Span{}, maxGap), a)
		is.Equal(Span{}.Join(a, maxGap), a)
	})
}

// Guards against an outage that entries forget, and one that they assume, while they read by turns and tell each other.
func TestEntriesKnowTheLastOutage(t *testing.T) {
	const entries, watchPause = 5, 1.5
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		outageStart := rapid.Float64Range(5, 20).Draw(t, "outage start")
		outageEnd := outageStart + rapid.SampledFrom([]float64{0, 4.6, 8}).Draw(t, "outage")
		var spans [entries]Span
		var failed [entries]bool
		watcher := 0
		for now := 0.0; now < 40; now += 0.5 {
			if rapid.IntRange(0, 9).Draw(t, "handover") == 0 {
				watcher = rapid.IntRange(0, entries-1).Draw(t, "watcher")
			}
			down := now >= outageStart && now < outageEnd
			for e := range entries {
				if age := second(now).Sub(spans[e].Until).Seconds(); e != watcher && age < 4 || e == watcher && age < watchPause {
					continue
				}
				gap := maxGap
				if !failed[e] {
					gap = 5 * time.Second // The entry has not called in the meantime.
				}
				if failed[e] = down; !down {
					spans[e] = spans[e].Join(At(second(now)), gap)
				}
			}
			a, b := rapid.IntRange(0, entries-1).Draw(t, "a"), rapid.IntRange(0, entries-1).Draw(t, "b")
			joined := spans[a].Join(spans[b], maxGap)
			spans[a], spans[b] = joined, joined
			for _, s := range spans {
				outage := outageEnd > outageStart && !s.Until.Before(second(outageEnd))
				is.True(!outage || !s.Since.Before(second(outageEnd)))
				is.True(outage || s.IsZero() || s.Since.Before(second(5.5))) // No outage before.
			}
		}
	})
}

func BenchmarkJoin(b *testing.B) {
	s := At(second(0))
	for i := range b.N {
		s = s.Join(At(second(float64(i))), maxGap)
	}
}

func Example() {
	known := Span{Since: second(0), Until: second(10)}
	fmt.Println(known.Join(At(second(12)), maxGap).Since.Sub(start))
	fmt.Println(known.Join(At(second(16)), maxGap).Since.Sub(start))
	// Output:
	// 0s
	// 16s
}

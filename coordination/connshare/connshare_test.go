package connshare

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Guards against entries that together exceed a target's connection limit, and against an entry
// that may not connect at all.
func TestSharesStayInTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit, entries := rapid.IntRange(0, 200).Draw(t, "limit"), rapid.IntRange(0, 20).Draw(t, "entries")
		share := Share(limit, entries)
		if share < 1 || share > 1 && share*entries > limit {
			t.Fatalf("share %d of %d for %d entries", share, limit, entries)
		}
		inUse := rapid.IntRange(0, share).Draw(t, "inUse")
		spares := SpareConnections(share, inUse, rapid.IntRange(0, 300).Draw(t, "peak"))
		if spares < 0 || inUse+spares > share || inUse < share && spares == 0 {
			t.Fatalf("%d spares with %d of %d in use", spares, inUse, share)
		}
	})
}

// Guards against more dials in any interval than the rate and the burst allow.
func TestDialsStayInTheRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		s := DefaultSettings()
		p, now := NewPacer(s), time.Duration(0)
		var dials []time.Duration
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond
			wait, ok := p.Reserve(now, rng)
			if wait < 0 || wait > s.MaxWait {
				t.Fatalf("wait %v", wait)
			}
			if ok {
				dials = append(dials, now+wait)
			}
			if rapid.IntRange(0, 9).Draw(t, "fails") == 0 {
				p.RecordFailure(now, rng)
			}
		}
		for i := range dials {
			for j := i + s.Burst; j < len(dials); j++ {
				least := time.Duration(float64(j-i+1-s.Burst) / s.DialsPerSecond * float64(time.Second))
				if dials[j]-dials[i] < least-time.Microsecond {
					t.Fatalf("%d dials in %v", j-i+1, dials[j]-dials[i])
				}
			}
		}
	})
}

// Guards against dials at the full rate to a target that refuses them.
func TestFailuresBackOff(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(1, 1))
	p, now, dials := NewPacer(DefaultSettings()), time.Duration(0), 0
	for ; now < time.Minute; now += 10 * time.Millisecond {
		if wait, ok := p.Reserve(now, rng); ok {
			dials++
			now += wait
			p.RecordFailure(now, rng)
		}
	}
	is.True(dials >= 8)  // the target is still dialed
	is.True(dials <= 30) // 1,200 without backoff
	p.RecordSuccess()
	wait, ok := p.Reserve(now, rng)
	is.True(ok)
	is.Equal(wait, time.Duration(0))
}

func BenchmarkReserve(b *testing.B) {
	rng := rand.New(rand.NewPCG(1, 1))
	p, now := NewPacer(DefaultSettings()), time.Duration(0)
	b.ReportAllocs()
	for b.Loop() {
		now += 10 * time.Millisecond
		p.Reserve(now, rng)
		SpareConnections(Share(30, 9), 1, 2)
	}
}

func Example() {
	fmt.Println(Share(30, 9), Share(110, 9), Share(5, 9))
	fmt.Println(SpareConnections(12, 4, 6)) // a quarter above 6, rounded up, less the 4 in use
	// Output:
	// 3 12 1
	// 4
}

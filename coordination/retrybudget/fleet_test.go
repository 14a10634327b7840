package retrybudget

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// fleetEvent is a request or a repeat that reached a target.
type fleetEvent struct {
	at     time.Duration
	repeat bool
}

// excess returns the largest excess of repeats over the bound in any window. The requests are those
// of the window itself, of the window before it or of the window that starts half a window earlier,
// whichever has most.
func excess(events []fleetEvent, s FleetSettings) float64 {
	count := func(from, to time.Duration, repeat bool) int {
		n := 0
		for _, e := range events {
			if e.repeat == repeat && e.at > from && e.at <= to {
				n++
			}
		}
		return n
	}
	worst := -s.Minimum
	for _, e := range events {
		if !e.repeat {
			continue
		}
		end := e.at
		repeats := count(end-s.Window, end, true)
		requests := max(count(end-s.Window, end, false), count(end-2*s.Window, end-s.Window, false),
			count(end-3*s.Window/2, end-s.Window/2, false))
		worst = max(worst, float64(repeats)-s.Ratio*float64(requests)-s.Minimum)
	}
	return worst
}

// Guards against a bound that holds for each entry but not for the fleet, when entries are killed
// and restarted, demand is uneven and every sub-request fails.
func TestFleetStaysWithinTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := FleetSettings{Ratio: 0.2, Minimum: 58, Window: 10 * time.Second}
		entries := rapid.IntRange(1, 12).Draw(t, "entries")
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		shares := make([]*FleetShare, entries)
		for i := range shares {
			shares[i] = NewFleetShare(s, -s.Window)
		}
		var events []fleetEvent
		for now := time.Duration(0); now < 40*time.Second; now += 20 * time.Millisecond {
			if rng.Float64() < 0.002 { // All processes are killed and restarted at the same time.
				for i := range shares {
					shares[i] = NewFleetShare(s, now)
				}
			}
			i := rng.IntN(entries) * rng.IntN(2) // Entry 0 gets half of the requests.
			shares[i].AddRequests(now, 1)
			events = append(events, fleetEvent{at: now})
			for range 2 {
				if shares[i].TryRepeat(now, 1/float64(entries)) {
					events = append(events, fleetEvent{at: now, repeat: true})
				}
			}
		}
		if worst := excess(events, s); worst > 0 {
			t.Fatalf("the fleet exceeds the bound by %.1f repeats", worst)
		}
	})
}

// Guards against an entry without requests being denied a repeat that its fraction of the minimum
// covers.
func TestMinimumIsSharedEvenly(t *testing.T) {
	is := is.New(t)
	s := FleetSettings{Ratio: 0.2, Minimum: 50, Window: 10 * time.Second}
	f := NewFleetShare(s, 0)
	is.True(!f.TryRepeat(time.Second, 1.0/9)) // No fraction of the minimum in the first window.
	n := 0
	for f.TryRepeat(20*time.Second, 1.0/9) {
		n++
	}
	is.Equal(n, 5) // 0.9 x 50 / 9
	is.True(!f.TryRepeat(29*time.Second, 1.0/9))
	is.True(f.TryRepeat(31*time.Second, 1.0/9))
}

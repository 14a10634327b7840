package homes

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/balsamstall/balsamstall/coordination/retrybudget"
)

// simulated is one process of a simulated fleet and what it knows of the others.
type simulated struct {
	share *retrybudget.FleetShare
	// heard is when each entry was last known to live.
	heard []time.Duration
	// cut is set while the entry hears nobody and nobody hears it; down while it does not
	// run; frozen until that time.
	cut, down bool
	frozen    time.Duration
	// part is the entry's part of the minimum, as it was last decided.
	part float64
}

const (
	simulatedStep    = 250 * time.Millisecond
	simulatedEntries = 200
	simulatedZones   = 5
)

// fleetSimulation plays kills, cuts and freezes of single entries, homes before others,
// and losses of the whole fleet. Every entry repeats whenever it may.
type fleetSimulation struct {
	rng     *rand.Rand
	entries []Entry
	nodes   []*simulated
	bound   retrybudget.FleetSettings
	// repeats and requests count those of each step.
	repeats, requests []int
}

func newFleetSimulation(seed uint64) *fleetSimulation {
	f := &fleetSimulation{
		rng:     rand.New(rand.NewPCG(seed, 1)),
		entries: fleet(simulatedZones, simulatedEntries/simulatedZones, 3),
		bound:   retrybudget.FleetSettings{Ratio: 0.2, Minimum: 430, Window: 10 * time.Second},
	}
	for range f.entries {
		f.nodes = append(f.nodes, f.start(-f.bound.Window))
	}
	return f
}

func (f *fleetSimulation) start(now time.Duration) *simulated {
	n := &simulated{share: retrybudget.NewFleetShare(f.bound, now), heard: make([]time.Duration, len(f.entries))}
	for i := range n.heard {
		n.heard[i] = now
	}
	return n
}

// assignment is the view of entry i.
func (f *fleetSimulation) assignment(now time.Duration, i int) Assignment {
	others := make([]Entry, 0, len(f.entries)-1)
	for j, e := range f.entries {
		if j != i {
			e.Silent = now - f.nodes[i].heard[j]
			others = append(others, e)
		}
	}
	return Assign(NewSettings(), f.entries[i], others)
}

// gossip brings news of each entry that can be heard, up to 2 s late.
func (f *fleetSimulation) gossip(now time.Duration) {
	for _, n := range f.nodes {
		if n.cut || n.down || now < n.frozen {
			continue
		}
		for j, other := range f.nodes {
			if !other.cut && !other.down && now >= other.frozen {
				n.heard[j] = max(n.heard[j], now-time.Duration(f.rng.Int64N(int64(2*time.Second))))
			}
		}
	}
}

// trouble brings one disruption about, of a home in half of the cases.
func (f *fleetSimulation) trouble(now time.Duration) {
	i := f.rng.IntN(len(f.entries))
	if f.rng.IntN(2) == 0 {
		perZone := simulatedEntries / simulatedZones
		i = f.rng.IntN(simulatedZones)*perZone + f.rng.IntN(3)
	}
	switch f.rng.IntN(6) {
	case 0: // Killed and started again, or started again after the kill.
		f.nodes[i] = f.start(now)
	case 1:
		f.nodes[i].down = true
	case 2:
		f.nodes[i].cut = !f.nodes[i].cut
	case 3:
		f.nodes[i].frozen = now + time.Duration(f.rng.Int64N(int64(20*time.Second)))
	case 4:
		for j, n := range f.nodes {
			if n.down {
				f.nodes[j] = f.start(now)
			}
		}
	case 5:
		if f.rng.IntN(8) == 0 { // All lose power.
			for j := range f.nodes {
				f.nodes[j] = f.start(now)
			}
		}
	}
}

// step plays the requests of one step. Each entry that runs gets some, and repeats as
// often as it may.
func (f *fleetSimulation) step(now time.Duration) {
	requests, repeats := 0, 0
	for i, n := range f.nodes {
		if n.down || now < n.frozen {
			continue
		}
		if f.rng.IntN(10) == 0 {
			n.share.AddRequests(now, 1)
			requests++
		}
		if n.part == 0 || f.rng.IntN(8) == 0 { // Entries decide at times of their own.
			a := f.assignment(now, i)
			n.part = a.RepeatPart()
		}
		for n.share.TryRepeat(now, n.part) {
			repeats++
		}
	}
	f.requests = append(f.requests, requests)
	f.repeats = append(f.repeats, repeats)
}

// excess returns the largest excess of the repeats of a window over the bound.
func (f *fleetSimulation) excess() float64 {
	window := int(f.bound.Window / simulatedStep)
	sum := func(counts []int, end int) int {
		n := 0
		for k := max(end-window, 0); k < end && k < len(counts); k++ {
			n += counts[k]
		}
		return n
	}
	worst := -f.bound.Minimum
	for end := 1; end <= len(f.repeats); end++ {
		requests := max(sum(f.requests, end), sum(f.requests, end-window), sum(f.requests, end-window/2))
		worst = max(worst, float64(sum(f.repeats, end))-f.bound.Ratio*float64(requests)-f.bound.Minimum)
	}
	return worst
}

// Guards against a bound on repeats that 200 entries exceed together while homes are
// killed, cut off, frozen or not known yet.
func TestFleetWithHomesStaysWithinTheBoundOnRepeats(t *testing.T) {
	const seeds = 6
	first := rand.Uint64()
	for seed := first; seed < first+seeds; seed++ {
		f := newFleetSimulation(seed)
		for now := time.Duration(0); now < 30*time.Second; now += simulatedStep {
			if f.rng.IntN(6) == 0 {
				f.trouble(now)
			}
			f.gossip(now)
			f.step(now)
		}
		if worst := f.excess(); worst > 0 {
			t.Fatalf("seed %d: the fleet exceeds the bound by %.1f repeats", seed, worst)
		}
	}
}

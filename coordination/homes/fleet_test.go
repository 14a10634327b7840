package homes

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/balsamstall/balsamstall/coordination/retrybudget"
)

// simulatedEntry is one process of a simulated fleet and its view of the others.
type simulatedEntry struct {
	share *retrybudget.FleetShare
	// lastSeen holds the time at which each entry was last known to be alive.
	lastSeen []time.Duration
	// partitioned is set while the entry exchanges no messages, and down while its process is
	// not running. The process is paused until pausedUntil.
	partitioned, down bool
	pausedUntil       time.Duration
	// repeatMinimumFraction is the entry's last computed RepeatMinimumFraction.
	repeatMinimumFraction float64
}

const (
	simulatedStep    = 250 * time.Millisecond
	simulatedEntries = 200
	simulatedZones   = 5
)

// fleetSimulation simulates kills, partitions and pauses of single entries, preferably homes, and
// failures of the whole fleet. Every entry repeats as often as it is allowed to.
type fleetSimulation struct {
	rng     *rand.Rand
	entries []Entry
	nodes   []*simulatedEntry
	bound   retrybudget.FleetSettings
	// repeats and requests hold the counts of each step.
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

func (f *fleetSimulation) start(now time.Duration) *simulatedEntry {
	n := &simulatedEntry{share: retrybudget.NewFleetShare(f.bound, now), lastSeen: make([]time.Duration, len(f.entries))}
	for i := range n.lastSeen {
		n.lastSeen[i] = now
	}
	return n
}

// assignment returns the assignment in the view of entry i.
func (f *fleetSimulation) assignment(now time.Duration, i int) Assignment {
	others := make([]Entry, 0, len(f.entries)-1)
	for j, e := range f.entries {
		if j != i {
			e.SinceLastSeen = now - f.nodes[i].lastSeen[j]
			others = append(others, e)
		}
	}
	return Assign(DefaultSettings(), f.entries[i], others)
}

// gossip gives every reachable entry news of each other reachable entry, up to 2 s old.
func (f *fleetSimulation) gossip(now time.Duration) {
	for _, n := range f.nodes {
		if n.partitioned || n.down || now < n.pausedUntil {
			continue
		}
		for j, other := range f.nodes {
			if !other.partitioned && !other.down && now >= other.pausedUntil {
				n.lastSeen[j] = max(n.lastSeen[j], now-time.Duration(f.rng.Int64N(int64(2*time.Second))))
			}
		}
	}
}

// injectFault injects one fault, in half of the cases at one of the entries that become homes.
func (f *fleetSimulation) injectFault(now time.Duration) {
	i := f.rng.IntN(len(f.entries))
	if f.rng.IntN(2) == 0 {
		perZone := simulatedEntries / simulatedZones
		i = f.rng.IntN(simulatedZones)*perZone + f.rng.IntN(3)
	}
	switch f.rng.IntN(6) {
	case 0: // Restart, after a kill now or earlier.
		f.nodes[i] = f.start(now)
	case 1:
		f.nodes[i].down = true
	case 2:
		f.nodes[i].partitioned = !f.nodes[i].partitioned
	case 3:
		f.nodes[i].pausedUntil = now + time.Duration(f.rng.Int64N(int64(20*time.Second)))
	case 4:
		for j, n := range f.nodes {
			if n.down {
				f.nodes[j] = f.start(now)
			}
		}
	case 5:
		if f.rng.IntN(8) == 0 { // Power failure of the whole fleet.
			for j := range f.nodes {
				f.nodes[j] = f.start(now)
			}
		}
	}
}

// step simulates the requests of one step. Every running entry receives some and repeats as often as
// it is allowed to.
func (f *fleetSimulation) step(now time.Duration) {
	requests, repeats := 0, 0
	for i, n := range f.nodes {
		if n.down || now < n.pausedUntil {
			continue
		}
		if f.rng.IntN(10) == 0 {
			n.share.AddRequests(now, 1)
			requests++
		}
		if n.repeatMinimumFraction == 0 || f.rng.IntN(8) == 0 { // Entries do not update their views at the same time.
			a := f.assignment(now, i)
			n.repeatMinimumFraction = a.RepeatMinimumFraction()
		}
		for n.share.TryRepeat(now, n.repeatMinimumFraction) {
			repeats++
		}
	}
	f.requests = append(f.requests, requests)
	f.repeats = append(f.repeats, repeats)
}

// maxExcess returns the largest number of repeats above the bound in any window.
func (f *fleetSimulation) maxExcess() float64 {
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

// Guards against 200 entries that together exceed the bound on repeats while homes are killed,
// partitioned, paused or not yet known.
func TestFleetWithHomesStaysWithinRepeatBound(t *testing.T) {
	const seeds = 6
	first := rand.Uint64()
	for seed := first; seed < first+seeds; seed++ {
		f := newFleetSimulation(seed)
		for now := time.Duration(0); now < 30*time.Second; now += simulatedStep {
			if f.rng.IntN(6) == 0 {
				f.injectFault(now)
			}
			f.gossip(now)
			f.step(now)
		}
		if worst := f.maxExcess(); worst > 0 {
			t.Fatalf("seed %d: the fleet exceeds the bound by %.1f repeats", seed, worst)
		}
	}
}

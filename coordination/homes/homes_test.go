package homes

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// fleet returns entries in zones "a", "b" and so on. The first large entries of each zone have more
// capacity than the rest.
func fleet(zones, perZone, large int) []Entry {
	var all []Entry
	for z := range zones {
		for i := range perZone {
			e := Entry{ID: fmt.Sprintf("e-%c-%d", 'a'+z, i), Zone: string(rune('a' + z)), Capacity: 192}
			if i < large {
				e.Capacity = 800
			}
			all = append(all, e)
		}
	}
	return all
}

// assign returns the assignment in the view of entry i.
func assign(all []Entry, i int) Assignment {
	return Assign(NewSettings(), all[i], slices.Delete(slices.Clone(all), i, i+1))
}

func avoidNone(string) bool { return false }

// Guards against an extra network hop in a small fleet, which gains nothing from homes.
func TestSmallFleetHasNoHomes(t *testing.T) {
	is := is.New(t)
	all := fleet(3, 3, 0)
	a := assign(all, 0)
	is.True(a.IsHome)
	is.True(!a.Active())
	connections, sharers := a.SharedConnections(31)
	is.Equal([]int{connections, sharers}, []int{31, 9})
	is.Equal(len(a.OfferOrder(rand.New(rand.NewPCG(1, 1)), 3, avoidNone)), 0)
}

// Guards against homes on small hosts in a zone with larger ones, and against entries that choose
// different homes from the same information.
func TestHomesAreTheLargestEntriesOfEachZone(t *testing.T) {
	is := is.New(t)
	all := fleet(5, 39, 3)
	for i := range all {
		a := assign(all, i)
		is.Equal(a.Homes, 15)
		is.Equal(a.IsHome, all[i].Capacity == 800)
		for _, h := range append(a.SameZone, a.OtherZones...) {
			is.Equal(h.Capacity, uint32(800))
		}
	}
}

// Guards against offering a request to a home that is draining, not seen or avoided, and against a
// zone without available homes that does not use those of other zones.
func TestOfferOrderLeavesOutUnavailableHomes(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(1, 2))
	all := fleet(2, 16, 2)
	all[0].Draining = true
	a := assign(all, 5)
	is.Equal(len(a.SameZone), 1)
	order := a.OfferOrder(rng, 3, avoidNone)
	is.Equal(order[0].ID, "e-a-1")
	is.Equal(order[1].Zone, "b")
	order = a.OfferOrder(rng, 3, func(id string) bool { return id == "e-a-1" })
	is.Equal(len(order), 2)
	is.Equal(order[0].Zone, "b")

	all[1].SinceLastSeen = DefaultReplaceAfter
	a = assign(all, 5)
	is.Equal(len(a.SameZone), 1) // A live entry has replaced the one not seen.
	is.True(a.SameZone[0].ID != "e-a-1")
}

// Guards against a partitioned home that continues to use the share of its replacement.
func TestHomeResignsBeforeItIsReplaced(t *testing.T) {
	is := is.New(t)
	all := fleet(2, 16, 2)
	for i := range all[1:] {
		all[i+1].SinceLastSeen = DefaultResignAfter
	}
	is.True(!assign(all, 0).IsHome)
	is.True(DefaultResignAfter < DefaultReplaceAfter)
}

// Guards against shares of repeats that add up to more than the fleet's bound when entries are dead
// or partitioned, or disagree on which entries were seen.
func TestRepeatMinimumFractionsSumToAtMostOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zones := rapid.IntRange(1, 5).Draw(t, "zones")
		all := fleet(zones, rapid.IntRange(2, 40).Draw(t, "entries of a zone"), rapid.IntRange(0, 4).Draw(t, "large entries of a zone"))
		// At most one home of each zone is partitioned: it resigns after 5 s without news and is
		// replaced after 10 s.
		sinceLastSeen := time.Duration(rapid.IntRange(0, 20_000).Draw(t, "silence in ms")) * time.Millisecond
		partitioned := make(map[int]bool)
		for z := range zones {
			if rapid.Bool().Draw(t, "one home is isolated") {
				perZone := len(all) / zones
				for i := z * perZone; i < (z+1)*perZone; i++ {
					if assign(all, i).IsHome {
						partitioned[i] = true
						break
					}
				}
			}
		}
		sum := 0.0
		for i := range all {
			view := slices.Clone(all)
			for j := range view {
				if i != j && (partitioned[i] || partitioned[j]) {
					view[j].SinceLastSeen = sinceLastSeen
				}
			}
			a := assign(view, i)
			sum += a.RepeatMinimumFraction()
		}
		if sum > 1+1e-9 {
			t.Fatalf("the fractions add up to %.4f, more than 1", sum)
		}
	})
}

// Guards against exceeding the connection limit of a target when every entry uses its full share.
func TestSharedConnectionsStayWithinTheLimit(t *testing.T) {
	is := is.New(t)
	all := fleet(5, 39, 3)
	homes, others := 0.0, 0.0
	for i := range all {
		a := assign(all, i)
		connections, sharers := a.SharedConnections(125)
		if a.IsHome {
			homes += float64(connections) / float64(sharers)
		} else {
			others += float64(connections) / float64(sharers)
		}
	}
	is.True(homes+others <= 125.001)
	is.True(homes > others)
}

// Guards against a home that is never tried again after a failure, and against one that every
// request tries while it is down.
func TestBackoffEndsAfterItsInterval(t *testing.T) {
	is := is.New(t)
	var b Backoff
	is.True(!b.Avoid(0, "h"))
	b.RecordFailure(0, "h")
	b.RecordFailure(time.Millisecond, "h") // A concurrent request, which counts as the same failure.
	is.True(b.Avoid(failureBackoff-1, "h"))
	is.True(!b.Avoid(failureBackoff, "h"))
	b.RecordFailure(failureBackoff, "h")
	is.True(b.Avoid(3*failureBackoff-1, "h"))
	b.RecordSuccess("h")
	is.True(!b.Avoid(failureBackoff, "h"))
	b.RecordDraining(0, "h")
	is.True(b.Avoid(drainingBackoff-1, "h"))
	b.Retain(func(string) bool { return false })
	is.True(!b.Avoid(0, "h"))
}

func ExampleAssign() {
	entries := fleet(2, 16, 2)
	a := Assign(NewSettings(), entries[5], append(slices.Clone(entries[:5]), entries[6:]...))
	fmt.Println(a.IsHome, a.Homes, len(a.SameZone), len(a.OtherZones))
	// Output: false 4 2 2
}

func BenchmarkAssign(b *testing.B) {
	all := fleet(5, 60, 3)
	for b.Loop() {
		Assign(NewSettings(), all[0], all[1:])
	}
}

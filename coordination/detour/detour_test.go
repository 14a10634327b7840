package detour

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Guards against offers to a peer that is not known, or twice to the same one.
func TestOrderHoldsDistinctPeers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		var peers []Peer
		for i := range rapid.IntRange(0, 9).Draw(t, "peers") {
			peers = append(peers, Peer{ID: fmt.Sprint(i), Capacity: uint32(rapid.IntRange(0, 900).Draw(t, "capacity"))})
		}
		limit := rapid.IntRange(0, 5).Draw(t, "limit")
		order := Order(rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)), peers, limit)
		is.Equal(len(order), min(limit, len(peers)))
		seen := make(map[string]bool)
		for _, p := range order {
			is.True(slices.Contains(peers, p))
			is.True(!seen[p.ID])
			seen[p.ID] = true
		}
	})
}

// Guards against small hosts that get as much work as large ones.
func TestRequestsAreSpreadByCapacity(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(1, 2))
	peers := []Peer{{ID: "small", Capacity: 200}, {ID: "small2", Capacity: 200}, {ID: "large", Capacity: 800}}
	for range 1200 {
		first := Order(rng, peers, 1)[0]
		for i := range peers {
			if peers[i].ID == first.ID {
				peers[i].Running++
			}
		}
	}
	is.True(peers[2].Running > 650 && peers[2].Running < 850) // The large host has two thirds of the capacity.
	is.True(peers[0].Running > 150 && peers[1].Running > 150)
}

func BenchmarkOrder(b *testing.B) {
	rng := rand.New(rand.NewPCG(1, 2))
	peers := make([]Peer, 200)
	for range b.N {
		Order(rng, peers, 3)
	}
}

func Example() {
	rng := rand.New(rand.NewPCG(1, 2))
	peers := []Peer{{ID: "busy", Capacity: 400, Running: 9}, {ID: "idle", Capacity: 400}}
	for _, p := range Order(rng, peers, 2) {
		fmt.Println(p.ID)
	}
	// Output:
	// idle
	// busy
}

// Package detour chooses the peers that serve the requests of an entry that reaches no target. The
// requests are spread by what the peers can bear: of two random peers the one with fewer requests of
// this entry for its CPU capacity comes first ("the power of two choices", M. Mitzenmacher, 2001).
//
// The package has no side effects: it takes the random source as an argument.
package detour

// Peer is another entry.
type Peer struct {
	ID string
	// Address is the IP:port on which the entry serves its peers.
	Address string
	// Capacity is the CPU capacity of the entry's host in thousandths of a core, or zero if unknown.
	Capacity uint32
	// Running is the number of requests that the peer runs for this entry.
	Running int
}

// unknownCapacity is the capacity assumed for a peer that does not report it, in thousandths of a
// core. It is that of a small host.
const unknownCapacity = 200

// Rand is a source of random numbers. The generators of math/rand/v2 implement it.
type Rand interface {
	// IntN returns a random number from 0 to n-1.
	IntN(n int) int
}

// Order returns at most limit of the peers in the order in which to offer them a request. It does not
// modify peers.
func Order(rng Rand, peers []Peer, limit int) []Peer {
	left := append([]Peer(nil), peers...)
	order := make([]Peer, 0, min(limit, len(left)))
	for len(order) < limit && len(left) > 0 {
		i := chooseOfTwo(rng, left)
		order = append(order, left[i])
		left[i] = left[len(left)-1]
		left = left[:len(left)-1]
	}
	return order
}

// chooseOfTwo returns the index of the less loaded one of two random peers.
func chooseOfTwo(rng Rand, peers []Peer) int {
	i := rng.IntN(len(peers))
	if len(peers) == 1 {
		return i
	}
	j := rng.IntN(len(peers) - 1)
	if j >= i {
		j++
	}
	if load(&peers[j]) < load(&peers[i]) {
		return j
	}
	return i
}

// load returns the load of a peer with one more request, relative to its capacity.
func load(p *Peer) float64 {
	capacity := p.Capacity
	if capacity == 0 {
		capacity = unknownCapacity
	}
	return float64(p.Running+1) / float64(capacity)
}

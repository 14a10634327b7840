package detached

import "math/rand/v2"

const (
	// rotationRounds is the number of rounds in which a Rotation returns each target.
	rotationRounds = 10
	// maxPerRound limits the targets of a round.
	maxPerRound = 64
)

// Rotation chooses the targets that a detached entry probes. The list may be newer than what peers have
// reached, and the peers may be detached too. The zero value is ready to use. A Rotation is not safe for
// concurrent use.
type Rotation struct {
	// pending holds the targets that the current pass has not returned yet. The last one is returned first.
	pending []string
	// known holds the targets that were listed in the previous round.
	known map[string]bool
}

// Next returns the targets to probe in the next round: those that are listed for the first time, then the others
// in random order, each once in rotationRounds rounds, or in more if there are more than
// rotationRounds*maxPerRound of them. listed must not be changed afterwards.
func (r *Rotation) Next(rng *rand.Rand, listed map[string]bool) []string {
	size := min((len(listed)+rotationRounds-1)/rotationRounds, maxPerRound)
	if r.known != nil {
		for target := range listed {
			if !r.known[target] {
				r.pending = append(r.pending, target)
			}
		}
	}
	r.known = listed
	var round []string
	for size > 0 && len(round) == 0 {
		if len(r.pending) == 0 {
			r.begin(rng, listed)
		}
		round = r.take(size)
	}
	return round
}

// take removes and returns at most size pending targets that are still listed.
func (r *Rotation) take(size int) []string {
	var round []string
	for len(r.pending) > 0 && len(round) < size {
		last := len(r.pending) - 1
		if target := r.pending[last]; r.known[target] {
			round = append(round, target)
		}
		r.pending = r.pending[:last]
	}
	return round
}

// begin begins a pass over all listed targets.
func (r *Rotation) begin(rng *rand.Rand, listed map[string]bool) {
	for target := range listed {
		r.pending = append(r.pending, target)
	}
	rng.Shuffle(len(r.pending), func(i, j int) { r.pending[i], r.pending[j] = r.pending[j], r.pending[i] })
}

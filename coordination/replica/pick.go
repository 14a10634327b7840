package replica

// Rand is a source of random numbers. *rand.Rand of math/rand/v2 implements it.
type Rand interface {
	// IntN returns a number in [0, n).
	IntN(n int) int
	// Float64 returns a number in [0, 1).
	Float64() float64
}

// Candidate is a replica that Pick can select for the attempt.
type Candidate struct {
	// Target identifies the target to the caller. It is passed unchanged to the
	// score function.
	Target int
	// Weight is the ramp-up weight, in (0, 1]. Zero means 1. A drawn candidate is
	// kept with this probability, so that its share of the work follows the
	// weight even when all costs are equal.
	Weight float64
	// Local is set for a target in the entry's own availability zone.
	Local bool
	// Excluded is set for a target that must not be chosen, such as one that this
	// sub-request has already tried.
	Excluded bool
}

const (
	// maxLocalCostRatio is the factor by which a local candidate may cost more than
	// a remote one and still be chosen. Costs grow in steps of (in flight + 1), so
	// it decides only between targets with the same number in flight or with many
	// in flight.
	maxLocalCostRatio = 1.6
	// maxCompareAll is the largest number of candidates that are all compared. A
	// shard has about three. From a larger set two are drawn at random, because
	// entries that all took the best one would overload it.
	maxCompareAll = 4
	// maxDraws bounds the random draws for one candidate before draw scans the set.
	maxDraws = 4
	// maxScan bounds the search for a candidate that is not ejected.
	maxScan = 16
)

// Pick returns the index in candidates of the replica that gets the attempt, and
// false when every candidate is excluded. It compares all of a few candidates. From
// a larger set it scores two drawn at random and, only if both are ejected, a
// bounded number of others.
func Pick(rng Rand, candidates []Candidate, score func(target int) Score) (index int, ok bool) {
	if len(candidates) <= maxCompareAll {
		return cheapest(rng, candidates, score)
	}
	a := draw(rng, candidates, -1)
	if a < 0 {
		return 0, false
	}
	scoreA := score(candidates[a].Target)
	b := draw(rng, candidates, a)
	if b < 0 {
		return a, true
	}
	scoreB := score(candidates[b].Target)
	if scoreA.Ejected && scoreB.Ejected {
		if c := firstNotEjected(candidates, b, score); c >= 0 {
			return c, true
		}
	}
	if better(candidates[b], scoreB, candidates[a], scoreA) {
		return b, true
	}
	return a, true
}

// cheapest compares all candidates and returns the index of the best. If two of
// three candidates are slow, a draw of two would give both slow ones in a third of
// the cases.
func cheapest(rng Rand, candidates []Candidate, score func(target int) Score) (index int, ok bool) {
	best := -1
	var bestScore Score
	first := 0
	if len(candidates) > 0 {
		first = rng.IntN(len(candidates)) // Equal candidates get equal shares.
	}
	skipped := -1
	var skippedScore Score
	for k := range candidates {
		i := (first + k) % len(candidates)
		c := &candidates[i]
		switch {
		case c.Excluded:
			continue
		case c.Weight > 0 && c.Weight < 1 && rng.Float64() >= c.Weight:
			if s := score(c.Target); skipped < 0 || skippedScore.Ejected && !s.Ejected {
				skipped, skippedScore = i, s
			}
			continue
		}
		s := score(c.Target)
		if best < 0 || better(*c, s, candidates[best], bestScore) {
			best, bestScore = i, s
		}
	}
	if best < 0 || bestScore.Ejected && skipped >= 0 && !skippedScore.Ejected {
		best = skipped
	}
	return best, best >= 0
}

// draw returns the index of a random candidate other than skip, or -1 if there is
// none.
func draw(rng Rand, candidates []Candidate, skip int) int {
	n := len(candidates)
	if n == 0 {
		return -1
	}
	i := rng.IntN(n)
	for range maxDraws {
		c := &candidates[i]
		if !c.Excluded && i != skip && (c.Weight <= 0 || c.Weight >= 1 || rng.Float64() < c.Weight) {
			return i
		}
		i = rng.IntN(n)
	}
	for k := range n {
		j := (i + k) % n
		if !candidates[j].Excluded && j != skip {
			return j
		}
	}
	return -1
}

// firstNotEjected returns the index of the first candidate after start that is
// neither excluded nor ejected, or -1 if a bounded search finds none.
func firstNotEjected(candidates []Candidate, start int, score func(target int) Score) int {
	n := len(candidates)
	for k := 1; k < min(n, maxScan); k++ {
		j := (start + k) % n
		if !candidates[j].Excluded && !score(candidates[j].Target).Ejected {
			return j
		}
	}
	return -1
}

// better reports whether candidate c is preferred to other.
func better(c Candidate, s Score, other Candidate, otherScore Score) bool {
	if s.Ejected != otherScore.Ejected {
		return otherScore.Ejected
	}
	switch {
	case c.Local && !other.Local:
		return s.Cost <= otherScore.Cost*maxLocalCostRatio
	case other.Local && !c.Local:
		return s.Cost*maxLocalCostRatio < otherScore.Cost
	default:
		return s.Cost < otherScore.Cost
	}
}

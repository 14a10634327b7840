package coverage

import "time"

// Cutoff decides when an answer without the missing shards is worth more than
// waiting for them. An answer keeps its full value until the latency goal, so
// nothing is gained by answering earlier, and nearly all is lost by answering
// later. It answers the load of slow or lost targets of a few shards.
type Cutoff struct {
	// Goal is the time from arrival to the latency goal. Zero never stops waiting.
	Goal time.Duration
	// Reserve is kept before the goal for the way to the caller.
	Reserve time.Duration
	// MinRatio is the least part of the shards that makes an answer.
	MinRatio float64
}

// At returns the time from arrival at which waiting ends if the answer then has
// MinRatio, and false when it never does.
func (c Cutoff) At() (time.Duration, bool) {
	return max(c.Goal-c.Reserve, 0), c.Goal > 0
}

// Sufficient reports whether an answer with the given number of merged shards
// leaves at the given age. Past the cutoff it does as soon as it has MinRatio.
func (c Cutoff) Sufficient(age time.Duration, answered, shards int) bool {
	at, ok := c.At()
	return ok && age >= at && c.Meets(answered, shards)
}

// Meets reports whether so many shards make an answer.
func (c Cutoff) Meets(answered, shards int) bool {
	// The tolerance keeps 0.9 x 10 from needing 10 shards.
	return answered > 0 && float64(answered) >= c.MinRatio*float64(shards)-ratioTolerance
}

// ratioTolerance absorbs rounding of ratios that are written in decimals.
const ratioTolerance = 1e-9

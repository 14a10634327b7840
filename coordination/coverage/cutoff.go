package coverage

import "time"

// Cutoff decides when a query stops waiting for missing shards and returns a partial
// answer. An answer keeps its full value until the latency goal and loses nearly all of
// it afterwards, so the cutoff is shortly before the goal. It handles slow or lost
// targets of a few shards.
type Cutoff struct {
	// Goal is the latency goal, measured from arrival. With zero there is no cutoff.
	Goal time.Duration
	// Reserve is the part of Goal that is kept for sending the answer to the caller.
	Reserve time.Duration
	// MinRatio is the minimum fraction of the shards that an answer needs.
	MinRatio float64
}

// At returns the time from arrival at which waiting ends if the answer meets MinRatio,
// and false when there is no cutoff.
func (c Cutoff) At() (time.Duration, bool) {
	return max(c.Goal-c.Reserve, 0), c.Goal > 0
}

// Sufficient reports whether to send an answer with the given number of answered shards
// at the given age: from the cutoff on, as soon as it meets MinRatio.
func (c Cutoff) Sufficient(age time.Duration, answered, shards int) bool {
	at, ok := c.At()
	return ok && age >= at && c.MeetsMinRatio(answered, shards)
}

// MeetsMinRatio reports whether the given number of answered shards is enough for an
// answer.
func (c Cutoff) MeetsMinRatio(answered, shards int) bool {
	// The tolerance keeps 0.9 x 10 from needing 10 shards.
	return answered > 0 && float64(answered) >= c.MinRatio*float64(shards)-ratioTolerance
}

// ratioTolerance absorbs rounding errors of ratios that are written in decimals.
const ratioTolerance = 1e-9

// Package replica chooses which replica of a shard gets the next attempt.
//
// Stats holds what one entry knows about one target. Pick draws two candidates
// at random and takes the one with the lower cost (power of two choices, M.
// Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing", IEEE
// TPDS 12(10), 2001). The cost is (attempts in flight + 1) x recent latency.
//
// All times are durations since an arbitrary start that is the same for every
// call. Nothing here locks: the caller serialises the calls on one Stats.
package replica

import "time"

// Settings tunes the cost of a target. Every Stats and Pick of one entry uses
// the same value, which must not change after its first use.
type Settings struct {
	// LatencyDecay is the time after which the weight of a latency sample has
	// fallen to 1/e. The default is 2 s: short enough to notice a slow
	// neighbour, long enough to hold several samples at 5 attempts per second.
	LatencyDecay time.Duration
	// InitialLatency is the assumed latency of a target without samples. The
	// default is 20 ms.
	InitialLatency time.Duration
	// MinLatency is the least latency that a cost is computed from. The default
	// is 500 us. It keeps the in-flight count effective for a target whose
	// samples have decayed.
	MinLatency time.Duration
	// FailureDecay is the time after which the weight of a failure has fallen
	// to 1/e. The default is 3 s.
	FailureDecay time.Duration
	// FailurePenalty is the factor that each recent failure adds to the cost.
	// The default is 4.
	FailurePenalty float64
	// HoldAfter is the number of failures in a row after which a target is held:
	// it is chosen only as a probe or when no other candidate is left. The
	// default is 2.
	HoldAfter int
	// HoldMin is the length of the first hold. Each failed probe doubles it up
	// to HoldMax. The defaults are 250 ms and 10 s.
	HoldMin, HoldMax time.Duration
	// UnansweredAfter is the time without a reply after which an attempt that is given up
	// counts as a failure, if the target has answered none since its start. The default
	// is 50 ms. A target that pauses or fell silent loses its work before it has failed
	// any attempt, because hedges end them.
	UnansweredAfter time.Duration
	// SilentHoldMax bounds the hold after such attempts. The default is 1 s: nothing shows
	// that the target is down.
	SilentHoldMax time.Duration
	// HintExpiry is the time for which a reported hint counts. The default is 5 s.
	HintExpiry time.Duration
	// MaxHintPenalty bounds the factor that a hint puts on the cost, because a
	// report may be wrong. The default is 8.
	MaxHintPenalty float64
}

// DefaultSettings returns the defaults.
func DefaultSettings() *Settings {
	return &Settings{
		LatencyDecay:    2 * time.Second,
		InitialLatency:  20 * time.Millisecond,
		MinLatency:      500 * time.Microsecond,
		FailureDecay:    3 * time.Second,
		FailurePenalty:  4,
		HoldAfter:       2,
		HoldMin:         250 * time.Millisecond,
		HoldMax:         10 * time.Second,
		UnansweredAfter: 50 * time.Millisecond,
		SilentHoldMax:   time.Second,
		HintExpiry:      5 * time.Second,
		MaxHintPenalty:  8,
	}
}

// Class says how an attempt ended.
type Class uint8

// Classes of attempts.
const (
	// Success is a complete reply. Its latency is a sample.
	Success Class = iota
	// Failure is a failed connection, a reset, a timeout or a faulty reply.
	Failure
	// Shed is a refusal by the target because of load or draining. It adds to
	// the failure penalty but never holds the target.
	Shed
	// Canceled is an attempt that this entry gave up, such as the loser of a
	// hedge. Its age is a lower bound of the latency.
	Canceled
)

// Hint is a target's own report of its load and health. It lags or misleads, so
// it can only raise the cost.
type Hint struct {
	// InFlight and Slots are the reported attempts in flight and the number
	// that the target runs at once. Slots of zero means that no load is known.
	InFlight, Slots int
	// Unhealthy is set when the target reports that it cannot serve well.
	Unhealthy bool
}

// Score is the judgement of one target at one moment.
type Score struct {
	// Cost is lower for a better target. Its unit is seconds of expected work.
	Cost float64
	// Held is set for a target that failed several times in a row. Pick takes
	// it only when it finds no other candidate.
	Held bool
	// Acceptance is the recent part of the attempts that the target did not refuse.
	Acceptance float64
}

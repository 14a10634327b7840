// Package replica selects the replica of a shard that gets the next attempt.
//
// Stats holds the statistics that one entry has collected on one target. Pick
// compares all candidates of a small set. From a larger set it draws two at
// random and takes the one with the lower cost (power of two choices, M.
// Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing", IEEE
// TPDS 12(10), 2001). The cost is (attempts in flight + 1) x recent latency.
//
// All times are durations since an arbitrary origin that is the same for every
// call. A Stats is not safe for concurrent use.
package replica

import "time"

// Settings configures the cost and the ejection of targets. Every Stats and Pick
// of one entry uses the same value, which must not change after its first use.
type Settings struct {
	// LatencyDecay is the time after which the weight of a latency sample has
	// fallen to 1/e. The default is 2 s: short enough to notice a slow
	// neighbor, long enough to keep several samples at 5 attempts per second.
	LatencyDecay time.Duration
	// InitialLatency is the assumed latency of a target without samples. The
	// default is 20 ms.
	InitialLatency time.Duration
	// MinLatency is the lower bound of the latency in the cost. The default is
	// 500 us. It keeps the number in flight effective for a target whose samples
	// have decayed.
	MinLatency time.Duration
	// FailureDecay is the time after which the weight of a failure has fallen
	// to 1/e. The default is 3 s.
	FailureDecay time.Duration
	// FailurePenalty is what each recent failure adds to the factor on the cost.
	// The default is 4.
	FailurePenalty float64
	// EjectAfter is the number of consecutive failures after which a target is
	// ejected: it is chosen only as a probe or when no other candidate is left.
	// The default is 2.
	EjectAfter int
	// MinEjection is the duration of the first ejection. Each failed probe
	// doubles it up to MaxEjection. The defaults are 250 ms and 10 s.
	MinEjection, MaxEjection time.Duration
	// UnansweredAfter is the age from which a canceled attempt counts as a failure for
	// ejection, if the target has not replied to any attempt since that one started. The
	// default is 50 ms. This ejects a target that pauses or stops replying, none of whose
	// attempts may have failed yet because hedges cancel them.
	UnansweredAfter time.Duration
	// MaxUnansweredEjection bounds the ejection after unanswered attempts. The default is
	// 1 s, because such attempts do not show that the target is down.
	MaxUnansweredEjection time.Duration
	// StatusExpiry is the time for which a reported status is used. The default is 5 s.
	StatusExpiry time.Duration
	// MaxStatusPenalty bounds the factor by which a reported status raises the
	// cost, because the status may be wrong. The default is 8.
	MaxStatusPenalty float64
	// LoadExpiry is the age at which the weight of a load report has fallen to zero. The default is
	// 250 ms, because the load changes several times per second.
	LoadExpiry time.Duration
	// MinLoadFactor and MaxLoadFactor bound the factor on the cost that follows from a load report,
	// which may be wrong. The defaults are 0.25 and 8.
	MinLoadFactor, MaxLoadFactor float64
}

// DefaultSettings returns the default settings.
func DefaultSettings() *Settings {
	return &Settings{
		LatencyDecay:          2 * time.Second,
		InitialLatency:        20 * time.Millisecond,
		MinLatency:            500 * time.Microsecond,
		FailureDecay:          3 * time.Second,
		FailurePenalty:        4,
		EjectAfter:            2,
		MinEjection:           250 * time.Millisecond,
		MaxEjection:           10 * time.Second,
		UnansweredAfter:       50 * time.Millisecond,
		MaxUnansweredEjection: time.Second,
		StatusExpiry:          5 * time.Second,
		MaxStatusPenalty:      8,
		LoadExpiry:            250 * time.Millisecond,
		MinLoadFactor:         0.25,
		MaxLoadFactor:         8,
	}
}

// Class classifies how an attempt ended.
type Class uint8

// Classes of attempts.
const (
	// Success is a complete reply. Its latency is a sample.
	Success Class = iota
	// Failure is a failed connection, a reset, a timeout or a faulty reply.
	Failure
	// Shed is a refusal by the target because of load or draining. It lowers the
	// acceptance and never ejects the target.
	Shed
	// Canceled is an attempt that this entry canceled, such as the loser of a
	// hedge. Its age is a lower bound of the latency.
	Canceled
)

// TargetStatus is the status that a target reports about itself. It may be stale
// or wrong, so it can only raise the cost.
type TargetStatus struct {
	// InFlight is the reported number of attempts in flight, and Slots the number
	// that the target runs concurrently. Slots is zero when the load is unknown.
	InFlight, Slots int
	// Unhealthy is set when the target reports that it cannot serve well.
	Unhealthy bool
}

// Score rates one target at one point in time.
type Score struct {
	// Cost is the expected work in seconds. Lower is better.
	Cost float64
	// Ejected is set for a target with several consecutive failures. Pick takes it
	// only when it finds no other candidate.
	Ejected bool
	// Acceptance is the recent fraction of attempts that the target did not refuse.
	Acceptance float64
}

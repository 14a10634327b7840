// Package admission decides which requests run, wait or are refused at one
// entry.
//
// One Controller holds all services of the entry, because they share its
// capacity: a request of a high priority is admitted before one of a low
// priority, whatever their services. The concurrency limits adapt with additive
// increase and multiplicative decrease (D. Chiu and R. Jain, "Analysis of the
// Increase and Decrease Algorithms for Congestion Avoidance in Computer
// Networks", Computer Networks and ISDN Systems 17, 1989), where the signal is
// the latency against the service's own latency without load.
//
// All times are durations since an arbitrary start that is the same for every
// call. Nothing here locks: the caller serialises the calls on one Controller.
package admission

import "time"

// Priorities of services.
const (
	// Highest is served first.
	Highest = 1
	// Lowest is shed first.
	Lowest = 9
)

// Settings tunes a Controller.
type Settings struct {
	// MinLimit, InitialLimit and MaxLimit bound the number of requests that run
	// at once at this entry. The defaults are 4, 128 and 4,096.
	MinLimit, InitialLimit, MaxLimit float64
	// MinServiceLimit is the least concurrency limit of one service. The default
	// is 1: nine entries share the 9 slots of a small service.
	MinServiceLimit float64
	// MaxWaitPart bounds the wait: a request is refused at arrival when the
	// expected wait exceeds this part of the time to its deadline, and at the
	// latest after twice this part. A wait of the service's mean latency is
	// allowed in any case, for services that run few requests at once. The
	// default is 0.1. A longer queue adds latency and no goodput.
	MaxWaitPart float64
	// MaxQueue is the largest number of waiting requests of all services. The
	// default is 1,024.
	MaxQueue int
	// Tolerance is the factor over the latency without load above which a
	// request counts as slow. A limit falls when most requests are slow. The
	// default is 2.
	Tolerance float64
	// Window is the least time between two changes of a limit, and MinSamples the
	// least number of finished requests. The defaults are 100 ms and 20.
	Window     time.Duration
	MinSamples int
	// Decrease is the factor on a limit when most requests are slow. The default
	// is 0.85.
	Decrease float64
	// BaselineRise is the part per second by which the latency without load may
	// rise when a service becomes slower for good. The default is 0.02.
	BaselineRise float64
	// FloorShare is the part of the admissions that each priority gets at least
	// while its requests wait. The default is 0.02.
	FloorShare float64
	// MinRetryAfter and MaxRetryAfter bound the time to come back. The defaults
	// are 100 ms and 5 s.
	MinRetryAfter, MaxRetryAfter time.Duration
}

// DefaultSettings returns the defaults.
func DefaultSettings() Settings {
	return Settings{
		MinLimit:        4,
		InitialLimit:    128,
		MaxLimit:        4_096,
		MinServiceLimit: 1,
		MaxWaitPart:     0.1,
		MaxQueue:        1_024,
		Tolerance:       2,
		Window:          100 * time.Millisecond,
		MinSamples:      20,
		Decrease:        0.85,
		BaselineRise:    0.02,
		FloorShare:      0.02,
		MinRetryAfter:   100 * time.Millisecond,
		MaxRetryAfter:   5 * time.Second,
	}
}

// ServiceConfig holds the limits of one service.
type ServiceConfig struct {
	// Priority is from Highest to Lowest. Other values are moved into the range.
	Priority int
	// MaxConcurrency bounds the requests that run at once. Values below 1 mean 1.
	MaxConcurrency int
	// MaxQueue bounds the requests that wait. Zero means that none waits.
	MaxQueue int
}

// Verdict is the decision on a request.
type Verdict uint8

// Verdicts.
const (
	// Admit lets the request run now. Release must follow.
	Admit Verdict = iota
	// Wait keeps the request in the queue.
	Wait
	// Refuse ends the request. It did not run.
	Refuse
)

// String returns the verdict's name for logs and metrics.
func (v Verdict) String() string { return [...]string{"admit", "wait", "refuse"}[v] }

// Reason says why a request is refused.
type Reason uint8

// Reasons.
const (
	// NoReason belongs to Admit and Wait.
	NoReason Reason = iota
	// QueueFull means that the queue of the service or the entry is full.
	QueueFull
	// DeadlineTooShort means that the expected wait leaves too little time.
	DeadlineTooShort
	// Displaced means that a request of a higher priority took the place.
	Displaced
	// ServiceRemoved means that the service is no longer configured.
	ServiceRemoved
)

// String returns the reason's name for logs and metrics.
func (r Reason) String() string {
	return [...]string{"none", "queue_full", "deadline_too_short", "displaced", "service_removed"}[r]
}

// Decision is the answer to a request.
type Decision struct {
	Verdict Verdict
	// Reason is set for Refuse.
	Reason Reason
	// RetryAfter is set for Refuse: the time after which the caller may come
	// back. It is spread at random so that the returns fit the capacity.
	RetryAfter time.Duration
	// WaitUntil is set for Wait: the time at which the caller calls Expire when
	// Next has not decided the request before.
	WaitUntil time.Duration
}

// Result says how an admitted request ended.
type Result uint8

// Results.
const (
	// Finished requests give a latency sample.
	Finished Result = iota
	// Overloaded requests met their deadline. They count as slow.
	Overloaded
	// Abandoned requests say nothing about load, such as those that the caller
	// cancelled.
	Abandoned
	// Shed requests were refused by targets because of load, in whole or in part.
	// A limit falls when more than a tenth of the requests are shed.
	Shed
)

// Rand is the random source. *rand.Rand of math/rand/v2 implements it.
type Rand interface {
	// Float64 returns a number from 0 up to 1.
	Float64() float64
}

// Ticket is one request. The caller allocates it, usually as a part of its own
// request record, and passes it by address. A ticket serves one request.
type Ticket struct {
	// Owner is for the caller's use.
	Owner any

	service    *Service
	state      ticketState
	deadline   time.Duration
	admittedAt time.Duration
	waitUntil  time.Duration
	prev, next *Ticket
	refusal    Reason
}

type ticketState uint8

const (
	stateNew ticketState = iota
	stateWaiting
	stateRunning
	stateRefused // waits for Next to hand it out
	stateEnded
)

// Package admission implements admission control with adaptive concurrency limits. It decides
// which requests of an entry run, wait or are refused.
//
// One Controller holds all services of the entry because they share its capacity: a request of
// a higher priority is admitted before one of a lower priority, also across services. The
// concurrency limits follow additive increase and multiplicative decrease (D. Chiu and R. Jain,
// "Analysis of the Increase and Decrease Algorithms for Congestion Avoidance in Computer
// Networks", Computer Networks and ISDN Systems 17, 1989). The congestion signal is the latency
// relative to the service's own latency without load.
//
// All times are durations since an arbitrary origin that is the same for every call. A
// Controller is not safe for concurrent use.
package admission

import "time"

// Priorities of services.
const (
	// Highest is the priority that is served first.
	Highest = 1
	// Lowest is the priority that is shed first.
	Lowest = 9
)

// Settings configures a Controller.
type Settings struct {
	// MinLimit, InitialLimit and MaxLimit are the lower bound, the initial value and the upper
	// bound of the entry's concurrency limit. The defaults are 4, 128 and 4,096.
	MinLimit, InitialLimit, MaxLimit float64
	// MinServiceLimit is the lower bound of a service's concurrency limit. The default is 1
	// because nine entries share the 9 slots of a small service.
	MinServiceLimit float64
	// MaxWaitRatio bounds the queueing time as a ratio of the time to the deadline. A request
	// is refused on arrival if its expected wait exceeds this bound, and later once it has
	// waited twice as long. A wait of the service's mean latency is always allowed, for
	// services that run few requests at once. The default is 0.1: a longer queue adds latency
	// but no goodput.
	MaxWaitRatio float64
	// MaxQueue is the maximum number of waiting requests of all services. The default is 1,024.
	MaxQueue int
	// Tolerance is the multiple of the latency without load above which a request counts as
	// slow. A limit falls when most requests are slow. The default is 2.
	Tolerance float64
	// Window is the minimum time between two changes of a limit, and MinSamples the minimum
	// number of finished requests. The defaults are 100 ms and 20.
	Window     time.Duration
	MinSamples int
	// Decrease is the factor by which a limit is multiplied when most requests are slow. The
	// default is 0.85.
	Decrease float64
	// BaselineRiseRate is the maximum relative increase per second of the estimated latency
	// without load, for a service that becomes permanently slower. The default is 0.02.
	BaselineRiseRate float64
	// MinPriorityShare is the minimum share of the admissions that each priority gets while it
	// has waiting requests, which prevents starvation. The default is 0.02.
	MinPriorityShare float64
	// MinRetryAfter and MaxRetryAfter bound Decision.RetryAfter. The defaults are 100 ms and
	// 5 s.
	MinRetryAfter, MaxRetryAfter time.Duration
}

// DefaultSettings returns the default settings.
func DefaultSettings() Settings {
	return Settings{
		MinLimit:         4,
		InitialLimit:     128,
		MaxLimit:         4_096,
		MinServiceLimit:  1,
		MaxWaitRatio:     0.1,
		MaxQueue:         1_024,
		Tolerance:        2,
		Window:           100 * time.Millisecond,
		MinSamples:       20,
		Decrease:         0.85,
		BaselineRiseRate: 0.02,
		MinPriorityShare: 0.02,
		MinRetryAfter:    100 * time.Millisecond,
		MaxRetryAfter:    5 * time.Second,
	}
}

// ServiceConfig holds the limits of one service.
type ServiceConfig struct {
	// Priority ranges from Highest to Lowest. Other values are clamped to this range.
	Priority int
	// MaxConcurrency is the maximum number of requests that run at once. Values below 1 mean 1.
	MaxConcurrency int
	// MaxQueue is the maximum number of waiting requests. Zero disables queueing.
	MaxQueue int
}

// Verdict is the outcome of an admission decision.
type Verdict uint8

// Verdicts.
const (
	// Admit means that the request runs now. The caller must call Release when it ends.
	Admit Verdict = iota
	// Wait means that the request is queued.
	Wait
	// Refuse means that the request ends without having run.
	Refuse
)

// String returns the name of the verdict in logs and metrics.
func (v Verdict) String() string { return [...]string{"admit", "wait", "refuse"}[v] }

// Reason is the cause of a refusal.
type Reason uint8

// Reasons.
const (
	// NoReason is the reason of Admit and Wait decisions.
	NoReason Reason = iota
	// QueueFull means that the queue of the service or the entry is full.
	QueueFull
	// DeadlineTooShort means that queueing leaves too little time before the deadline.
	DeadlineTooShort
	// Displaced means that another request took the place in the full queue of the entry.
	Displaced
	// ServiceRemoved means that the service is no longer configured.
	ServiceRemoved
)

// String returns the name of the reason in logs and metrics.
func (r Reason) String() string {
	return [...]string{"none", "queue_full", "deadline_too_short", "displaced", "service_removed"}[r]
}

// Decision is an admission decision on a request.
type Decision struct {
	Verdict Verdict
	// Reason is set for Refuse.
	Reason Reason
	// RetryAfter is set for Refuse: the time after which the caller may retry. It is randomized
	// so that the retries fit the capacity.
	RetryAfter time.Duration
	// WaitUntil is set for Wait: the time at which the caller must call Expire if Next has not
	// returned the ticket before.
	WaitUntil time.Duration
}

// Result is the way in which an admitted request ended.
type Result uint8

// Results.
const (
	// Finished means that the request completed. Its latency is a sample.
	Finished Result = iota
	// DeadlineExceeded means that the deadline passed before the request completed. Such a
	// request counts as slow.
	DeadlineExceeded
	// Abandoned means that the request gives no evidence of load, for example because the
	// caller canceled it.
	Abandoned
	// Shed means that targets refused the request, or parts of it, because of load. A limit
	// falls when more than a tenth of the requests are shed.
	Shed
)

// Rand is a source of random numbers. *rand.Rand of math/rand/v2 implements it.
type Rand interface {
	// Float64 returns a number in [0, 1).
	Float64() float64
}

// Ticket holds the admission state of one request. The caller allocates it, usually as part of
// its own request record, and passes its address. A ticket serves a single request.
type Ticket struct {
	// Owner is not used by this package and is free for the caller.
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
	stateRefused // refused, but not yet returned by Next
	stateEnded
)

package admission

import "time"

// meanGain is the weight of a new sample in the moving average of the latency, which covers
// about 32 requests.
const meanGain = 1.0 / 32

// Service holds the admission state of one service. Create it with Controller.SetService.
type Service struct {
	name    string
	config  ServiceConfig
	limiter limiter
	queue   queue
	removed bool

	baseline baseline
	vote     vote
	// mean is the recent mean latency, in seconds. Zero means unknown.
	mean float64
}

// Limit returns the service's concurrency limit.
func (s *Service) Limit() int { return int(s.limiter.limit) }

// InFlight returns the number of the service's running requests, including shed requests whose
// slots are still held.
func (s *Service) InFlight() int { return s.limiter.inFlight }

// Waiting returns the number of the service's waiting requests.
func (s *Service) Waiting() int { return s.queue.length }

// Baseline returns the estimated median latency without load, or zero if it is unknown.
func (s *Service) Baseline() time.Duration { return toDuration(s.baseline.median) }

// updateMean returns the mean latency, in seconds, after a sample. A request that ends early
// because of load, such as by a target's refusal, does not lower the mean.
func updateMean(mean float64, latency time.Duration, sig signal) float64 {
	seconds := latency.Seconds()
	switch {
	case mean == 0:
		return seconds
	case sig != fast && seconds < mean:
		return mean
	default:
		return mean + meanGain*(seconds-mean)
	}
}

// queue is a doubly linked list of tickets in order of arrival.
type queue struct {
	head, tail *Ticket
	length     int
}

func (q *queue) push(t *Ticket) {
	t.prev, t.next = q.tail, nil
	if q.tail == nil {
		q.head = t
	} else {
		q.tail.next = t
	}
	q.tail = t
	q.length++
}

func (q *queue) remove(t *Ticket) {
	if t.prev == nil {
		q.head = t.next
	} else {
		t.prev.next = t.next
	}
	if t.next == nil {
		q.tail = t.prev
	} else {
		t.next.prev = t.prev
	}
	t.prev, t.next = nil, nil
	q.length--
}

func toDuration(seconds float64) time.Duration {
	return time.Duration(seconds * float64(time.Second))
}

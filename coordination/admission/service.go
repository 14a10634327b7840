package admission

import "time"

// meanGain is the weight of a new sample in the mean latency. It averages over
// about 32 requests.
const meanGain = 1.0 / 32

// Service is the admission state of one service. Create it with
// Controller.SetService.
type Service struct {
	name    string
	config  ServiceConfig
	limiter limiter
	queue   queue
	removed bool

	baseline baseline
	vote     vote
	// mean is the recent mean latency in seconds. Zero means unknown.
	mean float64
}

// Limit returns the number of the service's requests that may run at once.
func (s *Service) Limit() int { return int(s.limiter.limit) }

// InFlight returns the number of the service's requests that run, and of those
// that were shed within the mean latency.
func (s *Service) InFlight() int { return s.limiter.inFlight }

// Waiting returns the number of the service's requests that wait.
func (s *Service) Waiting() int { return s.queue.length }

// Baseline returns the median latency without load, or zero when it is unknown.
func (s *Service) Baseline() time.Duration { return toDuration(s.baseline.median) }

// average moves a mean latency in seconds towards a sample. A quick
// end under load, such as a target's refusal, does not lower it.
func average(mean float64, latency time.Duration, sig signal) float64 {
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

// queue is a list of waiting tickets in order of arrival.
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

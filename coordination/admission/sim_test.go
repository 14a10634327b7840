package admission

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// The simulated targets run a fixed number of requests at once and queue or shed the rest. They
// drop queued requests whose deadline has passed.
const (
	simServiceTime = 10 * ms // median of a lognormal distribution
	simSigma       = 0.4
	simRate        = 92.3 // requests per second per slot: 1 / (simServiceTime x exp(simSigma^2 / 2))
	simShedTime    = ms   // time until a target refuses a request
	simDeadline    = 250 * ms
	simRetries     = 3 // retries of a refused caller
)

// Offered load as a multiple of the capacity: crestLoad during the crest (the demand peak), from
// crestStart to crestEnd, and baseLoad before and after it.
const (
	crestStart = 5 * time.Second
	crestEnd   = 10 * time.Second
	simEnd     = 15 * time.Second
	baseLoad   = 0.5
	crestLoad  = 3.0
)

var simPriorities = []int{1, 5, 5, 9, 9} // one service per element, with equal demand

type simRequest struct {
	ticket       Ticket
	service      int
	sent         time.Duration
	retries      int
	firstArrival time.Duration // arrival of the caller's first attempt
	answered     bool
}

type simEvent struct {
	at  time.Duration
	run func()
}

type simQueue []simEvent

func (q simQueue) Len() int           { return len(q) }
func (q simQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q simQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(x any)        { *q = append(*q, x.(simEvent)) }
func (q *simQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// simCase describes the targets of a simulation.
type simCase struct {
	slots        int
	sheds        bool
	admissionOff bool // no admission control
}

func (c simCase) capacity() float64 { return simRate * float64(c.slots) }

type sim struct {
	simCase
	rng        *rand.Rand
	now        time.Duration
	events     simQueue
	controller *Controller
	services   []*Service
	busy       int
	backlog    []*simRequest

	offered, inTime map[int]int // callers that arrived in the crest and their answers in time, by priority
	goodput         int         // answers during the crest
	latencies       []time.Duration
	maxRefusalTime  time.Duration // longest time from arrival to refusal
}

func newSim(settings Settings, sc simCase, seed uint64) *sim {
	s := &sim{simCase: sc, rng: rand.New(rand.NewPCG(seed, 5)), controller: New(settings), offered: map[int]int{}, inTime: map[int]int{}}
	for i, p := range simPriorities {
		s.services = append(s.services, s.controller.SetService(string(rune('a'+i)), ServiceConfig{Priority: p, MaxConcurrency: 1_000, MaxQueue: 400}))
	}
	s.schedule(0, s.arrive)
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		e.run()
	}
	return s
}

func (s *sim) schedule(d time.Duration, run func()) { heap.Push(&s.events, simEvent{s.now + d, run}) }

func (s *sim) arrive() {
	if s.now >= simEnd {
		return
	}
	rate := baseLoad
	if s.now >= crestStart && s.now < crestEnd {
		rate = crestLoad
	}
	s.schedule(time.Duration(s.rng.ExpFloat64()/(rate*s.capacity())*float64(time.Second)), s.arrive)
	r := &simRequest{service: s.rng.IntN(len(s.services)), firstArrival: s.now}
	if r.arrivedInCrest() {
		s.offered[simPriorities[r.service]]++
	}
	s.offer(r)
}

func (s *sim) offer(r *simRequest) {
	r.sent = s.now
	if s.admissionOff {
		s.run(r)
		return
	}
	r.ticket.Owner = r
	d := s.controller.Submit(s.now, s.rng, s.services[r.service], s.now+simDeadline, &r.ticket)
	s.decide(r, d)
	s.processDecisions()
}

func (r *simRequest) arrivedInCrest() bool {
	return r.firstArrival >= crestStart && r.firstArrival < crestEnd
}

func (s *sim) decide(r *simRequest, d Decision) {
	switch d.Verdict {
	case Admit:
		s.run(r)
	case Wait:
		s.schedule(d.WaitUntil-s.now, func() {
			if d, ok := s.controller.Expire(s.now, s.rng, &r.ticket); ok {
				s.decide(r, d)
			}
		})
	case Refuse:
		s.maxRefusalTime = max(s.maxRefusalTime, s.now-r.sent)
		if r.retries < simRetries {
			retry := &simRequest{service: r.service, retries: r.retries + 1, firstArrival: r.firstArrival}
			s.schedule(d.RetryAfter, func() { s.offer(retry) })
		}
	}
}

func (s *sim) processDecisions() {
	for t, d := s.controller.Next(s.now, s.rng); t != nil; t, d = s.controller.Next(s.now, s.rng) {
		s.decide(t.Owner.(*simRequest), d)
	}
}

// run sends a request to the targets. The entry releases it at the deadline.
func (s *sim) run(r *simRequest) {
	if s.sheds && s.busy >= s.slots {
		s.schedule(simShedTime, func() {
			if !s.admissionOff && s.controller.Release(s.now, &r.ticket, Shed) {
				s.processDecisions()
			}
		})
		return
	}
	s.backlog = append(s.backlog, r)
	if !s.admissionOff {
		s.schedule(r.sent+simDeadline-s.now, func() {
			if !r.answered && s.controller.Release(s.now, &r.ticket, DeadlineExceeded) {
				s.processDecisions()
			}
		})
	}
	s.serve()
}

func (s *sim) serve() {
	for s.busy < s.slots && len(s.backlog) > 0 {
		r := s.backlog[0]
		s.backlog = s.backlog[1:]
		if s.now > r.sent+simDeadline {
			continue
		}
		s.busy++
		d := time.Duration(float64(simServiceTime) * math.Exp(simSigma*s.rng.NormFloat64()))
		s.schedule(d, func() {
			s.busy--
			s.answer(r)
			s.serve()
		})
	}
}

func (s *sim) answer(r *simRequest) {
	r.answered = true
	if s.now <= r.sent+simDeadline {
		s.latencies = append(s.latencies, s.now-r.sent)
		if r.arrivedInCrest() {
			s.inTime[simPriorities[r.service]]++
		}
		if s.now >= crestStart && s.now < crestEnd {
			s.goodput++
		}
	}
	if !s.admissionOff && s.controller.Release(s.now, &r.ticket, Finished) {
		s.processDecisions()
	}
}

func BenchmarkCrest(b *testing.B) {
	for _, sc := range []simCase{
		{slots: 100, admissionOff: true}, {slots: 100}, {slots: 100, sheds: true, admissionOff: true}, {slots: 100, sheds: true},
		{slots: 9, admissionOff: true}, {slots: 9}, {slots: 9, sheds: true, admissionOff: true}, {slots: 9, sheds: true},
	} {
		b.Run(fmt.Sprintf("slots=%d/sheds=%v/admission=%v", sc.slots, sc.sheds, !sc.admissionOff), func(b *testing.B) {
			n := float64(b.N)
			var goodput, p99, maxRefusalTime float64
			inTimePercent := map[int]float64{}
			for i := range b.N {
				s := newSim(DefaultSettings(), sc, uint64(i+1))
				goodput += float64(s.goodput)
				for _, p := range []int{1, 5, 9} {
					inTimePercent[p] += 100 * float64(s.inTime[p]) / float64(s.offered[p])
				}
				slices.Sort(s.latencies)
				p99 += float64(s.latencies[len(s.latencies)*99/100]) / float64(ms)
				maxRefusalTime += float64(s.maxRefusalTime) / float64(ms)
			}
			b.ReportMetric(100*goodput/n/(sc.capacity()*(crestEnd-crestStart).Seconds()), "goodput-%")
			b.ReportMetric(inTimePercent[1]/n, "priority1-%")
			b.ReportMetric(inTimePercent[5]/n, "priority5-%")
			b.ReportMetric(inTimePercent[9]/n, "priority9-%")
			b.ReportMetric(p99/n, "p99-ms")
			b.ReportMetric(maxRefusalTime/n, "refused-after-ms")
			b.ReportMetric(0, "ns/op")
		})
	}
}

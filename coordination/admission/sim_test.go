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

// The simulated targets run a number of requests at once, and queue or shed the
// rest. They skip requests past their deadline.
const (
	simService  = 10 * ms // median of a lognormal time
	simSigma    = 0.4
	simRate     = 92.3 // requests per second and slot: 1 / (simService x exp(simSigma^2 / 2))
	simShed     = ms   // time to a target's refusal
	simDeadline = 250 * ms
	simReturns  = 3 // times that a refused caller comes back
)

// Crest of demand: half of the capacity, three times the capacity, half again.
const (
	crestStart = 5 * time.Second
	crestEnd   = 10 * time.Second
	simEnd     = 15 * time.Second
	calm       = 0.5
	crest      = 3.0
)

var simPriorities = []int{1, 5, 5, 9, 9} // one service each, equal demand

type simRequest struct {
	ticket   Ticket
	service  int
	sent     time.Duration
	returns  int
	first    time.Duration // arrival of the caller's first try
	answered bool
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

// simCase is a kind of targets.
type simCase struct {
	slots int
	sheds bool
	off   bool // no admission
}

func (c simCase) capacity() float64 { return simRate * float64(c.slots) }

type sim struct {
	simCase
	rng      *rand.Rand
	now      time.Duration
	events   simQueue
	c        *Controller
	services []*Service
	busy     int
	backlog  []*simRequest

	offered, good map[int]int // callers of the crest and their answers, by priority
	goodput       int         // answers during the crest
	latencies     []time.Duration
	refusedAfter  time.Duration // longest time from arrival to refusal
}

func newSim(settings Settings, sc simCase, seed uint64) *sim {
	s := &sim{simCase: sc, rng: rand.New(rand.NewPCG(seed, 5)), c: New(settings), offered: map[int]int{}, good: map[int]int{}}
	for i, p := range simPriorities {
		s.services = append(s.services, s.c.SetService(string(rune('a'+i)), ServiceConfig{Priority: p, MaxConcurrency: 1_000, MaxQueue: 400}))
	}
	s.after(0, s.arrive)
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		e.run()
	}
	return s
}

func (s *sim) after(d time.Duration, run func()) { heap.Push(&s.events, simEvent{s.now + d, run}) }

func (s *sim) arrive() {
	if s.now >= simEnd {
		return
	}
	rate := calm
	if s.now >= crestStart && s.now < crestEnd {
		rate = crest
	}
	s.after(time.Duration(s.rng.ExpFloat64()/(rate*s.capacity())*float64(time.Second)), s.arrive)
	r := &simRequest{service: s.rng.IntN(len(s.services)), first: s.now}
	if r.atCrest() {
		s.offered[simPriorities[r.service]]++
	}
	s.offer(r)
}

func (s *sim) offer(r *simRequest) {
	r.sent = s.now
	if s.off {
		s.run(r)
		return
	}
	r.ticket.Owner = r
	d := s.c.Offer(s.now, s.rng, s.services[r.service], s.now+simDeadline, &r.ticket)
	s.decide(r, d)
	s.handOut()
}

func (r *simRequest) atCrest() bool { return r.first >= crestStart && r.first < crestEnd }

func (s *sim) decide(r *simRequest, d Decision) {
	switch d.Verdict {
	case Admit:
		s.run(r)
	case Wait:
		s.after(d.WaitUntil-s.now, func() {
			if d, ok := s.c.Expire(s.now, s.rng, &r.ticket); ok {
				s.decide(r, d)
			}
		})
	case Refuse:
		s.refusedAfter = max(s.refusedAfter, s.now-r.sent)
		if r.returns < simReturns {
			again := &simRequest{service: r.service, returns: r.returns + 1, first: r.first}
			s.after(d.RetryAfter, func() { s.offer(again) })
		}
	}
}

func (s *sim) handOut() {
	for t, d := s.c.Next(s.now, s.rng); t != nil; t, d = s.c.Next(s.now, s.rng) {
		s.decide(t.Owner.(*simRequest), d)
	}
}

// run sends the request to the targets. The entry gives up at the deadline.
func (s *sim) run(r *simRequest) {
	if s.sheds && s.busy >= s.slots {
		s.after(simShed, func() {
			if !s.off && s.c.Release(s.now, &r.ticket, Shed) {
				s.handOut()
			}
		})
		return
	}
	s.backlog = append(s.backlog, r)
	if !s.off {
		s.after(r.sent+simDeadline-s.now, func() {
			if !r.answered && s.c.Release(s.now, &r.ticket, Overloaded) {
				s.handOut()
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
		d := time.Duration(float64(simService) * math.Exp(simSigma*s.rng.NormFloat64()))
		s.after(d, func() {
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
		if r.atCrest() {
			s.good[simPriorities[r.service]]++
		}
		if s.now >= crestStart && s.now < crestEnd {
			s.goodput++
		}
	}
	if !s.off && s.c.Release(s.now, &r.ticket, Finished) {
		s.handOut()
	}
}

func BenchmarkCrest(b *testing.B) {
	for _, sc := range []simCase{
		{slots: 100, off: true}, {slots: 100}, {slots: 100, sheds: true, off: true}, {slots: 100, sheds: true},
		{slots: 9, off: true}, {slots: 9}, {slots: 9, sheds: true, off: true}, {slots: 9, sheds: true},
	} {
		b.Run(fmt.Sprintf("slots=%d/sheds=%v/admission=%v", sc.slots, sc.sheds, !sc.off), func(b *testing.B) {
			n := float64(b.N)
			var good, p99, refused float64
			answered := map[int]float64{}
			for i := range b.N {
				s := newSim(DefaultSettings(), sc, uint64(i+1))
				good += float64(s.goodput)
				for _, p := range []int{1, 5, 9} {
					answered[p] += 100 * float64(s.good[p]) / float64(s.offered[p])
				}
				slices.Sort(s.latencies)
				p99 += float64(s.latencies[len(s.latencies)*99/100]) / float64(ms)
				refused += float64(s.refusedAfter) / float64(ms)
			}
			b.ReportMetric(100*good/n/(sc.capacity()*(crestEnd-crestStart).Seconds()), "goodput-%")
			b.ReportMetric(answered[1]/n, "priority1-%")
			b.ReportMetric(answered[5]/n, "priority5-%")
			b.ReportMetric(answered[9]/n, "priority9-%")
			b.ReportMetric(p99/n, "p99-ms")
			b.ReportMetric(refused/n, "refused-after-ms")
			b.ReportMetric(0, "ns/op")
		})
	}
}

package admission

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const ms = time.Millisecond

func newRand() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

// Guards against requests that are lost, decided twice or held forever, and against more
// running or waiting requests than the limits allow.
func TestEveryRequestIsDecidedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		settings := DefaultSettings()
		settings.MinLimit, settings.InitialLimit, settings.MaxQueue = 2, 4, 6
		c, rng, now := New(settings), newRand(), time.Duration(0)
		names := []string{"a", "b", "c"}
		services := map[string]*Service{}
		set := func(name string) {
			services[name] = c.SetService(name, ServiceConfig{
				Priority:       rapid.IntRange(0, 10).Draw(t, "priority"),
				MaxConcurrency: rapid.IntRange(0, 4).Draw(t, "concurrency"),
				MaxQueue:       rapid.IntRange(0, 4).Draw(t, "queue"),
			})
		}
		for _, name := range names {
			set(name)
		}
		running, waiting := map[*Ticket]bool{}, map[*Ticket]bool{}
		take := func(ticket *Ticket, d Decision) {
			delete(waiting, ticket)
			switch d.Verdict {
			case Admit:
				running[ticket] = true
			case Wait:
				waiting[ticket] = true
				if d.WaitUntil > ticket.deadline {
					t.Fatalf("WaitUntil %v is after the deadline %v", d.WaitUntil, ticket.deadline)
				}
			case Refuse:
				if d.Reason == NoReason || d.RetryAfter < settings.MinRetryAfter || d.RetryAfter > settings.MaxRetryAfter {
					t.Fatalf("refusal %+v", d)
				}
			}
		}
		first := func(set map[*Ticket]bool) *Ticket {
			var oldest *Ticket
			for ticket := range set {
				if oldest == nil || ticket.Owner.(int) < oldest.Owner.(int) {
					oldest = ticket
				}
			}
			return oldest
		}
		for step := range rapid.IntRange(1, 150).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 30).Draw(t, "ms")) * ms
			name := rapid.SampledFrom(names).Draw(t, "service")
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			default:
				ticket := &Ticket{Owner: step}
				deadline := now + time.Duration(rapid.IntRange(-10, 300).Draw(t, "deadline"))*ms
				take(ticket, c.Submit(now, rng, services[name], deadline, ticket))
			case 0, 1, 2:
				if ticket := first(running); ticket != nil {
					delete(running, ticket)
					if !c.Release(now, ticket, Result(rapid.IntRange(0, 3).Draw(t, "result"))) || c.Release(now, ticket, Finished) {
						t.Fatalf("Release must succeed exactly once")
					}
				}
			case 3:
				if ticket := first(waiting); ticket != nil {
					d, ok := c.Expire(now, rng, ticket)
					if !ok {
						t.Fatalf("Expire failed for a waiting ticket")
					}
					take(ticket, d)
				}
			case 4:
				set(name)
			case 5:
				c.RemoveService(name)
				set(name)
			}
			for {
				ticket, d := c.Next(now, rng)
				if ticket == nil {
					break
				}
				if !waiting[ticket] || d.Verdict == Wait {
					t.Fatalf("Next returned %+v with %+v", ticket, d)
				}
				take(ticket, d)
			}
			if c.InFlight() != len(running) || c.Waiting() != len(waiting) || c.Waiting() > settings.MaxQueue {
				t.Fatalf("in flight %d, waiting %d, want %d, %d", c.InFlight(), c.Waiting(), len(running), len(waiting))
			}
		}
		for ticket := range running {
			c.Release(now, ticket, Shed)
		}
		c.freeHeldSlots(now + time.Hour)
		for _, s := range services {
			if s.InFlight() != 0 || c.limiter.inFlight != 0 {
				t.Fatalf("%d of %d slots are leaked", s.InFlight(), c.limiter.inFlight)
			}
		}
	})
}

// saturated returns a controller with a limit of 1, which a request of "high" uses, and a known
// latency of 100 ms.
func saturated() (c *Controller, low, high *Service, running *Ticket) {
	settings := DefaultSettings()
	settings.MinLimit, settings.InitialLimit, settings.MaxLimit = 1, 1, 1
	settings.MinPriorityShare = 0.1
	c = New(settings)
	high = c.SetService("high", ServiceConfig{Priority: 1, MaxConcurrency: 10, MaxQueue: 100})
	low = c.SetService("low", ServiceConfig{Priority: 9, MaxConcurrency: 10, MaxQueue: 100})
	running = &Ticket{}
	for range 2 {
		*running = Ticket{}
		c.Submit(0, newRand(), high, time.Hour, running)
		if high.Baseline() == 0 {
			c.Release(100*ms, running, Finished)
		}
	}
	return c, low, high, running
}

// Guards against low priorities that are served first, and against their starvation.
func TestHighPriorityFirstWithFloor(t *testing.T) {
	is := is.New(t)
	c, low, high, running := saturated()
	rng, now := newRand(), 100*ms
	for range 50 {
		is.Equal(c.Submit(now, rng, low, time.Hour, &Ticket{}).Verdict, Wait)
		is.Equal(c.Submit(now, rng, high, time.Hour, &Ticket{}).Verdict, Wait)
	}
	lowServed := 0
	for i := range 50 {
		now += 100 * ms
		c.Release(now, running, Finished)
		next, d := c.Next(now, rng)
		is.Equal(d.Verdict, Admit)
		is.True(i > 0 || next.service == high)
		if next.service == low {
			lowServed++
		}
		running = next
	}
	is.True(lowServed >= 4 && lowServed <= 5) // MinPriorityShare is 10% of 50
}

// Guards against requests that wait although they cannot meet their deadline.
func TestRefusesAtArrivalWhenTheWaitLeavesNoTime(t *testing.T) {
	is := is.New(t)
	c, low, high, _ := saturated()
	rng, now := newRand(), 100*ms
	is.Equal(c.Submit(now, rng, high, now+500*ms, &Ticket{}).Verdict, Wait) // expected wait 100 ms, bound 125 ms
	d := c.Submit(now, rng, high, now+500*ms, &Ticket{})
	is.Equal(d.Verdict, Refuse)
	is.Equal(d.Reason, DeadlineTooShort)
	is.Equal(c.Submit(now, rng, low, now+500*ms, &Ticket{}).Verdict, Refuse) // high takes all the capacity
}

// Guards against a queue full of low-priority requests that locks out a high priority.
func TestFullQueueDisplacesLowPriority(t *testing.T) {
	is := is.New(t)
	c, low, high, _ := saturated()
	c.settings.MaxQueue = 3
	rng, now := newRand(), 100*ms
	last := &Ticket{}
	for _, ticket := range []*Ticket{{}, {}, last} {
		is.Equal(c.Submit(now, rng, low, time.Hour, ticket).Verdict, Wait)
	}
	is.Equal(c.Submit(now, rng, low, time.Hour, &Ticket{}).Reason, QueueFull)
	is.Equal(c.Submit(now, rng, high, time.Hour, &Ticket{}).Verdict, Wait)
	refused, d := c.Next(now, rng)
	is.Equal(refused, last)
	is.Equal(d.Reason, Displaced)
	is.Equal(c.Submit(now, rng, high, time.Hour, &Ticket{}).Verdict, Wait)
	is.Equal(c.Submit(now, rng, high, time.Hour, &Ticket{}).Reason, QueueFull) // the last low-priority request stays
	is.Equal(low.Waiting(), 1)
}

// Guards against a limit that stays high when the latency rises, or low when it falls again.
func TestLimitFollowsLatency(t *testing.T) {
	is := is.New(t)
	c, rng, now := New(DefaultSettings()), newRand(), time.Duration(0)
	s := c.SetService("s", ServiceConfig{Priority: 1, MaxConcurrency: 1_000})
	run := func(latency time.Duration, rounds int) int {
		for range rounds {
			var open []*Ticket
			for {
				ticket := &Ticket{}
				if c.Submit(now, rng, s, time.Hour, ticket).Verdict != Admit {
					break
				}
				open = append(open, ticket)
			}
			now += latency
			for _, ticket := range open {
				c.Release(now, ticket, Finished)
			}
		}
		return c.Limit()
	}
	fast := run(20*ms, 100)
	is.True(fast > 200)
	slow := run(100*ms, 20)
	is.True(slow < fast/2)
	is.True(run(20*ms, 100) > slow)
}

// Guards against refused callers that all retry at the same moment.
func TestRetryAfterSpreadsReturns(t *testing.T) {
	is := is.New(t)
	c, _, high, _ := saturated()
	c.mean = 0.01 // 10 ms with a limit of 1: 100 requests per second
	rng, now := newRand(), 100*ms
	perSecond := map[int]int{}
	for range 400 {
		d := c.Submit(now, rng, high, now+ms, &Ticket{})
		is.Equal(d.Verdict, Refuse)
		perSecond[int(d.RetryAfter/time.Second)]++
	}
	for second, n := range perSecond {
		is.True(second < 5)
		is.True(n < 250) // of 400 refused at once
	}
}

// Guards against allocations in the request path.
func TestRequestPathDoesNotAllocate(t *testing.T) {
	is := is.New(t)
	is.Equal(testing.AllocsPerRun(100, newRequestLoop(25)), 0.0)
}

// Guards against a limit that falls without load because the fastest answers are taken as the
// latency without load.
func TestLimitIsStableUnderLatencySpread(t *testing.T) {
	is := is.New(t)
	settings := DefaultSettings()
	c, rng, now := New(settings), newRand(), time.Duration(0)
	s := c.SetService("s", ServiceConfig{Priority: 1, MaxConcurrency: 100})
	for range 100_000 {
		ticket := &Ticket{}
		is.Equal(c.Submit(now, rng, s, now+time.Hour, ticket).Verdict, Admit)
		now += time.Duration(float64(10*ms) * math.Exp(0.5*rng.NormFloat64()))
		c.Release(now, ticket, Finished)
	}
	is.Equal(c.Limit(), int(settings.InitialLimit))
	is.Equal(s.Limit(), 100)
	is.True(s.Baseline() > 7*ms && s.Baseline() < 12*ms)
}

// Guards against a demand peak in which no answer is in time, high priorities are displaced or
// low priorities starve.
func TestCrestServesHighPrioritiesAtFullCapacity(t *testing.T) {
	is := is.New(t)
	s := newSim(DefaultSettings(), simCase{slots: 100}, 2)
	capacity := s.capacity() * (crestEnd - crestStart).Seconds()
	is.True(float64(s.goodput) > 0.95*capacity)
	is.True(float64(s.inTime[1]) > 0.99*float64(s.offered[1]))
	is.True(float64(s.inTime[9]) > 0.02*capacity)
	is.True(s.maxRefusalTime <= simDeadline/2)
}

// Guards against a limit above the capacity of the targets, which sends every waiting request
// to a target that sheds it.
func TestCrestOnTargetsThatShed(t *testing.T) {
	is := is.New(t)
	s := newSim(DefaultSettings(), simCase{slots: 9, sheds: true}, 1)
	is.True(float64(s.goodput) > 0.95*s.capacity()*(crestEnd-crestStart).Seconds())
	is.True(float64(s.inTime[1]) > 0.85*float64(s.offered[1]))
}

// Guards against a service with slow targets that takes the capacity of the others, against
// lower limits for all services when one is the cause, and against lower service limits when
// the entry is the cause.
func TestLimitOfTheCauseFalls(t *testing.T) {
	is := is.New(t)
	settings := DefaultSettings()
	run := func(slowServices int) (c *Controller, services [3]*Service) {
		rng, now := newRand(), time.Duration(0)
		c = New(settings)
		for i := range services {
			services[i] = c.SetService(string(rune('a'+i)), ServiceConfig{Priority: 5, MaxConcurrency: 40})
		}
		for round := range 300 {
			for i, s := range services {
				latency := 10 * ms
				if round >= 100 && i < slowServices {
					latency = 50 * ms
				}
				for range 5 {
					ticket := &Ticket{}
					if c.Submit(now, rng, s, now+time.Hour, ticket).Verdict == Admit {
						c.Release(now+latency, ticket, Finished)
					}
				}
			}
			now += 20 * ms
		}
		return c, services
	}
	c, services := run(1)
	is.Equal(services[0].Limit(), int(settings.MinServiceLimit))
	is.Equal(services[1].Limit(), 40)
	is.Equal(c.Limit(), int(settings.InitialLimit))
	c, services = run(3)
	is.True(services[0].Limit() >= 34) // at most one decrease before the first vote
	is.Equal(c.Limit(), int(settings.MinLimit))
}

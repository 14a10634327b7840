package admission

import (
	"slices"
	"time"
)

// Controller decides on the requests of all services of one entry. Create it
// with New.
type Controller struct {
	settings Settings
	limiter  limiter
	services map[string]*Service
	classes  [Lowest + 1]class
	refused  queue // decided by the controller, to be handed out by Next
	waiting  int
	tally    tally
	cooling  []place       // places of shed requests
	coolAt   time.Duration // the first end of one of them
	// mean is the recent mean latency of all services in seconds.
	mean float64
	// refusals is the decayed number of refusals at refusedAt.
	refusals  float64
	refusedAt time.Duration
}

// class holds the services of one priority.
type class struct {
	services []*Service
	cursor   int // the service that is served next
	waiting  int
	// credit grows by FloorShare with each admission of another class.
	credit float64
	// admitted is the decayed number of admissions, in units of admissions.
	admitted float64
}

// New returns a controller without services.
func New(s Settings) *Controller {
	return &Controller{
		settings: s,
		limiter:  newLimiter(s.InitialLimit, s.MinLimit, s.MaxLimit),
		services: map[string]*Service{},
	}
}

// SetService adds a service or changes its limits. Its requests that run or wait
// stay. The Service is the same for every call with one name.
func (c *Controller) SetService(name string, config ServiceConfig) *Service {
	config.Priority = min(max(config.Priority, Highest), Lowest)
	most := float64(max(config.MaxConcurrency, 1))
	s := c.services[name]
	if s == nil {
		s = &Service{
			name:    name,
			limiter: newLimiter(most, c.settings.MinServiceLimit, most),
			vote:    vote{pressure: -1},
		}
		c.services[name] = s
	} else {
		s.limiter.setMost(c.settings.MinServiceLimit, most)
		if s.config.Priority == config.Priority {
			// Leaving and joining the class again takes time for each of its services.
			s.config = config
			return s
		}
		c.leaveClass(s)
	}
	s.config = config
	class := &c.classes[config.Priority]
	class.services = append(class.services, s)
	class.waiting += s.queue.length
	return s
}

// SetMaxLimit changes the upper bound of the number of requests that run at once
// at this entry.
func (c *Controller) SetMaxLimit(most float64) { c.limiter.setMost(c.settings.MinLimit, most) }

// RemoveService removes a service. Next hands out its waiting requests as
// refused; the ones that run still need Release.
func (c *Controller) RemoveService(name string) {
	s := c.services[name]
	if s == nil {
		return
	}
	for s.queue.head != nil {
		c.refuseWaiting(s.queue.head, ServiceRemoved)
	}
	c.leaveClass(s)
	delete(c.services, name)
	s.removed = true
}

func (c *Controller) leaveClass(s *Service) {
	class := &c.classes[s.config.Priority]
	class.waiting -= s.queue.length
	class.services = slices.DeleteFunc(class.services, func(other *Service) bool { return other == s })
}

// Offer decides on a new request with an absolute deadline. After Wait, the
// caller waits for Next to hand out the ticket, at most until WaitUntil. Offer
// can displace a waiting request, so that Next follows.
func (c *Controller) Offer(now time.Duration, rng Rand, s *Service, deadline time.Duration, t *Ticket) Decision {
	t.service, t.deadline = s, deadline
	c.cool(now)
	switch {
	case s.removed:
		return c.refuse(now, rng, t, ServiceRemoved)
	case deadline <= now:
		return c.refuse(now, rng, t, DeadlineTooShort)
	case s.queue.length == 0 && c.limiter.room() && s.limiter.room():
		// While the entry has room, requests wait only for their own service.
		return c.admit(now, t)
	case c.expectedWait(s) > c.longestWait(now, t):
		return c.refuse(now, rng, t, DeadlineTooShort)
	case !c.makeRoom(s):
		return c.refuse(now, rng, t, QueueFull)
	}
	t.state, t.waitUntil = stateWaiting, now+2*c.longestWait(now, t)
	s.queue.push(t)
	c.classes[s.config.Priority].waiting++
	c.waiting++
	return Decision{Verdict: Wait, WaitUntil: t.waitUntil}
}

// Next hands out one decided ticket, or nil when there is none. Call it until
// it returns nil after each Offer, Release, Expire and RemoveService.
func (c *Controller) Next(now time.Duration, rng Rand) (*Ticket, Decision) {
	c.cool(now)
	if t := c.refused.head; t != nil {
		c.refused.remove(t)
		return t, c.refuse(now, rng, t, t.refusal)
	}
	t := c.choose()
	if t == nil {
		return nil, Decision{}
	}
	c.removeWaiting(t)
	if now > t.waitUntil {
		return t, c.refuse(now, rng, t, DeadlineTooShort)
	}
	return t, c.admit(now, t)
}

// Expire takes a waiting request back, because WaitUntil has come or its caller
// has gone. It reports false when the request is already decided; then Next has
// handed it out or will do so.
func (c *Controller) Expire(now time.Duration, rng Rand, t *Ticket) (Decision, bool) {
	if t.state != stateWaiting {
		return Decision{}, false
	}
	c.removeWaiting(t)
	return c.refuse(now, rng, t, DeadlineTooShort), true
}

// Release ends an admitted request. It reports false, and does nothing, for a
// ticket that does not run.
func (c *Controller) Release(now time.Duration, t *Ticket, result Result) bool {
	if t.state != stateRunning {
		return false
	}
	t.state = stateEnded
	s := t.service
	if result == Shed {
		c.keepPlace(t)
	} else {
		s.limiter.leave()
		c.limiter.leave()
	}
	if result == Abandoned {
		return true
	}
	latency := max(now-t.admittedAt, 0)
	sig := c.signal(now, s, latency, result)
	s.mean = average(s.mean, latency, sig)
	c.mean = average(c.mean, latency, sig)
	c.adapt(now, s, sig)
	c.cool(now)
	return true
}

func (c *Controller) signal(now time.Duration, s *Service, latency time.Duration, result Result) signal {
	switch {
	case result == Shed:
		return shed
	case result == Overloaded || s.baseline.sample(&c.settings, now, latency):
		return slow
	default:
		return fast
	}
}

// Limit returns the number of requests that may run at once at this entry.
func (c *Controller) Limit() int { return int(c.limiter.limit) }

// InFlight returns the number of requests that run.
func (c *Controller) InFlight() int { return c.limiter.inFlight - len(c.cooling) }

// Waiting returns the number of requests that wait.
func (c *Controller) Waiting() int { return c.waiting }

// longestWait is the expected wait up to which a request joins the queue. Twice
// this wait still leaves time for the recent mean latency.
func (c *Controller) longestWait(now time.Duration, t *Ticket) time.Duration {
	left := t.deadline - now
	mean := toDuration(t.service.mean)
	wait := max(time.Duration(c.settings.MaxWaitPart*float64(left)), mean)
	return max(min(wait, (left-mean)/2), 0)
}

func (c *Controller) admit(now time.Duration, t *Ticket) Decision {
	t.state, t.admittedAt = stateRunning, now
	t.service.limiter.enter()
	c.limiter.enter()
	c.countAdmission(t.service.config.Priority)
	return Decision{Verdict: Admit}
}

func (c *Controller) removeWaiting(t *Ticket) {
	t.service.queue.remove(t)
	c.classes[t.service.config.Priority].waiting--
	c.waiting--
}

func (c *Controller) refuseWaiting(t *Ticket, reason Reason) {
	c.removeWaiting(t)
	t.state, t.refusal = stateRefused, reason
	c.refused.push(t)
}

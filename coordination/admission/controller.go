package admission

import (
	"slices"
	"time"
)

// Controller makes the admission decisions for all services of one entry. Create it with New.
type Controller struct {
	settings    Settings
	limiter     limiter
	services    map[string]*Service
	classes     [Lowest + 1]class
	refused     queue // refused while waiting, to be returned by Next
	waiting     int
	totals      voteTotals
	heldSlots   []heldSlot    // slots still held by shed requests
	nextHoldEnd time.Duration // earliest end of a hold
	// mean is the recent mean latency of all services, in seconds.
	mean float64
	// refusals is the exponentially decayed number of refusals as of refusedAt.
	refusals  float64
	refusedAt time.Duration
}

// class holds the services of one priority.
type class struct {
	services []*Service
	cursor   int // index of the next service in round-robin order
	waiting  int
	// credit grows by MinPriorityShare whenever another class is preferred. At 1 the class is
	// due for an admission.
	credit float64
	// admitted is the exponentially decayed number of admissions.
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

// SetService adds a service or changes its limits. Running and waiting requests of the service
// are not affected. Calls with the same name return the same Service.
func (c *Controller) SetService(name string, config ServiceConfig) *Service {
	config.Priority = min(max(config.Priority, Highest), Lowest)
	maxConcurrency := float64(max(config.MaxConcurrency, 1))
	s := c.services[name]
	if s == nil {
		s = &Service{
			name:    name,
			limiter: newLimiter(maxConcurrency, c.settings.MinServiceLimit, maxConcurrency),
			vote:    vote{pressure: -1},
		}
		c.services[name] = s
	} else {
		s.limiter.setBounds(c.settings.MinServiceLimit, maxConcurrency)
		if s.config.Priority == config.Priority {
			// Removing the service from its class and adding it again would take time
			// linear in the number of services of the class.
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

// SetMaxLimit changes the upper bound of the entry's concurrency limit.
func (c *Controller) SetMaxLimit(maxLimit float64) {
	c.limiter.setBounds(c.settings.MinLimit, maxLimit)
}

// RemoveService removes a service. Next returns its waiting requests as refused. Its running
// requests still need Release.
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

// Submit decides on a new request with an absolute deadline. After Wait, the caller waits until
// Next returns the ticket, at most until WaitUntil. Submit can displace a waiting request, so
// Next must be called afterwards.
func (c *Controller) Submit(now time.Duration, rng Rand, s *Service, deadline time.Duration, t *Ticket) Decision {
	t.service, t.deadline = s, deadline
	c.freeHeldSlots(now)
	switch {
	case s.removed:
		return c.refuse(now, rng, t, ServiceRemoved)
	case deadline <= now:
		return c.refuse(now, rng, t, DeadlineTooShort)
	case s.queue.length == 0 && c.limiter.hasCapacity() && s.limiter.hasCapacity():
		// While the entry is below its limit, a request waits only for its own service.
		return c.admit(now, t)
	case c.expectedWait(s) > c.maxWait(now, t):
		return c.refuse(now, rng, t, DeadlineTooShort)
	case !c.ensureQueueSpace(s):
		return c.refuse(now, rng, t, QueueFull)
	}
	t.state, t.waitUntil = stateWaiting, now+2*c.maxWait(now, t)
	s.queue.push(t)
	c.classes[s.config.Priority].waiting++
	c.waiting++
	return Decision{Verdict: Wait, WaitUntil: t.waitUntil}
}

// Next returns a decided ticket, or nil if there is none. After each Submit, Release, Expire and
// RemoveService, call it until it returns nil.
func (c *Controller) Next(now time.Duration, rng Rand) (*Ticket, Decision) {
	c.freeHeldSlots(now)
	if t := c.refused.head; t != nil {
		c.refused.remove(t)
		return t, c.refuse(now, rng, t, t.refusal)
	}
	t := c.selectNext()
	if t == nil {
		return nil, Decision{}
	}
	c.removeWaiting(t)
	if now > t.waitUntil {
		return t, c.refuse(now, rng, t, DeadlineTooShort)
	}
	return t, c.admit(now, t)
}

// Expire refuses a waiting request because WaitUntil has passed or its caller has gone away. It
// returns false if the request is already decided. Next then has returned the ticket or will
// return it.
func (c *Controller) Expire(now time.Duration, rng Rand, t *Ticket) (Decision, bool) {
	if t.state != stateWaiting {
		return Decision{}, false
	}
	c.removeWaiting(t)
	return c.refuse(now, rng, t, DeadlineTooShort), true
}

// Release ends an admitted request. If the request is not running, Release does nothing and
// returns false.
func (c *Controller) Release(now time.Duration, t *Ticket, result Result) bool {
	if t.state != stateRunning {
		return false
	}
	t.state = stateEnded
	s := t.service
	if result == Shed {
		c.holdSlot(t)
	} else {
		s.limiter.release()
		c.limiter.release()
	}
	if result == Abandoned {
		return true
	}
	latency := max(now-t.admittedAt, 0)
	sig := c.signal(now, s, latency, result)
	s.mean = updateMean(s.mean, latency, sig)
	c.mean = updateMean(c.mean, latency, sig)
	c.adapt(now, s, sig)
	c.freeHeldSlots(now)
	return true
}

func (c *Controller) signal(now time.Duration, s *Service, latency time.Duration, result Result) signal {
	switch {
	case result == Shed:
		return shed
	case result == DeadlineExceeded || s.baseline.observe(&c.settings, now, latency):
		return slow
	default:
		return fast
	}
}

// Limit returns the entry's concurrency limit.
func (c *Controller) Limit() int { return int(c.limiter.limit) }

// InFlight returns the number of running requests.
func (c *Controller) InFlight() int { return c.limiter.inFlight - len(c.heldSlots) }

// Waiting returns the number of waiting requests.
func (c *Controller) Waiting() int { return c.waiting }

// maxWait returns the maximum expected wait with which a request may join the queue. Twice this
// wait still leaves time for the recent mean latency.
func (c *Controller) maxWait(now time.Duration, t *Ticket) time.Duration {
	remaining := t.deadline - now
	mean := toDuration(t.service.mean)
	wait := max(time.Duration(c.settings.MaxWaitRatio*float64(remaining)), mean)
	return max(min(wait, (remaining-mean)/2), 0)
}

func (c *Controller) admit(now time.Duration, t *Ticket) Decision {
	t.state, t.admittedAt = stateRunning, now
	t.service.limiter.acquire()
	c.limiter.acquire()
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

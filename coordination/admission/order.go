package admission

import "time"

// admissionDecay is the factor by which each admission multiplies the admission counts, which
// therefore average over about 256 admissions.
const admissionDecay = 1 - 1.0/256

// selectNext returns the waiting ticket that runs next, or nil. A class that was passed over
// 1/MinPriorityShare times goes first, otherwise the highest priority.
func (c *Controller) selectNext() *Ticket {
	if c.waiting == 0 || !c.limiter.hasCapacity() {
		return nil
	}
	var first, overdue *Ticket
	firstClass, overdueClass := 0, 0
	for p := Highest; p <= Lowest; p++ {
		class := &c.classes[p]
		if class.waiting == 0 {
			class.credit = 0
			continue
		}
		t := class.peek()
		if t == nil {
			continue
		}
		if first == nil {
			first, firstClass = t, p
			continue
		}
		class.credit += c.settings.MinPriorityShare
		if class.credit >= 1 && (overdue == nil || class.credit > c.classes[overdueClass].credit) {
			overdue, overdueClass = t, p
		}
	}
	if overdue != nil {
		first, firstClass = overdue, overdueClass
		c.classes[overdueClass].credit--
	}
	if first != nil {
		c.classes[firstClass].advance(first.service)
	}
	return first
}

// peek returns the oldest ticket of the next service in round-robin order that is below its
// limit, or nil.
func (cl *class) peek() *Ticket {
	n := len(cl.services)
	for i := range n {
		s := cl.services[(cl.cursor+i)%n]
		if s.queue.head != nil && s.limiter.hasCapacity() {
			return s.queue.head
		}
	}
	return nil
}

// advance moves the round-robin cursor past s.
func (cl *class) advance(s *Service) {
	n := len(cl.services)
	for i := range n {
		if k := (cl.cursor + i) % n; cl.services[k] == s {
			cl.cursor = (k + 1) % n
			return
		}
	}
}

// countAdmission adds an admission to the decayed counts of the classes.
func (c *Controller) countAdmission(priority int) {
	for p := range c.classes {
		c.classes[p].admitted *= admissionDecay
	}
	c.classes[priority].admitted++
}

// expectedWait estimates the wait of a new request by Little's law: the entry starts limit /
// mean latency requests per second, less the share that higher priorities took recently. The
// guaranteed share of the request's own priority bounds the estimate, so that a few requests of
// each priority can always wait.
func (c *Controller) expectedWait(s *Service) time.Duration {
	ahead, higher, total := 1, 0.0, 0.0
	for p := Highest; p <= Lowest; p++ {
		total += c.classes[p].admitted
		if p <= s.config.Priority {
			ahead += c.classes[p].waiting
		}
		if p < s.config.Priority {
			higher += c.classes[p].admitted
		}
	}
	available := 1.0
	if total > 0 {
		available = max(1-higher/total, c.settings.MinPriorityShare)
	}
	interval := c.mean / c.limiter.limit
	wait := float64(ahead) * interval / available
	bound := float64(c.classes[s.config.Priority].waiting+1) * interval / c.settings.MinPriorityShare
	ownWait := float64(s.queue.length+1) * s.mean / s.limiter.limit
	if c.limiter.hasCapacity() {
		return toDuration(ownWait)
	}
	return toDuration(max(min(wait, bound), ownWait))
}

// ensureQueueSpace reports whether a new request of s may join the queue. If the entry's queue
// is full, it displaces a waiting request of the lowest priority possible. That priority is
// below the one of s, unless no request of the priority of s is waiting.
func (c *Controller) ensureQueueSpace(s *Service) bool {
	if s.queue.length >= s.config.MaxQueue {
		return false
	}
	if c.waiting < c.settings.MaxQueue {
		return true
	}
	own := s.config.Priority
	for p := Lowest; p > own; p-- {
		// The last waiting request of a class stays, so that the class can use its
		// guaranteed share.
		if c.classes[p].waiting > 1 {
			return c.displace(p)
		}
	}
	if c.classes[own].waiting > 0 {
		return false
	}
	for p := Lowest; p >= Highest; p-- {
		if c.classes[p].waiting > 1 {
			return c.displace(p)
		}
	}
	return false
}

// displace refuses the newest request in the longest queue of a class, which has the longest
// expected wait.
func (c *Controller) displace(priority int) bool {
	var longest *Service
	for _, s := range c.classes[priority].services {
		if longest == nil || s.queue.length > longest.queue.length {
			longest = s
		}
	}
	if longest == nil || longest.queue.tail == nil {
		return false
	}
	c.refuseWaiting(longest.queue.tail, Displaced)
	return true
}

package admission

import "time"

// admissionDecay is the factor on the admission counts with each admission. They
// average over about 256 admissions.
const admissionDecay = 1 - 1.0/256

// choose returns the waiting ticket that runs next, or nil. A class that was
// passed over 1/FloorShare times goes first, else the highest priority.
func (c *Controller) choose() *Ticket {
	if c.waiting == 0 || !c.limiter.room() {
		return nil
	}
	var first, floor *Ticket
	firstClass, floorClass := 0, 0
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
		class.credit += c.settings.FloorShare
		if class.credit >= 1 && (floor == nil || class.credit > c.classes[floorClass].credit) {
			floor, floorClass = t, p
		}
	}
	if floor != nil {
		first, firstClass = floor, floorClass
		c.classes[floorClass].credit--
	}
	if first != nil {
		c.classes[firstClass].advance(first.service)
	}
	return first
}

// peek returns the oldest ticket of the next service in turn that may run.
func (l *class) peek() *Ticket {
	n := len(l.services)
	for i := range n {
		s := l.services[(l.cursor+i)%n]
		if s.queue.head != nil && s.limiter.room() {
			return s.queue.head
		}
	}
	return nil
}

// advance moves the turn past s.
func (l *class) advance(s *Service) {
	n := len(l.services)
	for i := range n {
		if k := (l.cursor + i) % n; l.services[k] == s {
			l.cursor = (k + 1) % n
			return
		}
	}
}

// countAdmission updates each class's part of the admissions.
func (c *Controller) countAdmission(priority int) {
	for p := range c.classes {
		c.classes[p].admitted *= admissionDecay
	}
	c.classes[priority].admitted++
}

// expectedWait estimates the wait of a new request from Little's law: the
// entry starts limit / mean latency requests per second, and the part of them
// that higher priorities took recently is not available. The floor bounds the
// estimate, so that a few requests of each priority always wait.
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
		available = max(1-higher/total, c.settings.FloorShare)
	}
	interval := c.mean / c.limiter.limit
	wait := float64(ahead) * interval / available
	floor := float64(c.classes[s.config.Priority].waiting+1) * interval / c.settings.FloorShare
	own := float64(s.queue.length+1) * s.mean / s.limiter.limit
	if c.limiter.room() {
		return toDuration(own)
	}
	return toDuration(max(min(wait, floor), own))
}

// makeRoom makes a place for a new request of s in the queue. When the entry's
// queue is full, the newest request of the lowest priority gives way.
func (c *Controller) makeRoom(s *Service) bool {
	if s.queue.length >= s.config.MaxQueue {
		return false
	}
	if c.waiting < c.settings.MaxQueue {
		return true
	}
	own := s.config.Priority
	for p := Lowest; p > own; p-- {
		// The last one of a class stays, so that the floor has something to serve.
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

// displace refuses the newest request of the longest queue of a class. It had
// the longest wait ahead.
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

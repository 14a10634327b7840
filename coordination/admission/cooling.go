package admission

import "time"

// place is the place of a shed request.
type place struct {
	service *Service
	until   time.Duration
}

// keepPlace keeps the place of a shed request until the service's mean latency
// has passed since its admission. A target refuses within a millisecond; a place
// that is free at once would take the next request to the same full target, and
// a limit that is one too high would send a whole queue there.
func (c *Controller) keepPlace(t *Ticket) {
	until := t.admittedAt + toDuration(t.service.mean)
	if len(c.cooling) == 0 || until < c.coolAt {
		c.coolAt = until
	}
	c.cooling = append(c.cooling, place{service: t.service, until: until})
}

// cool frees the places whose time has come.
func (c *Controller) cool(now time.Duration) {
	if len(c.cooling) == 0 || now < c.coolAt {
		return
	}
	kept := c.cooling[:0]
	for _, p := range c.cooling {
		if p.until > now {
			if len(kept) == 0 || p.until < c.coolAt {
				c.coolAt = p.until
			}
			kept = append(kept, p)
			continue
		}
		p.service.limiter.leave()
		c.limiter.leave()
	}
	clear(c.cooling[len(kept):])
	c.cooling = kept
}

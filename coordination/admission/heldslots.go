package admission

import "time"

// heldSlot is a concurrency slot that a shed request keeps until a given time.
type heldSlot struct {
	service *Service
	until   time.Duration
}

// holdSlot keeps the slot of a shed request until the service's mean latency has passed since
// its admission. A target refuses a request within a millisecond. If the slot were freed at
// once, the next request would reach the same full target, and a limit that is one too high
// would send the whole queue there.
func (c *Controller) holdSlot(t *Ticket) {
	until := t.admittedAt + toDuration(t.service.mean)
	if len(c.heldSlots) == 0 || until < c.nextHoldEnd {
		c.nextHoldEnd = until
	}
	c.heldSlots = append(c.heldSlots, heldSlot{service: t.service, until: until})
}

// freeHeldSlots releases the held slots whose time has passed.
func (c *Controller) freeHeldSlots(now time.Duration) {
	if len(c.heldSlots) == 0 || now < c.nextHoldEnd {
		return
	}
	kept := c.heldSlots[:0]
	for _, held := range c.heldSlots {
		if held.until > now {
			if len(kept) == 0 || held.until < c.nextHoldEnd {
				c.nextHoldEnd = held.until
			}
			kept = append(kept, held)
			continue
		}
		held.service.limiter.release()
		c.limiter.release()
	}
	clear(c.heldSlots[len(kept):])
	c.heldSlots = kept
}

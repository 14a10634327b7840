package admission

import "time"

const (
	// minVotes is the number of finished requests in a window from which a
	// service counts for the entry's limit.
	minVotes = 5
	// alonePart is the part of slow requests of the other services below which
	// a slow service is slow alone. It is below slowPart, because the estimates
	// of the latency without load differ between services.
	alonePart = 0.25
)

// vote counts a service's finished requests in the entry's window.
type vote struct {
	samples, slow int
	// part is the part of slow requests in the last window, and below zero when
	// there were too few.
	part float64
}

func (v *vote) add(slow bool) {
	v.samples++
	if slow {
		v.slow++
	}
}

func (v *vote) close() {
	v.part = -1
	if v.samples >= minVotes {
		v.part = float64(v.slow) / float64(v.samples)
	}
	v.samples, v.slow = 0, 0
}

// tally sums the votes of the last window.
type tally struct {
	voters, slowVoters int
	parts              float64
}

// adapt counts a finished request and changes the limits at the end of their
// windows. The entry's limit falls when most of the services are slow, whatever
// their traffic. A service's limit falls when it is slow alone: then its own
// targets are the cause, and the other services keep their places.
func (c *Controller) adapt(now time.Duration, s *Service, slow bool) {
	s.vote.add(slow)
	if s.limiter.sample(&c.settings, now, slow) {
		s.limiter.adapt(&c.settings, now, s.limiter.mostSlow() && c.othersFast(s))
	}
	if c.limiter.sample(&c.settings, now, slow) {
		c.closeVotes()
		c.limiter.adapt(&c.settings, now, c.mostSlow())
	}
}

func (c *Controller) closeVotes() {
	c.tally = tally{}
	for p := range c.classes {
		for _, s := range c.classes[p].services {
			s.vote.close()
			if s.vote.part < 0 {
				continue
			}
			c.tally.voters++
			c.tally.parts += s.vote.part
			if s.vote.part > slowPart {
				c.tally.slowVoters++
			}
		}
	}
}

// mostSlow reports whether most services are slow. Without a service that has
// enough samples, all samples decide.
func (c *Controller) mostSlow() bool {
	if c.tally.voters == 0 {
		return c.limiter.mostSlow()
	}
	return float64(c.tally.slowVoters) > slowPart*float64(c.tally.voters)
}

// othersFast reports whether other services have finished requests and few of
// them were slow.
func (c *Controller) othersFast(s *Service) bool {
	voters, parts := c.tally.voters, c.tally.parts
	if s.vote.part >= 0 {
		voters--
		parts -= s.vote.part
	}
	return voters > 0 && parts < alonePart*float64(voters)
}

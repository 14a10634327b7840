package admission

import "time"

const (
	// slowPart is the part of slow requests above which a limit is too high. At
	// one half the test is whether the median latency is above Tolerance x
	// baseline, without a histogram.
	slowPart = 0.5
	// shedPart is the same for requests that targets shed. A target that sheds is
	// full, so that far fewer of them prove it.
	shedPart = 0.1
	// minVotes is the number of finished requests in a window from which a
	// service counts for the entry's limit.
	minVotes = 5
	// alonePressure is the mean pressure of the other services below which a
	// service is overloaded alone. It is below 1, because the estimates of the
	// latency without load differ between services.
	alonePressure = 0.5
)

// signal is what one finished request says about load.
type signal uint8

const (
	fast signal = iota
	slow
	shed
)

// counts holds the signals of a window.
type counts struct{ samples, slow, shed int }

func (n *counts) add(sig signal) {
	n.samples++
	switch sig {
	case slow:
		n.slow++
	case shed:
		n.shed++
	}
}

// pressure is above 1 when the window shows overload.
func (n *counts) pressure() float64 {
	if n.samples == 0 {
		return 0
	}
	return max(float64(n.slow)/slowPart, float64(n.shed)/shedPart) / float64(n.samples)
}

// vote holds a service's part in the entry's window.
type vote struct {
	counts counts
	// pressure is that of the last window, and below zero when there were too
	// few requests.
	pressure float64
}

func (v *vote) close() {
	v.pressure = -1
	if v.counts.samples >= minVotes {
		v.pressure = v.counts.pressure()
	}
	v.counts = counts{}
}

// tally sums the votes of the last window.
type tally struct {
	voters, overloaded int
	pressure           float64
}

// adapt counts a finished request and changes the limits at the end of their
// windows. The entry's limit falls when most services are overloaded, whatever
// their traffic. A service's limit falls when it is overloaded alone: then its
// own targets are the cause, and the other services keep their places.
func (c *Controller) adapt(now time.Duration, s *Service, sig signal) {
	s.vote.counts.add(sig)
	if s.limiter.sample(&c.settings, now, sig) {
		s.limiter.adapt(&c.settings, now, s.limiter.counts.pressure() > 1 && c.othersCalm(s))
	}
	if c.limiter.sample(&c.settings, now, sig) {
		c.closeVotes()
		c.limiter.adapt(&c.settings, now, c.mostOverloaded())
	}
}

func (c *Controller) closeVotes() {
	c.tally = tally{}
	for p := range c.classes {
		for _, s := range c.classes[p].services {
			s.vote.close()
			if s.vote.pressure < 0 {
				continue
			}
			c.tally.voters++
			c.tally.pressure += s.vote.pressure
			if s.vote.pressure > 1 {
				c.tally.overloaded++
			}
		}
	}
}

// mostOverloaded reports whether most services are overloaded. Without a service
// that has enough samples, all samples decide.
func (c *Controller) mostOverloaded() bool {
	if c.tally.voters == 0 {
		return c.limiter.counts.pressure() > 1
	}
	return 2*c.tally.overloaded > c.tally.voters
}

// othersCalm reports whether other services have finished requests and little
// pressure.
func (c *Controller) othersCalm(s *Service) bool {
	voters, pressure := c.tally.voters, c.tally.pressure
	if s.vote.pressure >= 0 {
		voters--
		pressure -= s.vote.pressure
	}
	return voters > 0 && pressure < alonePressure*float64(voters)
}

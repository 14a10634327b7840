package admission

import "time"

const (
	// slowThreshold is the ratio of slow requests above which a limit is too high. At one half,
	// this tests whether the median latency exceeds Tolerance x baseline, without a histogram.
	slowThreshold = 0.5
	// shedThreshold is the ratio of shed requests above which a limit is too high. Only a full
	// target sheds requests, so a far smaller ratio proves overload.
	shedThreshold = 0.1
	// minVoteSamples is the number of finished requests in a window below which a service has
	// no vote on the entry's limit.
	minVoteSamples = 5
	// headroomPressure is the mean pressure of the other services below which they have
	// headroom. It is below 1 because the estimates of the latency without load differ between
	// services.
	headroomPressure = 0.5
)

// signal classifies a finished request as evidence of load.
type signal uint8

const (
	fast signal = iota
	slow
	shed
)

// counts holds the number of signals of each kind in a window.
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

// pressure returns the load of the window relative to the thresholds. A value above 1 means
// overload.
func (n *counts) pressure() float64 {
	if n.samples == 0 {
		return 0
	}
	return max(float64(n.slow)/slowThreshold, float64(n.shed)/shedThreshold) / float64(n.samples)
}

// vote is the contribution of one service to the decision on the entry's limit.
type vote struct {
	counts counts
	// pressure is the pressure of the last window, or negative if the window had too few
	// requests.
	pressure float64
}

func (v *vote) close() {
	v.pressure = -1
	if v.counts.samples >= minVoteSamples {
		v.pressure = v.counts.pressure()
	}
	v.counts = counts{}
}

// voteTotals sums the votes of the last window.
type voteTotals struct {
	voters, overloaded int
	pressure           float64
}

// adapt counts a finished request and adjusts the limits at the end of their windows. The
// entry's limit falls when most services are overloaded, regardless of their traffic. A
// service's limit falls when only that service is overloaded: its own targets are then the
// cause, and the limits of the other services stay.
func (c *Controller) adapt(now time.Duration, s *Service, sig signal) {
	s.vote.counts.add(sig)
	if s.limiter.observe(&c.settings, now, sig) {
		s.limiter.adapt(&c.settings, now, s.limiter.counts.pressure() > 1 && c.othersHaveHeadroom(s))
	}
	if c.limiter.observe(&c.settings, now, sig) {
		c.closeVotes()
		c.limiter.adapt(&c.settings, now, c.majorityOverloaded())
	}
}

func (c *Controller) closeVotes() {
	c.totals = voteTotals{}
	for p := range c.classes {
		for _, s := range c.classes[p].services {
			s.vote.close()
			if s.vote.pressure < 0 {
				continue
			}
			c.totals.voters++
			c.totals.pressure += s.vote.pressure
			if s.vote.pressure > 1 {
				c.totals.overloaded++
			}
		}
	}
}

// majorityOverloaded reports whether more than half of the voting services are overloaded. If
// no service has enough samples, it uses the samples of all services together.
func (c *Controller) majorityOverloaded() bool {
	if c.totals.voters == 0 {
		return c.limiter.counts.pressure() > 1
	}
	return 2*c.totals.overloaded > c.totals.voters
}

// othersHaveHeadroom reports whether any other service has a vote and their mean pressure is
// low.
func (c *Controller) othersHaveHeadroom(s *Service) bool {
	voters, pressure := c.totals.voters, c.totals.pressure
	if s.vote.pressure >= 0 {
		voters--
		pressure -= s.vote.pressure
	}
	return voters > 0 && pressure < headroomPressure*float64(voters)
}

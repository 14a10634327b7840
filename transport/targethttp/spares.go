package targethttp

import (
	"time"

	"github.com/balsamstall/balsamstall/coordination/connshare"
)

// peakWindow is the time over which the peak of busy connections is taken. Two
// windows count, so that the peak holds for 5 to 10 s.
const peakWindow = 5 * time.Second

// Maintain opens spare connections to the targets in use, so that a rise in
// demand and the loss of connections seldom wait for a dial. It is called about
// once a second.
func (c *Client) Maintain() {
	c.mu.RLock()
	defer c.mu.RUnlock()
	now := time.Now()
	for _, p := range c.pools {
		p.maintain(now)
	}
}

// maintain starts the dials of the spare connections that are missing.
func (p *pool) maintain(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	inUse := p.open - len(p.idle)
	if now.Sub(p.peakSince) >= peakWindow {
		p.lastPeak, p.peak, p.peakSince = p.peak, inUse, now
	}
	recent := max(p.peak, p.lastPeak)
	if p.closed || recent == 0 {
		return
	}
	missing := connshare.SpareConnections(p.limit, inUse, recent) - len(p.idle)
	for ; missing > 0; missing-- {
		wait, ok := p.reserve(false)
		if !ok {
			return
		}
		p.open++
		time.AfterFunc(wait, p.connectIdle)
	}
}

package targethttp

import (
	"time"

	"github.com/balsamstall/balsamstall/coordination/connshare"
)

// peakWindow is the length of a window in which the peak of busy connections is measured. The
// current and the previous window count, so that a peak has effect for 5 to 10 s.
const peakWindow = 5 * time.Second

// OpenSpares opens spare connections to the targets in use, so that attempts rarely wait for a dial
// after a rise in load or a loss of connections. It is called about once a second.
func (c *Client) OpenSpares() {
	c.mu.RLock()
	defer c.mu.RUnlock()
	now := time.Now()
	for _, p := range c.pools {
		p.openSpares(now)
	}
}

// openSpares updates the peak window and starts to dial the missing spare connections.
func (p *pool) openSpares(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	inUse := p.open - len(p.idle)
	if now.Sub(p.peakWindowStart) >= peakWindow {
		p.lastPeak, p.peak, p.peakWindowStart = p.peak, inUse, now
	}
	recent := max(p.peak, p.lastPeak)
	if p.closed || recent == 0 {
		return
	}
	missing := connshare.SpareConnections(p.limit, inUse, recent) - len(p.idle)
	for ; missing > 0; missing-- {
		wait, ok := p.reserveDial(false)
		if !ok {
			return
		}
		p.open++
		time.AfterFunc(wait, p.connectIdle)
	}
}

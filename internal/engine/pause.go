package engine

import (
	"context"
	"sync"
	"time"

	"github.com/balsamstall/balsamstall/coordination/pause"
)

// maxVerifyWait limits the time for which new requests wait after the process was paused. An entry
// that is partitioned from its peers then continues with its cached state.
const maxVerifyWait = 500 * time.Millisecond

// pauseGuard delays new requests after the process was paused until cached state has been verified,
// because documents, leaving targets and connections may have changed during the pause.
type pauseGuard struct {
	self Identity
	// verify verifies the cached state after a pause.
	verify func(gap pause.Gap)

	mu sync.Mutex
	// detector is guarded by mu.
	detector *pause.Detector
	// verified is closed when the running verification ends, and nil when none is running. Guarded
	// by mu.
	verified chan struct{}
}

func newPauseGuard(self Identity, verify func(pause.Gap)) *pauseGuard {
	return &pauseGuard{
		self:     self,
		verify:   verify,
		detector: pause.New(pause.DefaultSettings(), self.Clock(), time.Now()),
	}
}

// run checks for pauses at the interval of the detector until ctx ends.
func (g *pauseGuard) run(ctx context.Context) {
	tick := time.NewTicker(pause.DefaultSettings().Interval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			g.check()
		}
	}
}

// check ticks the detector and starts a verification after a pause. It returns the channel that is
// closed when the running verification ends, or nil if none is running.
func (g *pauseGuard) check() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	gap, paused := g.detector.Tick(g.self.Clock(), time.Now())
	if paused && g.verified == nil {
		verified := make(chan struct{})
		g.verified = verified
		go func() {
			g.verify(gap)
			g.mu.Lock()
			g.verified = nil
			g.mu.Unlock()
			close(verified)
		}()
	}
	return g.verified
}

// wait waits until the cached state may be used, for at most maxVerifyWait.
func (g *pauseGuard) wait(ctx context.Context) {
	verified := g.check()
	if verified == nil {
		return
	}
	timer := time.NewTimer(maxVerifyWait)
	defer timer.Stop()
	select {
	case <-verified:
	case <-timer.C:
	case <-ctx.Done():
	}
}

package engine

import (
	"context"
	"sync"
	"time"

	"github.com/balsamstall/balsamstall/coordination/pause"
)

// maxVerify bounds the time for which new requests wait after a pause of the
// process. An entry that is cut off from its peers then goes on with what it has.
const maxVerify = 500 * time.Millisecond

// pauseGuard holds new requests back after a pause of the process until cached
// state was checked again: documents, leaving targets and connections may have
// changed meanwhile.
type pauseGuard struct {
	self Identity
	// verify checks the cached state again.
	verify func(gap pause.Gap)

	mu sync.Mutex
	// detector is guarded by mu.
	detector *pause.Detector
	// verified is closed at the end of the check that runs, nil when none runs.
	// Guarded by mu.
	verified chan struct{}
}

func newPauseGuard(self Identity, verify func(pause.Gap)) *pauseGuard {
	return &pauseGuard{
		self:     self,
		verify:   verify,
		detector: pause.New(pause.DefaultSettings(), self.Clock(), time.Now()),
	}
}

// run ticks until ctx ends.
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

// check counts as a tick and starts a check of the cached state after a pause.
// It returns the channel of the check that runs, or nil.
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

// wait returns when the cached state may be used, at most after maxVerify.
func (g *pauseGuard) wait(ctx context.Context) {
	verified := g.check()
	if verified == nil {
		return
	}
	timer := time.NewTimer(maxVerify)
	defer timer.Stop()
	select {
	case <-verified:
	case <-timer.C:
	case <-ctx.Done():
	}
}

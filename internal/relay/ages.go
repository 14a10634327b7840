package relay

import (
	"sync"
	"time"

	"github.com/balsamstall/balsamstall/coordination/callerage"
	"github.com/balsamstall/balsamstall/protocol/relayapi"
)

// maxTrackedServices limits the number of services with a tracker of caller waiting times.
const maxTrackedServices = 1024

// callerAges estimates, by service, how long callers have already waited in earlier calls. It is
// safe for concurrent use.
type callerAges struct {
	start time.Time

	mu sync.Mutex
	// trackers maps service names to trackers. The map and the trackers are guarded by mu.
	trackers map[string]*callerage.Tracker
}

func newCallerAges(start time.Time) *callerAges {
	return &callerAges{start: start, trackers: make(map[string]*callerage.Tracker)}
}

// estimate returns a copy of req with Waited set to the estimate for its caller.
func (a *callerAges) estimate(req *relayapi.Request, service string) *relayapi.Request {
	a.mu.Lock()
	defer a.mu.Unlock()
	tracker := a.trackers[service]
	if tracker == nil {
		if len(a.trackers) >= maxTrackedServices {
			clear(a.trackers) // Removed services must not keep new ones from being tracked.
		}
		tracker = callerage.New()
		a.trackers[service] = tracker
	}
	estimated := *req
	estimated.Waited = tracker.Waited(time.Since(a.start), req.Wait)
	return &estimated
}

package relay

import (
	"sync"
	"time"

	"github.com/balsamstall/balsamstall/coordination/callerage"
	"github.com/balsamstall/balsamstall/protocol/relayapi"
)

// maxAgedServices bounds the services whose callers' ages are estimated.
const maxAgedServices = 1024

// callerAges estimates how long the callers of each service have waited. It is safe for
// concurrent use.
type callerAges struct {
	start time.Time

	mu sync.Mutex
	// trackers is guarded by mu, and so is what it holds.
	trackers map[string]*callerage.Tracker
}

func newCallerAges(start time.Time) *callerAges {
	return &callerAges{start: start, trackers: make(map[string]*callerage.Tracker)}
}

// estimate returns the request with the age of its caller.
func (a *callerAges) estimate(req *relayapi.Request, service string) *relayapi.Request {
	a.mu.Lock()
	defer a.mu.Unlock()
	tracker := a.trackers[service]
	if tracker == nil {
		if len(a.trackers) >= maxAgedServices {
			clear(a.trackers) // Services that were removed must not keep new ones out.
		}
		tracker = callerage.New()
		a.trackers[service] = tracker
	}
	aged := *req
	aged.Waited = tracker.Waited(time.Since(a.start), req.Wait)
	return &aged
}

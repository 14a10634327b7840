package relay

import (
	"sync"
	"time"

	"github.com/balsamstall/balsamstall/coordination/callerage"
	"github.com/balsamstall/balsamstall/protocol/relayapi"
)

// maxTrackedServices limits the number of services with a tracker of caller waiting times.
const maxTrackedServices = 1024

// waitEstimator estimates, by service, how long callers have already waited in earlier calls. It is
// safe for concurrent use.
type waitEstimator struct {
	start time.Time

	mu sync.Mutex
	// trackers maps service names to trackers. The map and the trackers are guarded by mu.
	trackers map[string]*callerage.Tracker
}

func newWaitEstimator(start time.Time) *waitEstimator {
	return &waitEstimator{start: start, trackers: make(map[string]*callerage.Tracker)}
}

// estimate returns a copy of req with Waited set to the estimate for its caller.
func (w *waitEstimator) estimate(req *relayapi.Request, service string) *relayapi.Request {
	w.mu.Lock()
	defer w.mu.Unlock()
	tracker := w.trackers[service]
	if tracker == nil {
		if len(w.trackers) >= maxTrackedServices {
			clear(w.trackers) // Removed services must not keep new ones from being tracked.
		}
		tracker = callerage.New()
		w.trackers[service] = tracker
	}
	estimated := *req
	estimated.Waited = tracker.RecordCall(time.Since(w.start), req.Wait)
	return &estimated
}

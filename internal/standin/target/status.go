package target

import (
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/balsamstall/balsamstall/protocol/ids"
	"github.com/balsamstall/balsamstall/protocol/targetapi"
)

// Limits of the state history. A full history covers at least 10 s, or at least 5 s when the older
// half has just been deleted.
const (
	sampleInterval = 10 * time.Millisecond
	maxSamples     = 1_000
	maxStatusLagMS = int64(maxSamples * sampleInterval / time.Millisecond)
)

// stateSample is the state of a target at a time.
type stateSample struct {
	at       time.Time
	inFlight int
	draining bool
	cold     bool
}

// stateHistory keeps past states for status reports with a lag.
type stateHistory struct {
	mu sync.Mutex
	// samples is guarded by mu, oldest first.
	samples []stateSample
}

// add appends s, or replaces the state of the last sample if that is more recent than
// sampleInterval.
func (h *stateHistory) add(s stateSample) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if n := len(h.samples); n > 0 && s.at.Sub(h.samples[n-1].at) < sampleInterval {
		s.at = h.samples[n-1].at
		h.samples[n-1] = s
		return
	}
	if len(h.samples) == maxSamples {
		h.samples = slices.Delete(h.samples, 0, maxSamples/2) // Deleting half makes copying rare.
	}
	h.samples = append(h.samples, s)
}

// at returns the newest sample that is not after t, or the oldest sample if all are. It reports
// whether there is a sample.
func (h *stateHistory) at(t time.Time) (stateSample, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, s := range slices.Backward(h.samples) {
		if !s.at.After(t) {
			return s, true
		}
	}
	if len(h.samples) > 0 {
		return h.samples[0], true
	}
	return stateSample{}, false
}

// status handles GET /v1/status.
func (t *Target) status(w http.ResponseWriter, r *http.Request) {
	if t.simulateDialCost(r) != nil {
		abort()
	}
	writeJSON(w, r, http.StatusOK, t.Status())
}

// Status returns the report of GET /v1/status: the state at the time now minus the lag, or the report
// set by the fault "status".
func (t *Target) Status() targetapi.Status {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.currentState(now)
	lag := t.statusLag
	active := t.matchFaultLocked(FaultStatus, "", now)
	if active != nil {
		lag = time.Duration(active.LagMS) * time.Millisecond
	}
	if lag > 0 {
		if old, ok := t.history.at(now.Add(-lag)); ok {
			s = old
		}
	}
	if active != nil && active.Report != nil {
		s.inFlight, s.draining, s.cold = active.Report.InFlight, active.Report.Draining, active.Report.Cold
	}
	snapshots := make(map[string][]ids.Snapshot, len(t.snapshots))
	for name, list := range t.snapshots {
		snapshots[name] = slices.Clone(list)
	}
	return targetapi.Status{
		Target:    t.cfg.ID,
		InFlight:  s.inFlight,
		Slots:     t.cfg.Slots,
		Draining:  s.draining,
		Cold:      s.cold,
		Snapshots: snapshots,
	}
}

// currentState returns the state at the time now. t.mu must be held.
func (t *Target) currentState(now time.Time) stateSample {
	return stateSample{
		at:       now,
		inFlight: int(t.running.Load() + t.waiting.Load()),
		draining: t.isActive(FaultDrain, now),
		cold:     t.isCold(now),
	}
}

// recordState adds the current state to the history.
func (t *Target) recordState() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.history.add(t.currentState(time.Now()))
}

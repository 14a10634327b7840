package target

import (
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/balsamstall/balsamstall/protocol/ids"
	"github.com/balsamstall/balsamstall/protocol/targetapi"
)

// Limits of the history of load reports. Together they cover 10 s.
const (
	sampleInterval = 10 * time.Millisecond
	maxSamples     = 1_000
	maxStatusLagMS = int64(maxSamples * sampleInterval / time.Millisecond)
)

// sample is the state of a target at a time.
type sample struct {
	at       time.Time
	inFlight int
	draining bool
	cold     bool
}

// history keeps samples for reports that lag.
type history struct {
	mu sync.Mutex
	// samples is guarded by mu, oldest first.
	samples []sample
}

// add appends s, or replaces the state of the last sample when it is recent.
func (h *history) add(s sample) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if n := len(h.samples); n > 0 && s.at.Sub(h.samples[n-1].at) < sampleInterval {
		s.at = h.samples[n-1].at
		h.samples[n-1] = s
		return
	}
	if len(h.samples) == maxSamples {
		h.samples = slices.Delete(h.samples, 0, maxSamples/2) // Halving it makes the copies rare.
	}
	h.samples = append(h.samples, s)
}

// at returns the newest sample from then or before, or the oldest of all.
func (h *history) at(then time.Time) (sample, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, s := range slices.Backward(h.samples) {
		if !s.at.After(then) {
			return s, true
		}
	}
	if len(h.samples) > 0 {
		return h.samples[0], true
	}
	return sample{}, false
}

// status handles GET /v1/status.
func (t *Target) status(w http.ResponseWriter, r *http.Request) {
	if t.payDialCost(r) != nil {
		abort()
	}
	writeJSON(w, r, http.StatusOK, t.Status())
}

// Status returns the report of GET /v1/status: the state of one lag ago, or
// the report set by the fault "status".
func (t *Target) Status() targetapi.Status {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.sample(now)
	lag := t.statusLag
	rule := t.match(FaultStatus, "", now)
	if rule != nil {
		lag = time.Duration(rule.LagMS) * time.Millisecond
	}
	if lag > 0 {
		if old, ok := t.history.at(now.Add(-lag)); ok {
			s = old
		}
	}
	if rule != nil && rule.Report != nil {
		s.inFlight, s.draining, s.cold = rule.Report.InFlight, rule.Report.Draining, rule.Report.Cold
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

// sample returns the state now. It needs t.mu.
func (t *Target) sample(now time.Time) sample {
	return sample{
		at:       now,
		inFlight: int(t.running.Load() + t.waiting.Load()),
		draining: t.inForce(FaultDrain, now),
		cold:     t.isCold(now),
	}
}

// noteState adds the state now to the history.
func (t *Target) noteState() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.history.add(t.sample(time.Now()))
}

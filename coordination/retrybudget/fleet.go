package retrybudget

import "time"

// FleetSettings bounds the repeats that all entries together may send to one target group.
type FleetSettings struct {
	// Ratio is the number of repeats allowed per request, from 0 to 1.
	Ratio float64
	// Minimum is the number of repeats per window that the fleet may make regardless of the number
	// of requests.
	Minimum float64
	// Window is the length of the sliding window.
	Window time.Duration
}

// windowSlices is the number of slices of a window that are counted separately. One more slice is
// kept, so that the repeats of a whole window are always counted.
const windowSlices = 20

// safetyFactor is the fraction of the fleet's bound that is used. The rest covers requests that are
// counted here shortly before or after they reach a target.
const safetyFactor = 0.9

// FleetShare is the share of one entry in a fleet-wide bound. Each entry earns repeats with its own
// requests, which add up to the requests of the fleet, and gets a fraction of the minimum. As long
// as these fractions add up to at most 1, the sum over all entries stays within the bound in every
// window, whatever part of the fleet an entry can reach.
//
// A new process does not know how many repeats its predecessor made, so it gets no fraction of the
// minimum during its first window.
type FleetShare struct {
	settings          FleetSettings
	startedAt         time.Duration
	currentSlice      int64
	requests, repeats [windowSlices + 1]int
}

// NewFleetShare returns a share without requests for a process that started at startedAt.
func NewFleetShare(s FleetSettings, startedAt time.Duration) *FleetShare {
	return &FleetShare{settings: s, startedAt: startedAt}
}

// SetSettings changes the bound.
func (f *FleetShare) SetSettings(s FleetSettings) { f.settings = s }

// AddRequests records n requests to the group.
func (f *FleetShare) AddRequests(now time.Duration, n int) {
	f.requests[f.advance(now)] += n
}

// TryRepeat reports whether one repeat is allowed now, and if so records it. minimumFraction is the
// entry's fraction of the minimum, from 0 to 1.
func (f *FleetShare) TryRepeat(now time.Duration, minimumFraction float64) bool {
	i := f.advance(now)
	if f.Remaining(now, minimumFraction) < 1 {
		return false
	}
	f.repeats[i]++
	return true
}

// Remaining returns the number of repeats that are allowed now.
func (f *FleetShare) Remaining(now time.Duration, minimumFraction float64) float64 {
	current := f.advance(now)
	requests, repeats := 0, 0
	for i := range f.requests {
		repeats += f.repeats[i]
		if i != (current+1)%len(f.requests) { // The oldest slice may lie outside the window.
			requests += f.requests[i]
		}
	}
	allowed := safetyFactor * f.settings.Ratio * float64(requests)
	if now-f.startedAt >= f.settings.Window {
		allowed += safetyFactor * f.settings.Minimum * minimumFraction
	}
	return allowed - float64(repeats)
}

// advance clears the slices that have expired and returns the index of the current one.
func (f *FleetShare) advance(now time.Duration) int {
	slice := int64(now / (f.settings.Window / windowSlices))
	n := int64(len(f.requests))
	for k := max(f.currentSlice+1, slice-n+1); k <= slice; k++ {
		f.requests[k%n], f.repeats[k%n] = 0, 0
	}
	f.currentSlice = max(f.currentSlice, slice)
	return int(f.currentSlice % n)
}

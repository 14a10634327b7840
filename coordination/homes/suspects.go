package homes

import "time"

const (
	// suspectPause is the time for which a home that gave no offer is left out, doubled
	// with each further failure up to maxSuspectPause.
	failureBackoff    = 500 * time.Millisecond
	maxFailureBackoff = 8 * time.Second
	// leavingPause is the time for which a home that stops is left out. News of its stop
	// reaches all entries within it.
	stoppingBackoff = 8 * time.Second
)

// Suspects holds the homes that gave no offer lately. All times are durations since an
// arbitrary start that is the same for every call. The zero value is ready to use.
// Nothing here locks.
type Backoff struct{ homes map[string]backoffState }

type backoffState struct {
	failures int
	until    time.Duration
}

// Avoid reports whether a home is left out.
func (s *Backoff) Avoid(now time.Duration, id string) bool { return now < s.homes[id].until }

// Reached forgets the failures of a home that gave an offer.
func (s *Backoff) RecordSuccess(id string) { delete(s.homes, id) }

// Failed leaves a home out for a while that gave no offer. The offers that several
// requests wait for at the same time count as one failure.
func (s *Backoff) RecordFailure(now time.Duration, id string) {
	if s.Avoid(now, id) {
		return
	}
	failures := s.homes[id].failures
	pause := min(failureBackoff<<min(failures, 10), maxFailureBackoff)
	s.set(id, backoffState{failures: failures + 1, until: now + pause})
}

// Leaving leaves a home out that stops.
func (s *Backoff) RecordStopping(now time.Duration, id string) {
	s.set(id, backoffState{until: now + stoppingBackoff})
}

func (s *Backoff) set(id string, h backoffState) {
	if s.homes == nil {
		s.homes = make(map[string]backoffState)
	}
	s.homes[id] = h
}

// Keep forgets homes that are no longer known.
func (s *Backoff) Retain(known func(id string) bool) {
	for id := range s.homes {
		if !known(id) {
			delete(s.homes, id)
		}
	}
}

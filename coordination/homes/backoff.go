package homes

import "time"

const (
	// failureBackoff is the time for which a home that made no offer is avoided. It doubles with
	// each further failure, up to maxFailureBackoff.
	failureBackoff    = 500 * time.Millisecond
	maxFailureBackoff = 8 * time.Second
	// detachedBackoff is the time for which an entry that reaches no target is avoided. News of it
	// reaches all entries within it.
	detachedBackoff = time.Second
	// drainingBackoff is the time for which a draining home is avoided. News of its shutdown
	// reaches all entries within it.
	drainingBackoff = 8 * time.Second
)

// Backoff tracks the homes to avoid because they recently made no offer or are draining. All times
// are durations since an arbitrary origin that is the same for every call. The zero value is ready to
// use. A Backoff is not safe for concurrent use.
type Backoff struct{ homes map[string]backoffState }

type backoffState struct {
	failures int
	until    time.Duration
}

// Avoid reports whether a home is to be avoided now.
func (b *Backoff) Avoid(now time.Duration, id string) bool { return now < b.homes[id].until }

// RecordSuccess clears the failures of a home that made an offer.
func (b *Backoff) RecordSuccess(id string) { delete(b.homes, id) }

// RecordFailure starts the backoff of a home that made no offer. Failures of several requests that
// waited for offers at the same time count as one.
func (b *Backoff) RecordFailure(now time.Duration, id string) {
	if b.Avoid(now, id) {
		return
	}
	failures := b.homes[id].failures
	pause := min(failureBackoff<<min(failures, 10), maxFailureBackoff)
	b.set(id, backoffState{failures: failures + 1, until: now + pause})
}

// RecordDetached starts the backoff of an entry that reaches no target.
func (b *Backoff) RecordDetached(now time.Duration, id string) {
	b.set(id, backoffState{until: now + detachedBackoff})
}

// RecordDraining starts the backoff of a draining home.
func (b *Backoff) RecordDraining(now time.Duration, id string) {
	b.set(id, backoffState{until: now + drainingBackoff})
}

func (b *Backoff) set(id string, state backoffState) {
	if b.homes == nil {
		b.homes = make(map[string]backoffState)
	}
	b.homes[id] = state
}

// Retain removes the homes for which known returns false.
func (b *Backoff) Retain(known func(id string) bool) {
	for id := range b.homes {
		if !known(id) {
			delete(b.homes, id)
		}
	}
}

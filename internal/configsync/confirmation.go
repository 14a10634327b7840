package configsync

import (
	"encoding/binary"
	"sync"
	"time"

	"github.com/balsamstall/balsamstall/coordination/revision"
	"github.com/balsamstall/balsamstall/protocol/peerpb"
	"github.com/balsamstall/balsamstall/protocol/platformapi"
)

// maxConfirmedAge is the age up to which exchanges carry a confirmation.
const maxConfirmedAge = time.Minute

// confirmation states that the platform had no newer version of a document than the current one.
type confirmation struct {
	// at is the latest such time, or zero if none is known.
	at time.Time
	// source is the actor that reported it: the platform or a peer.
	source string
}

// confirmations holds the latest confirmation of each document. It is safe for concurrent use.
type confirmations struct {
	mu sync.Mutex
	// byKey is guarded by mu.
	byKey map[string]confirmation
	// refused holds the versions of the platform that were refused as invalid, until a later one is accepted.
	// The confirmations take them into account. Guarded by mu.
	refused map[string]revision.Version
}

// refuse records that the platform's current version of a document is invalid.
func (c *confirmations) refuse(key string, v revision.Version) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.refused == nil {
		c.refused = make(map[string]revision.Version)
	}
	c.refused[key] = v
}

// accept records that a version of a document was accepted.
func (c *confirmations) accept(key string, v revision.Version) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if refused, ok := c.refused[key]; ok && revision.Compare(v, refused) >= 0 {
		delete(c.refused, key)
	}
}

// refusedVersion returns a number that identifies the refused version of a document, or zero if there is none.
func (c *confirmations) refusedVersion(key string) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if v, ok := c.refused[key]; ok {
		return binary.BigEndian.Uint64(v.Digest[:])
	}
	return 0
}

// record records a confirmation of the current document, unless a later one is known.
func (c *confirmations) record(key string, at time.Time, source string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if at.After(c.byKey[key].at) {
		if c.byKey == nil {
			c.byKey = make(map[string]confirmation)
		}
		c.byKey[key] = confirmation{at: at, source: source}
	}
}

// latest returns the latest confirmation of a document.
func (c *confirmations) latest(key string) confirmation {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.byKey[key]
}

// forget removes all confirmations.
func (c *confirmations) forget() {
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.byKey)
}

// ConfirmedAt returns the latest time at which the platform is known to have had no newer version of a
// document than the current one, or zero if none is known.
func (s *Syncer) ConfirmedAt(key string) time.Time { return s.confirmations.latest(key).at }

// confirmedAt returns the time as of which an answer of the platform is complete. A call that waited for
// changes in vain was answered after the wait.
func confirmedAt(doc platformapi.Document, changed bool, began time.Time, wait time.Duration) time.Time {
	switch {
	case !doc.ConfirmedAt.IsZero():
		return doc.ConfirmedAt
	case changed:
		return began
	}
	if now := time.Now(); now.Sub(began) < wait {
		return now
	}
	return began.Add(wait)
}

// confirmedAge returns the age of the latest confirmation of a document for a message, or nil if none is
// known.
func (s *Syncer) confirmedAge(key string, now time.Time) *uint32 {
	c := s.confirmations.latest(key)
	age := now.Sub(c.at)
	if c.at.IsZero() || age > maxConfirmedAge {
		return nil
	}
	ms := uint32((max(age, 0) + time.Millisecond - 1).Milliseconds()) // Rounded up.
	return &ms
}

// confirmedBy returns the time of a peer's confirmation in a message that was sent no earlier than
// sent, or zero if it has none. A peer's confirmation does not count if the peer has refused a newer version that
// this entry may be able to use, or if it does not tell.
func (s *Syncer) confirmedBy(d *peerpb.DocumentInfo, sent time.Time) time.Time {
	if d.ConfirmedAgeMs == nil || d.Refused == nil || d.GetRefused() != 0 && d.GetRefused() != s.confirmations.refusedVersion(d.Key) {
		return time.Time{}
	}
	return sent.Add(-time.Duration(d.GetConfirmedAgeMs()) * time.Millisecond)
}

// covers reports whether a confirmation of a document that was handled with decision confirms the current
// document: it is the current one or older.
func covers(decision revision.Decision) bool {
	return decision == revision.Accept || decision == revision.Unchanged || decision == revision.TooOld
}

// readDue returns the time at which an entry that is not a watcher reads the document: that of the next poll,
// or the one at which the last confirmation is too old. overdue is set in the second case.
func (s *Syncer) readDue(r *platformReader) (due time.Time, overdue bool) {
	s.mu.Lock()
	age := s.cfg.Confirm.ReadAge(s.table.Size(), s.position)
	s.mu.Unlock()
	if age == 0 {
		return r.nextPoll, false
	}
	due = s.ConfirmedAt(r.key).Add(age)
	if due.Before(r.nextRetry) {
		due = r.nextRetry
	}
	if due.After(r.nextPoll) {
		return r.nextPoll, false
	}
	return due, true
}

// forgetFailures forgets the failed calls of an entry that is not a watcher if another one has read the
// platform since: the platform is available, and its documents come from that entry.
func (s *Syncer) forgetFailures(r *platformReader) {
	if r.failures > 0 && s.ConfirmedAt(r.key).After(r.failingSince) {
		r.failures, r.failingSince = 0, time.Time{}
	}
}

// reportOverdue reports that an entry that is not a watcher reads the platform.
func (s *Syncer) reportOverdue(r *platformReader) {
	if s.deps.OnOverdueRead != nil {
		s.deps.OnOverdueRead(r.key)
	}
	if r.failures > 0 {
		return // Logged before the first of the failed calls.
	}
	event := s.deps.Log.Info().Str("key", r.key)
	if c := s.confirmations.latest(r.key); !c.at.IsZero() {
		event.Dur("confirmed_age", time.Since(c.at)).Str("source", c.source)
	}
	event.Msg("no entry is known to have read the platform recently; reading it")
}

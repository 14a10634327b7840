package configsync

import (
	"sync"
	"time"

	"github.com/balsamstall/balsamstall/coordination/outage"
	"github.com/balsamstall/balsamstall/protocol/peerpb"
)

const (
	// maxAvailableSpan is the longest period that messages carry. It exceeds the time for which an outage matters.
	maxAvailableSpan = time.Minute
	// readReserve is the time that a read of the platform may take once it is due.
	readReserve = 750 * time.Millisecond
)

// availability is the period in which the platform answered the entries. It is safe for concurrent use.
type availability struct {
	mu sync.Mutex
	// span is guarded by mu.
	span outage.Span
}

// join adds a known period and reports whether it shows that the platform was available before the present one.
func (a *availability) join(span outage.Span, maxGap time.Duration) (extended bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	before := a.span
	a.span = before.Join(span, maxGap)
	return !before.IsZero() && a.span.Since.Before(before.Since)
}

func (a *availability) since() time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.span.Since
}

func (a *availability) forget() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.span = outage.Span{}
}

// message returns the period for a message, or nil if it is unknown or long over.
func (a *availability) message(now time.Time) *peerpb.Availability {
	a.mu.Lock()
	defer a.mu.Unlock()
	age := now.Sub(a.span.Until)
	if a.span.IsZero() || age > maxConfirmedAge {
		return nil
	}
	return &peerpb.Availability{AgeMs: uint32(max(age, 0).Milliseconds()),
		SpanMs: uint32(min(a.span.Until.Sub(a.span.Since), maxAvailableSpan).Milliseconds())}
}

// AvailableSince returns the time of the first answer of the platform, to any entry, after the last outage that
// is known. It is zero if no answer is known.
func (s *Syncer) AvailableSince() time.Time { return s.availability.since() }

// recordAvailable records an answer of the platform to this entry.
func (s *Syncer) recordAvailable(r *platformReader, answered time.Time) {
	maxGap := s.cfg.OutageGap
	if r.failures == 0 {
		// This entry has not called in the meantime, because it was not due.
		s.mu.Lock()
		due := s.cfg.Confirm.ReadAge(s.table.Size(), s.position)
		s.mu.Unlock()
		maxGap = max(maxGap, due+readReserve)
	}
	s.joinAvailable(outage.At(answered), maxGap)
}

// learnAvailability records what a message says, which was sent no earlier than sent and arrived now. It records
// the part of the period that does not depend on how long the message was on its way.
func (s *Syncer) learnAvailability(m *peerpb.Availability, sent, now time.Time) {
	if m == nil {
		return
	}
	age, length := time.Duration(m.AgeMs)*time.Millisecond, time.Duration(m.SpanMs)*time.Millisecond
	span := outage.At(sent.Add(-age))
	if since := now.Add(-age - length); since.Before(span.Until) {
		span.Since = since
	}
	s.joinAvailable(span, s.cfg.OutageGap)
}

func (s *Syncer) joinAvailable(span outage.Span, maxGap time.Duration) {
	if s.cfg.OutageGap > 0 && s.availability.join(span, maxGap) {
		signal(s.viewSignal) // What was withheld because of an outage that was none comes into force.
	}
}

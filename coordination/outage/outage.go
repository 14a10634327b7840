// Package outage tells how long the platform has answered without an outage, from what the entries of a fleet
// know together. Registrations of live targets may expire during an outage, and only then.
//
// The package has no side effects.
package outage

import "time"

// Span is a period in which the platform answered again and again. The zero value is an unknown period.
type Span struct {
	// Since is the time of the first answer after the last outage, or of the first known answer.
	Since time.Time
	// Until is the time of the last answer.
	Until time.Time
}

// At returns the span of a single answer.
func At(answered time.Time) Span { return Span{Since: answered, Until: answered} }

// IsZero reports whether the span is unknown.
func (s Span) IsZero() bool { return s.Until.IsZero() }

// Join returns what two spans show together: one span if the time between them is at most maxGap, and otherwise
// the later one, which begins after an outage.
func (s Span) Join(other Span, maxGap time.Duration) Span {
	earlier, later := s, other
	if later.Until.Before(earlier.Until) {
		earlier, later = later, earlier
	}
	if earlier.IsZero() || later.Since.Sub(earlier.Until) > maxGap {
		return later
	}
	if earlier.Since.Before(later.Since) {
		later.Since = earlier.Since
	}
	return later
}

// Package audit keeps the trail of configuration changes, refusals and operator
// actions: the latest events in memory, and a structured log line for each.
package audit

import (
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// Capacity is the number of events that a Trail keeps.
const Capacity = 4096

// maxDetailBytes bounds the detail of an event, because it may quote a faulty
// document. With it a full trail stays below 3 MB.
const maxDetailBytes = 512

// Kind names what happened.
type Kind string

// Kinds of events.
const (
	DocumentAccepted Kind = "document_accepted"
	DocumentRefused  Kind = "document_refused"
	// RevisionConflict is a document with the revision in force and another digest.
	RevisionConflict Kind = "revision_conflict"
	DrainStarted     Kind = "drain_started"
	Started          Kind = "started"
	Stopped          Kind = "stopped"
	Quarantined      Kind = "quarantined"
	Succession       Kind = "succession"
	// SettingsReloaded and SettingsRefused tell about a settings file that changed.
	SettingsReloaded Kind = "settings_reloaded"
	SettingsRefused  Kind = "settings_refused"
)

// Kinds lists every kind.
func Kinds() []Kind {
	return []Kind{DocumentAccepted, DocumentRefused, RevisionConflict, DrainStarted, Started, Stopped, Quarantined, Succession, SettingsReloaded, SettingsRefused}
}

// Event is one record of the trail.
type Event struct {
	// Time is the wall-clock time at which the event was recorded.
	Time time.Time `json:"time"`
	// Sequence counts the events since the process started, from 1. A gap to
	// the oldest event in memory shows how many are in the log only.
	Sequence uint64 `json:"sequence"`
	Kind     Kind   `json:"kind"`
	// Actor is who caused the event: "platform", "peer ID", "operator at ADDRESS".
	Actor string `json:"actor"`
	// Detail describes the event for a person, in at most 512 bytes.
	Detail string `json:"detail"`
}

// Trail is a bounded ring of events. It may be used by many goroutines.
type Trail struct {
	log zerolog.Logger

	// mu guards ring and sequence.
	mu       sync.Mutex
	ring     []Event
	sequence uint64
}

// New returns an empty trail that also writes each event to log.
func New(log zerolog.Logger) *Trail { return &Trail{log: log} }

// Record adds an event. It never blocks on I/O while it holds the lock.
func (t *Trail) Record(now time.Time, kind Kind, actor, detail string) {
	if len(detail) > maxDetailBytes {
		detail = detail[:maxDetailBytes]
	}
	event := Event{Time: now, Kind: kind, Actor: actor, Detail: detail}
	t.mu.Lock()
	t.sequence++
	event.Sequence = t.sequence
	if len(t.ring) < Capacity {
		t.ring = append(t.ring, event)
	} else {
		t.ring[(event.Sequence-1)%Capacity] = event
	}
	t.mu.Unlock()
	t.log.Info().Time("event_time", event.Time).Uint64("sequence", event.Sequence).
		Str("kind", string(kind)).Str("actor", actor).Str("detail", detail).Msg("audit")
}

// Events returns the events in memory, oldest first.
func (t *Trail) Events() []Event {
	t.mu.Lock()
	defer t.mu.Unlock()
	events := make([]Event, 0, len(t.ring))
	start := 0
	if len(t.ring) == Capacity {
		start = int(t.sequence % Capacity)
	}
	events = append(events, t.ring[start:]...)
	return append(events, t.ring[:start]...)
}

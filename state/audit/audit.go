// Package audit records configuration changes, refusals and operator actions. It keeps the latest
// events in memory and writes a structured log line for each event.
package audit

import (
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// Capacity is the maximum number of events that a Trail keeps in memory.
const Capacity = 4096

// maxDetailBytes limits the detail of an event, which may quote an invalid document. It keeps a
// full trail below 3 MB.
const maxDetailBytes = 512

// Kind is the type of an event.
type Kind string

// Event kinds.
const (
	DocumentAccepted Kind = "document_accepted"
	DocumentRefused  Kind = "document_refused"
	// RevisionConflict reports a document that has the current revision but a different digest.
	RevisionConflict Kind = "revision_conflict"
	DrainStarted     Kind = "drain_started"
	Started          Kind = "started"
	Stopped          Kind = "stopped"
	Quarantined      Kind = "quarantined"
	Succession       Kind = "succession"
	// Evacuation reports the start or the end of the evacuation of a zone.
	Evacuation Kind = "evacuation"
	// SettingsReloaded and SettingsRefused report a changed settings file.
	SettingsReloaded Kind = "settings_reloaded"
	SettingsRefused  Kind = "settings_refused"
)

// Kinds returns all event kinds.
func Kinds() []Kind {
	return []Kind{DocumentAccepted, DocumentRefused, RevisionConflict, DrainStarted, Started, Stopped, Quarantined, Succession, Evacuation, SettingsReloaded, SettingsRefused}
}

// Event is one entry of the audit trail.
type Event struct {
	// Time is the wall-clock time at which the event was recorded.
	Time time.Time `json:"time"`
	// Sequence numbers the events of this process from 1. If the oldest event in memory has the
	// number n, the n-1 events before it are in the log only.
	Sequence uint64 `json:"sequence"`
	Kind     Kind   `json:"kind"`
	// Actor identifies who caused the event: "platform", "peer ID", "operator at ADDRESS", or the id
	// of this entry.
	Actor string `json:"actor"`
	// Detail is a human-readable description of at most 512 bytes.
	Detail string `json:"detail"`
}

// Trail is a ring buffer of events. It is safe for concurrent use.
type Trail struct {
	log zerolog.Logger

	// mu guards ring and sequence.
	mu       sync.Mutex
	ring     []Event
	sequence uint64
}

// New returns an empty trail that writes each event to log.
func New(log zerolog.Logger) *Trail { return &Trail{log: log} }

// Record adds an event to the trail and logs it. Logging happens outside the lock, so that slow
// I/O does not block other callers.
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

// Events returns the events in memory from oldest to newest.
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

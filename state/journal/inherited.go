package journal

import (
	"sync"
	"time"

	"github.com/balsamstall/balsamstall/protocol/ids"
)

// Handover is the complete journal of an incarnation that stopped.
type Handover struct {
	// Records are the result of Export, joined when they came in parts.
	Records []ExportedRecord
	// ExportedAt is the time that was given to Export, on the clock of the
	// incarnation that stopped.
	ExportedAt time.Duration
	// PermitRemaining is the time from the export until the last permit of that
	// incarnation expires.
	PermitRemaining time.Duration
}

// Finding is the answer of Inherited.Lookup.
type Finding int

// Findings.
const (
	// UnknownIncarnation means that nothing was handed over for the
	// incarnation, or that all its permits have expired: the outcome is unknown.
	UnknownIncarnation Finding = iota
	// PermitExpired means that the permit has expired and its record may have
	// been dropped: the outcome is unknown.
	PermitExpired
	// NoRecord means that the permit did not run and never will.
	NoRecord
	// Found means that the permit ran and its record is known.
	Found
)

// String returns the finding's name.
func (f Finding) String() string {
	return [...]string{"unknown incarnation", "permit expired", "no record", "found"}[f]
}

// Inherited holds the journals of incarnations that stopped and chose this
// entry as their successor. It is safe for concurrent use.
type Inherited struct {
	mu sync.Mutex
	// stopped is guarded by mu. Its values are not changed after insertion.
	stopped map[ids.Incarnation]*inheritance
}

type inheritance struct {
	records map[uint64]Record
	// offset is this entry's clock minus the clock of the incarnation that
	// stopped. The handover's travel time makes it too large, which lets a
	// permit live longer here; the records live as long.
	offset time.Duration
	// expires is the time on this entry's clock at which the last permit ends.
	expires time.Duration
}

// NewInherited returns an empty table.
func NewInherited() *Inherited {
	return &Inherited{stopped: make(map[ids.Incarnation]*inheritance)}
}

// Import stores the complete journal of inc, received at now on this entry's
// clock, and drops the journals whose permits have all expired. A second import
// of the same incarnation replaces the first.
func (t *Inherited) Import(inc ids.Incarnation, h Handover, now time.Duration) {
	records := make(map[uint64]Record, len(h.Records))
	for _, r := range h.Records {
		records[r.Sequence] = r.Record
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	t.stopped[inc] = &inheritance{records: records, offset: now - h.ExportedAt, expires: now + h.PermitRemaining}
}

// Lookup returns what is known at now about a permit of inc. The time
// permitExpires is the permit's own, on the clock of inc; a permit past it may
// have lost its record before the handover, so its absence proves nothing.
func (t *Inherited) Lookup(inc ids.Incarnation, seq uint64, permitExpires, now time.Duration) (Record, Finding) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h, ok := t.stopped[inc]
	if !ok || now >= h.expires {
		return Record{}, UnknownIncarnation
	}
	if r, ok := h.records[seq]; ok {
		return r, Found
	}
	if now >= permitExpires+h.offset {
		return Record{}, PermitExpired
	}
	return Record{}, NoRecord
}

// Stopped is the journal of one stopped incarnation, for the next successor.
type Stopped struct {
	Incarnation ids.Incarnation
	Handover
}

// Export returns the journals whose permits have not all expired at now. Their
// times are on the clocks of the incarnations that stopped, so that the next
// successor judges permits as this one does.
func (t *Inherited) Export(now time.Duration) []Stopped {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	out := make([]Stopped, 0, len(t.stopped))
	for inc, h := range t.stopped {
		s := Stopped{Incarnation: inc, Handover: Handover{ExportedAt: now - h.offset, PermitRemaining: h.expires - now}}
		for seq, r := range h.records {
			s.Records = append(s.Records, ExportedRecord{Sequence: seq, Record: r, Remaining: s.PermitRemaining})
		}
		out = append(out, s)
	}
	return out
}

// Expire drops the journals whose permits have all expired at now and returns
// their number.
func (t *Inherited) Expire(now time.Duration) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.expire(now)
}

// expire needs mu to be held.
func (t *Inherited) expire(now time.Duration) int {
	dropped := 0
	for inc, h := range t.stopped {
		if now >= h.expires {
			delete(t.stopped, inc)
			dropped++
		}
	}
	return dropped
}

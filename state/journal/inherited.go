package journal

import (
	"sync"
	"time"

	"github.com/balsamstall/balsamstall/protocol/ids"
)

// Handover is the complete journal of a stopped incarnation, as transferred to its successor.
type Handover struct {
	// Records is the result of Journal.Export, joined if it was transferred in parts.
	Records []ExportedRecord
	// ExportedAt is the time passed to Export, on the clock of the stopped incarnation.
	ExportedAt time.Duration
	// PermitRemaining is the time from the export until the last permit of that incarnation
	// expires.
	PermitRemaining time.Duration
}

// LookupStatus says what Inherited.Lookup knows about a permit.
type LookupStatus int

// Lookup statuses.
const (
	// UnknownIncarnation means that no journal of the incarnation was imported, or that all its
	// permits have expired. The outcome is unknown.
	UnknownIncarnation LookupStatus = iota
	// PermitExpired means that the permit has expired and that its record may have been dropped. The
	// outcome is unknown.
	PermitExpired
	// NoRecord means that the permit did not run and never will.
	NoRecord
	// Found means that the permit was started and that its record is known.
	Found
)

// String returns the name of the status.
func (s LookupStatus) String() string {
	return [...]string{"unknown incarnation", "permit expired", "no record", "found"}[s]
}

// Inherited holds the journals of stopped incarnations that chose this entry as their successor. It
// is safe for concurrent use.
type Inherited struct {
	mu sync.Mutex
	// journals is guarded by mu. Its values are not modified after insertion.
	journals map[ids.Incarnation]*inheritedJournal
}

type inheritedJournal struct {
	records map[uint64]Record
	// offset is this entry's clock minus the clock of the stopped incarnation. It is too large by the
	// transfer time of the handover, so permits and their records alike expire that much later here.
	offset time.Duration
	// expires is the time on this entry's clock at which the last permit expires.
	expires time.Duration
}

// NewInherited returns an Inherited without journals.
func NewInherited() *Inherited {
	return &Inherited{journals: make(map[ids.Incarnation]*inheritedJournal)}
}

// Import stores the complete journal of inc, received at now on this entry's clock, and drops the
// journals whose permits have all expired. A repeated import for an incarnation replaces its
// journal.
func (t *Inherited) Import(inc ids.Incarnation, h Handover, now time.Duration) {
	records := make(map[uint64]Record, len(h.Records))
	for _, r := range h.Records {
		records[r.Sequence] = r.Record
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	t.journals[inc] = &inheritedJournal{records: records, offset: now - h.ExportedAt, expires: now + h.PermitRemaining}
}

// Lookup returns what is known at now about the permit seq of inc. permitExpires is the expiry of
// the permit on the clock of inc. The record of an expired permit may have been dropped before the
// handover, so a missing record proves nothing then.
func (t *Inherited) Lookup(inc ids.Incarnation, seq uint64, permitExpires, now time.Duration) (Record, LookupStatus) {
	t.mu.Lock()
	defer t.mu.Unlock()
	j, ok := t.journals[inc]
	if !ok || now >= j.expires {
		return Record{}, UnknownIncarnation
	}
	if r, ok := j.records[seq]; ok {
		return r, Found
	}
	if now >= permitExpires+j.offset {
		return Record{}, PermitExpired
	}
	return Record{}, NoRecord
}

// IncarnationJournal is the journal of one stopped incarnation, as exported to the next successor.
type IncarnationJournal struct {
	Incarnation ids.Incarnation
	Handover
}

// Export returns the journals that still have unexpired permits at now. Times stay on the clocks of
// the stopped incarnations, so that the next successor evaluates permits as this entry does. The
// expiry of a single permit is not kept: ExportedRecord.Remaining is that of the last permit.
func (t *Inherited) Export(now time.Duration) []IncarnationJournal {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	out := make([]IncarnationJournal, 0, len(t.journals))
	for inc, j := range t.journals {
		exported := IncarnationJournal{Incarnation: inc, Handover: Handover{ExportedAt: now - j.offset, PermitRemaining: j.expires - now}}
		for seq, r := range j.records {
			exported.Records = append(exported.Records, ExportedRecord{Sequence: seq, Record: r, Remaining: exported.PermitRemaining})
		}
		out = append(out, exported)
	}
	return out
}

// Expire drops the journals whose permits have all expired at now and returns their number.
func (t *Inherited) Expire(now time.Duration) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.expire(now)
}

// expire implements Expire. The caller must hold mu.
func (t *Inherited) expire(now time.Duration) int {
	dropped := 0
	for inc, j := range t.journals {
		if now >= j.expires {
			delete(t.journals, inc)
			dropped++
		}
	}
	return dropped
}

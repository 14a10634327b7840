// Package journal remembers which permits of this incarnation ran and how they
// ended, so that a repeated request gets the first outcome and never runs again.
//
// All times are on the issuer's monotonic clock, counted from the start of its
// process. An entry is kept until its permit has expired, so an outcome is
// never forgotten while its permit is still valid.
package journal

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/balsamstall/balsamstall/protocol/status"
)

// State is the answer of Begin.
type State int

// States.
const (
	// Started means that the caller now runs the permit and must end it with
	// Finish or Release.
	Started State = iota
	// Running means that another request runs the permit. Done is closed when
	// it ends; the caller may then call Begin again.
	Running
	// Finished means that the permit ran and Record holds its outcome.
	Finished
	// Sealed means that the permit has no entry and that the journal starts no
	// more runs: it did not run and never will.
	Sealed
	// Expired means that the permit has no entry and its time has passed. Its
	// outcome may have been forgotten, so nothing is known about it.
	Expired
)

// String returns the state's name.
func (s State) String() string {
	return [...]string{"started", "running", "finished", "sealed", "expired"}[s]
}

// Record is the outcome of a permit that ran.
type Record struct {
	Outcome    status.Outcome
	HTTPStatus int
	// Body is the answer as sent to the caller. It must not be changed after
	// it was recorded.
	Body []byte
}

// Result is the answer of Begin.
type Result struct {
	State State
	// Done is set when the state is Running.
	Done <-chan struct{}
	// Record is set when the state is Finished.
	Record Record
}

// ExportedRecord is one entry of a journal in a handover.
type ExportedRecord struct {
	Sequence uint64
	Record
	// Remaining is the time until the permit expires.
	Remaining time.Duration
}

// Journal is a table of permits by sequence, safe for concurrent use.
type Journal struct {
	shards []shard
}

type shard struct {
	mu sync.Mutex
	// entries is guarded by mu.
	entries map[uint64]*entry
	// sealed is guarded by mu.
	sealed bool
	// horizon is the latest time given to Expire, guarded by mu. A permit that
	// expired by then may have had an entry that was dropped. A request that
	// judged the permit's age before a pause of the process must not start it.
	horizon time.Duration
}

type entry struct {
	expires time.Duration
	// done is closed when the run ends.
	done     chan struct{}
	finished bool
	record   Record
}

// New returns an empty journal with the given number of lock shards, at least 1.
func New(shards int) *Journal {
	j := &Journal{shards: make([]shard, max(shards, 1))}
	for i := range j.shards {
		j.shards[i].entries = make(map[uint64]*entry)
	}
	return j
}

// shard spreads sequences evenly: an issuer counts them up.
func (j *Journal) shard(seq uint64) *shard {
	return &j.shards[seq%uint64(len(j.shards))]
}

// Begin asks to run the permit with the given sequence, which expires at
// expires. At most one call gets Started until Release is called for it. The
// entry exists before Begin returns, hence before a byte is sent.
func (j *Journal) Begin(seq uint64, now, expires time.Duration) Result {
	s := j.shard(seq)
	s.mu.Lock()
	defer s.mu.Unlock()
	if e, ok := s.entries[seq]; ok {
		if e.finished {
			return Result{State: Finished, Record: e.record}
		}
		return Result{State: Running, Done: e.done}
	}
	if expires <= max(now, s.horizon) {
		return Result{State: Expired}
	}
	if s.sealed {
		return Result{State: Sealed}
	}
	s.entries[seq] = &entry{expires: expires, done: make(chan struct{})}
	return Result{State: Started}
}

// Finish records the outcome of a running permit and wakes its waiters. It
// reports whether the permit was running; if not, nothing changes.
func (j *Journal) Finish(seq uint64, r Record) bool {
	s := j.shard(seq)
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.entries[seq]
	if !ok || e.finished {
		return false
	}
	e.finished, e.record = true, r
	close(e.done)
	return true
}

// Release removes a running permit that provably did not run, so that it may be
// used again, and wakes its waiters. It reports whether the permit was running;
// if not, nothing changes.
func (j *Journal) Release(seq uint64) bool {
	s := j.shard(seq)
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.entries[seq]
	if !ok || e.finished {
		return false
	}
	delete(s.entries, seq)
	close(e.done)
	return true
}

// Expire drops the finished entries whose permits have expired at now and
// returns their number. Running entries stay.
func (j *Journal) Expire(now time.Duration) int {
	dropped := 0
	for i := range j.shards {
		dropped += j.shards[i].expire(now)
	}
	return dropped
}

func (s *shard) expire(now time.Duration) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.horizon = max(s.horizon, now)
	dropped := 0
	for seq, e := range s.entries {
		if e.finished && e.expires <= s.horizon {
			delete(s.entries, seq)
			dropped++
		}
	}
	return dropped
}

// Seal makes the journal refuse new runs. No Begin that follows returns Started.
func (j *Journal) Seal() {
	for i := range j.shards {
		s := &j.shards[i]
		s.mu.Lock()
		s.sealed = true
		s.mu.Unlock()
	}
}

// WaitIdle waits until no permit is running. It is meant for a sealed journal;
// otherwise runs may start while it waits. When ctx ends first it returns a
// *status.Error with the code DeadlineExceeded.
func (j *Journal) WaitIdle(ctx context.Context) error {
	for i := range j.shards {
		for {
			done := j.shards[i].running()
			if done == nil {
				break
			}
			select {
			case <-done:
			case <-ctx.Done():
				return status.Wrap(ctx.Err(), status.DeadlineExceeded, "", "permits are still running")
			}
		}
	}
	return nil
}

// running returns the done channel of any running entry, or nil.
func (s *shard) running() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.entries {
		if !e.finished {
			return e.done
		}
	}
	return nil
}

// Export returns the entries of a sealed journal in the order of their
// sequences, without those that have expired at now. A permit that is still
// running is exported with the outcome Unknown, because its absence would tell
// the successor that it did not run. The error is a *status.Error with the code
// Internal when the journal is not sealed.
func (j *Journal) Export(now time.Duration) ([]ExportedRecord, error) {
	var out []ExportedRecord
	for i := range j.shards {
		s := &j.shards[i]
		s.mu.Lock()
		if !s.sealed {
			s.mu.Unlock()
			return nil, status.New(status.Internal, "", "journal exported before it was sealed")
		}
		for seq, e := range s.entries {
			if e.expires <= now {
				continue
			}
			r := e.record
			if !e.finished {
				r = Record{Outcome: status.Unknown}
			}
			out = append(out, ExportedRecord{Sequence: seq, Record: r, Remaining: e.expires - now})
		}
		s.mu.Unlock()
	}
	slices.SortFunc(out, func(a, b ExportedRecord) int { return cmp.Compare(a.Sequence, b.Sequence) })
	return out, nil
}

// Len returns the number of entries, running and finished.
func (j *Journal) Len() int {
	n := 0
	for i := range j.shards {
		s := &j.shards[i]
		s.mu.Lock()
		n += len(s.entries)
		s.mu.Unlock()
	}
	return n
}

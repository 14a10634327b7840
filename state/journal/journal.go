// Package journal records which permits of this incarnation ran and with what outcome, so that a
// repeated request gets the first outcome and never runs again.
//
// All times are durations on the issuer's monotonic clock since the start of its process. The
// journal keeps a permit's entry at least until the permit has expired, so that no outcome is lost
// while the permit is valid.
package journal

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/balsamstall/balsamstall/protocol/status"
)

// State is the state of a permit as reported by Begin.
type State int

// Permit states.
const (
	// Started means that the caller must run the permit and then call Finish or Release.
	Started State = iota
	// Running means that another request is running the permit. Result.Done is closed when that run
	// ends; the caller may then call Begin again.
	Running
	// Finished means that the permit ran and that Result.Record holds its outcome.
	Finished
	// Sealed means that the permit has no entry and that the journal starts no more runs: the permit
	// did not run and never will.
	Sealed
	// Expired means that the permit has expired and has no entry. The entry may have been dropped,
	// so the outcome is unknown.
	Expired
)

// String returns the name of the state.
func (s State) String() string {
	return [...]string{"started", "running", "finished", "sealed", "expired"}[s]
}

// Record is the outcome of a permit that ran.
type Record struct {
	Outcome    status.Outcome
	HTTPStatus int
	// Body is the answer as sent to the caller. It must not be modified once recorded.
	Body []byte
}

// Result is the result of Begin.
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

// Journal maps the sequence numbers of permits to their state. It is safe for concurrent use.
type Journal struct {
	shards []shard
}

type shard struct {
	mu sync.Mutex
	// entries is guarded by mu.
	entries map[uint64]*permitEntry
	// sealed is guarded by mu.
	sealed bool
	// expiredUntil is the latest time passed to Expire, guarded by mu. The entry of a permit that
	// expired by then may have been dropped, so Begin must not start that permit, not even for a
	// request that read the clock before a pause of the process.
	expiredUntil time.Duration
}

type permitEntry struct {
	expires time.Duration
	// done is closed when the run ends, by Finish or by Release.
	done     chan struct{}
	finished bool
	record   Record
}

// New returns an empty journal with the given number of independently locked shards, at least 1.
func New(shards int) *Journal {
	j := &Journal{shards: make([]shard, max(shards, 1))}
	for i := range j.shards {
		j.shards[i].entries = make(map[uint64]*permitEntry)
	}
	return j
}

// shard returns the shard of a permit. The modulo spreads the load evenly because an issuer assigns
// consecutive sequence numbers.
func (j *Journal) shard(seq uint64) *shard {
	return &j.shards[seq%uint64(len(j.shards))]
}

// Begin requests to run the permit seq, which expires at expires. At most one call returns Started
// until Release is called for the permit. The entry exists before Begin returns, hence before a byte
// is sent to a target.
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
	if expires <= max(now, s.expiredUntil) {
		return Result{State: Expired}
	}
	if s.sealed {
		return Result{State: Sealed}
	}
	s.entries[seq] = &permitEntry{expires: expires, done: make(chan struct{})}
	return Result{State: Started}
}

// Finish records the outcome of a running permit and wakes the requests that wait for it. It returns
// false and changes nothing if the permit is not running.
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

// Release removes a running permit that provably did not run on any target, so that it may be used
// again, and wakes the requests that wait for it. It returns false and changes nothing if the permit
// is not running.
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

// Expire drops the finished entries whose permits have expired at now and returns their number. It
// keeps running entries.
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
	s.expiredUntil = max(s.expiredUntil, now)
	dropped := 0
	for seq, e := range s.entries {
		if e.finished && e.expires <= s.expiredUntil {
			delete(s.entries, seq)
			dropped++
		}
	}
	return dropped
}

// Seal makes the journal refuse new runs: no later Begin returns Started.
func (j *Journal) Seal() {
	for i := range j.shards {
		s := &j.shards[i]
		s.mu.Lock()
		s.sealed = true
		s.mu.Unlock()
	}
}

// WaitIdle blocks until no permit is running. The journal should be sealed, because otherwise new
// runs may start meanwhile. If ctx ends first, WaitIdle returns a *status.Error with the code
// DeadlineExceeded.
func (j *Journal) WaitIdle(ctx context.Context) error {
	for i := range j.shards {
		for {
			done := j.shards[i].anyRunning()
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

// anyRunning returns the done channel of an arbitrary running entry, or nil if none is running.
func (s *shard) anyRunning() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.entries {
		if !e.finished {
			return e.done
		}
	}
	return nil
}

// Export returns the entries of a sealed journal that have not expired at now, ordered by sequence.
// A permit that is still running is exported with the outcome Unknown, because without a record the
// successor would report that it did not run. If the journal is not sealed, Export returns a
// *status.Error with the code Internal.
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

// Len returns the number of running and finished entries.
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

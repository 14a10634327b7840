package target

import (
	"sync"
	"time"

	"github.com/balsamstall/balsamstall/protocol/targetapi"
)

// Values of Run.End.
const (
	// EndRunning marks an attempt that still runs.
	EndRunning = "running"
	// EndCompleted marks an attempt that ran to its end.
	EndCompleted = "completed"
	// EndCanceled marks an attempt that stopped because its client disconnected.
	EndCanceled = "canceled"
	// EndCrashed marks an attempt that was interrupted by a crash of the target.
	EndCrashed = "crashed"
)

// Run is the record of one attempt that started.
type Run struct {
	targetapi.Identity
	Query      string `json:"query"`
	AtMostOnce bool   `json:"at_most_once"`
	// StartUnixUS and EndUnixUS are in microseconds since the Unix epoch.
	StartUnixUS int64  `json:"start_unix_us"`
	EndUnixUS   int64  `json:"end_unix_us"`
	End         string `json:"end"`
	// ReplySent reports whether the complete reply was written to a connection that was not silent.
	ReplySent bool `json:"reply_sent"`
	// Fault is the name of the fault that changed the reply, or the kind of wrong reply, if any.
	Fault string `json:"fault,omitempty"`
}

// Record is the content of GET /control/record.
type Record struct {
	Target string `json:"target"`
	// Started counts all attempts that started.
	Started uint64 `json:"started"`
	// Dropped counts the oldest attempts, which Runs no longer contains.
	Dropped uint64 `json:"dropped"`
	Runs    []Run  `json:"runs"`
}

// recorder is a ring buffer of the most recent attempts.
type recorder struct {
	limit int

	mu sync.Mutex
	// runs and started are guarded by mu. Attempt number n is at the index n modulo limit.
	runs    []*Run
	started uint64
}

func (r *recorder) start(req *targetapi.SearchRequest) *Run {
	run := &Run{
		Identity:    req.Identity,
		Query:       req.Query,
		AtMostOnce:  req.AtMostOnce,
		StartUnixUS: time.Now().UnixMicro(),
		End:         EndRunning,
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.runs) < r.limit {
		r.runs = append(r.runs, run)
	} else {
		r.runs[r.started%uint64(r.limit)] = run
	}
	r.started++
	return run
}

// update runs change on a run with mu held.
func (r *recorder) update(run *Run, change func(*Run)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(run)
}

// finish marks a run as ended and reports whether it was still running.
func (r *recorder) finish(run *Run, end string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if run.End != EndRunning {
		return false
	}
	run.End, run.EndUnixUS = end, time.Now().UnixMicro()
	return true
}

// reset drops all runs.
func (r *recorder) reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs, r.started = nil, 0
}

// endRunning marks all running attempts as crashed and returns their number.
func (r *recorder) endRunning() (crashed int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now().UnixMicro()
	for _, run := range r.runs {
		if run.End == EndRunning {
			run.End, run.EndUnixUS = EndCrashed, now
			crashed++
		}
	}
	return crashed
}

// latestOther returns the most recent run with another identity.
func (r *recorder) latestOther(id targetapi.Identity) (Run, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for back := range uint64(len(r.runs)) {
		if run := r.runs[(r.started-1-back)%uint64(r.limit)]; run.Identity != id {
			return *run, true
		}
	}
	return Run{}, false
}

// list returns the number of attempts that started and copies of the recorded ones, oldest first.
func (r *recorder) list() (started uint64, runs []Run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	runs = make([]Run, 0, len(r.runs))
	first := r.started - uint64(len(r.runs))
	for n := first; n < r.started; n++ {
		runs = append(runs, *r.runs[n%uint64(r.limit)])
	}
	return r.started, runs
}

// Record returns the recorded attempts, oldest first.
func (t *Target) Record() Record {
	started, runs := t.record.list()
	return Record{
		Target:  t.cfg.ID,
		Started: started,
		Dropped: started - uint64(len(runs)),
		Runs:    runs,
	}
}

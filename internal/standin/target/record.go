package target

import (
	"sync"
	"time"

	"github.com/balsamstall/balsamstall/protocol/targetapi"
)

// Ends of a recorded attempt.
const (
	// EndRunning marks an attempt that still runs.
	EndRunning = "running"
	// EndCompleted marks an attempt that did its work.
	EndCompleted = "completed"
	// EndCanceled marks an attempt that stopped because its client went away.
	EndCanceled = "canceled"
	// EndCrashed marks an attempt that stopped in a crash of the target.
	EndCrashed = "crashed"
)

// Run is one attempt that started.
type Run struct {
	targetapi.Identity
	Query      string `json:"query"`
	AtMostOnce bool   `json:"at_most_once"`
	// StartUnixUS and EndUnixUS are in microseconds since the Unix epoch.
	StartUnixUS int64  `json:"start_unix_us"`
	EndUnixUS   int64  `json:"end_unix_us"`
	End         string `json:"end"`
	// ReplySent says whether the whole reply was handed to the connection and
	// the connection was not silent.
	ReplySent bool `json:"reply_sent"`
	// Fault names the fault that changed the reply, if any.
	Fault string `json:"fault,omitempty"`
}

// Record is the content of GET /control/record.
type Record struct {
	Target string `json:"target"`
	// Started counts all attempts that started.
	Started uint64 `json:"started"`
	// Dropped counts the oldest attempts that no longer fit.
	Dropped uint64 `json:"dropped"`
	Runs    []Run  `json:"runs"`
}

// recorder is a ring of the most recent attempts.
type recorder struct {
	limit int

	mu sync.Mutex
	// runs and started are guarded by mu. The attempt with the number n is at
	// the index n modulo limit.
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

// update changes a run under the recorder's mutex.
func (r *recorder) update(run *Run, change func(*Run)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(run)
}

// finish ends a run and reports whether it was still running.
func (r *recorder) finish(run *Run, end string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if run.End != EndRunning {
		return false
	}
	run.End, run.EndUnixUS = end, time.Now().UnixMicro()
	return true
}

// reset forgets all runs.
func (r *recorder) reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs, r.started = nil, 0
}

// crash ends all running attempts and returns their number.
func (r *recorder) crash() (crashed int64) {
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

// list returns copies, oldest first.
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

// Record returns the attempts that started, oldest first.
func (t *Target) Record() Record {
	started, runs := t.record.list()
	return Record{
		Target:  t.cfg.ID,
		Started: started,
		Dropped: started - uint64(len(runs)),
		Runs:    runs,
	}
}

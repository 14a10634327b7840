package target

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/balsamstall/balsamstall/internal/standin/tracked"
	"github.com/balsamstall/balsamstall/protocol/status"
	"github.com/balsamstall/balsamstall/protocol/targetapi"
)

// maxRequestBytes bounds the body of a search.
const maxRequestBytes = 1 << 20

// shedRetryAfter is the time that a shed attempt is told to wait.
const shedRetryAfter = 20 * time.Millisecond

// search handles POST /v1/search.
func (t *Target) search(w http.ResponseWriter, r *http.Request) {
	var req targetapi.SearchRequest
	body := http.MaxBytesReader(w, r.Body, maxRequestBytes)
	if err := json.NewDecoder(body).Decode(&req); err != nil {
		t.refuse(w, &req, status.Wrap(err, status.InvalidArgument, status.NotRun, "the body is not a search request"))
		return
	}
	if err := t.payDialCost(r); err != nil {
		abort()
	}
	t.sendStale(r)
	if t.affects(FaultResetBeforeRun, req.Query) != nil {
		t.countFault(string(FaultResetBeforeRun))
		resetConn(r)
	}
	if err := t.refusal(&req, true); err != nil {
		t.refuse(w, &req, err)
		return
	}
	if err := t.acquireSlot(r.Context()); err != nil {
		t.refuse(w, &req, err)
		return
	}
	// The state may have changed during the wait.
	bad := t.refusal(&req, false)
	var run *Run
	if bad == nil {
		run = t.run(r, &req)
	}
	<-t.slots
	switch {
	case bad != nil:
		t.refuse(w, &req, bad)
	case run != nil:
		t.reply(w, r, &req, run)
	default:
		abort()
	}
}

// abort ends a handler without a reply and closes its connection.
func abort() { panic(http.ErrAbortHandler) }

// payDialCost delays the first reply of a new connection.
func (t *Target) payDialCost(r *http.Request) error {
	conn := tracked.Of(r)
	if conn == nil {
		return nil
	}
	return wait(r.Context(), time.Until(conn.AcceptedAt.Add(milliseconds(t.cfg.DialCostMS))))
}

// refusal returns the reason not to run req, or nil. Load is shed on arrival only.
func (t *Target) refusal(req *targetapi.SearchRequest, arrival bool) *status.Error {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	if t.match(FaultDrain, req.Query, now) != nil {
		return status.New(status.Draining, status.NotRun, "target %s is leaving", t.cfg.ID)
	}
	if req.DeadlineUnixMS > 0 && now.UnixMilli() >= req.DeadlineUnixMS {
		return status.New(status.DeadlineExceeded, status.NotRun, "the deadline has passed")
	}
	snapshots, ok := t.snapshots[req.Service]
	if !ok {
		return status.New(status.NotFound, status.NotRun, "service %q is not served here", req.Service)
	}
	if !slices.Contains(snapshots, req.Snapshot) {
		return status.New(status.VersionUnavailable, status.NotRun, "snapshot %d/%d of %s is not on offer",
			req.Snapshot.IndexVersion, req.Snapshot.ShardMapEpoch, req.Service)
	}
	if arrival && t.match(FaultShed, req.Query, now) != nil {
		return status.New(status.Shed, status.NotRun, "the target sheds load").WithRetryAfter(shedRetryAfter)
	}
	return nil
}

// acquireSlot waits for a slot in the short queue.
func (t *Target) acquireSlot(ctx context.Context) *status.Error {
	select {
	case t.slots <- struct{}{}:
		return nil
	default:
	}
	shed := status.New(status.Shed, status.NotRun, "all %d slots are taken", t.cfg.Slots).WithRetryAfter(shedRetryAfter)
	if t.waiting.Add(1) > int64(t.cfg.Queue) {
		t.waiting.Add(-1)
		return shed
	}
	defer t.waiting.Add(-1)
	timer := time.NewTimer(time.Duration(t.cfg.QueueWaitMS) * time.Millisecond)
	defer timer.Stop()
	select {
	case t.slots <- struct{}{}:
		return nil
	case <-timer.C:
		return shed
	case <-ctx.Done():
		return status.New(status.Canceled, status.NotRun, "the client went away")
	}
}

// run does the work of an attempt that holds a slot. It returns nil when the
// attempt did not end.
func (t *Target) run(r *http.Request, req *targetapi.SearchRequest) *Run {
	// The counts come first: whoever finds the run in the record finds it counted.
	running := t.running.Add(1)
	t.counts.add(func(c *Counters) {
		c.Started++
		c.PeakRunning = max(c.PeakRunning, running)
	})
	t.noteState()
	run := t.record.start(req)
	start := time.Now()
	defer func() {
		t.running.Add(-1)
		t.counts.add(func(c *Counters) { c.BusyUS += time.Since(start).Microseconds() })
		t.noteState()
	}()
	if rule := t.affects(FaultCrash, req.Query); rule != nil {
		t.Crash(time.Duration(rule.RestartMS) * time.Millisecond)
		return nil
	}
	if err := wait(r.Context(), t.serviceTime(req.Query, time.Now())); err != nil {
		if t.record.finish(run, EndCanceled) {
			t.counts.add(func(c *Counters) { c.Canceled++ })
		}
		return nil
	}
	if !t.record.finish(run, EndCompleted) {
		return nil // The target crashed meanwhile.
	}
	t.counts.add(func(c *Counters) { c.Completed++ })
	return run
}

// reply sends the answer of an attempt that ran. It holds no slot.
func (t *Target) reply(w http.ResponseWriter, r *http.Request, req *targetapi.SearchRequest, run *Run) {
	t.holdReply(r, req, run)
	// A client that has the reply must find it in the record, so it is noted
	// before it is sent and taken back on failure.
	t.noteReply(run, true)
	sent := false
	defer func() {
		if !sent {
			t.noteReply(run, false)
		}
	}()
	if rule := t.affects(FaultWrongReply, req.Query); rule != nil {
		t.noteFault(run, string(rule.Kind))
		sent = t.sendWrong(w, r, req, rule)
	} else {
		sent = writeJSON(w, r, http.StatusOK, targetapi.SearchReply{Identity: req.Identity, Hits: Hits(req.Identity, req.Query)})
	}
}

func (t *Target) noteReply(run *Run, sent bool) {
	t.record.update(run, func(run *Run) { run.ReplySent = sent })
	t.counts.add(func(c *Counters) {
		if sent {
			c.Replies++
		} else {
			c.Replies--
		}
	})
}

func (t *Target) refuse(w http.ResponseWriter, req *targetapi.SearchRequest, err *status.Error) {
	t.counts.add(func(c *Counters) { c.Refused[string(err.Code)]++ })
	if err.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int((err.RetryAfter+time.Second-1)/time.Second)))
	}
	writeJSON(w, nil, status.HTTPStatus(err.Code), targetapi.Refusal{
		Identity:     req.Identity,
		Code:         err.Code,
		NotRun:       err.Outcome == status.NotRun,
		RetryAfterMS: err.RetryAfter.Milliseconds(),
		Message:      err.Message,
	})
}

// writeJSON sends a whole reply and reports whether the client can receive it.
// r may be nil when the result does not matter.
func writeJSON(w http.ResponseWriter, r *http.Request, code int, value any) bool {
	return writeBody(w, r, code, marshal(value))
}

func marshal(value any) []byte {
	body, err := json.Marshal(value)
	if err != nil {
		panic(err) // All reply types have a JSON form.
	}
	return body
}

func writeBody(w http.ResponseWriter, r *http.Request, code int, body []byte) bool {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(code)
	if _, err := w.Write(body); err != nil {
		return false
	}
	return flush(w, r)
}

// flush hands the reply to the connection and reports whether the client can
// receive it.
func flush(w http.ResponseWriter, r *http.Request) bool {
	if err := http.NewResponseController(w).Flush(); err != nil {
		return false
	}
	if r == nil {
		return true
	}
	conn := tracked.Of(r)
	return conn == nil || !conn.Silent()
}

// wait sleeps for d or until ctx ends.
func wait(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

package target

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/balsamstall/balsamstall/internal/standin/tracked"
	"github.com/balsamstall/balsamstall/protocol/requestrate"
	"github.com/balsamstall/balsamstall/protocol/status"
	"github.com/balsamstall/balsamstall/protocol/targetapi"
)

// maxRequestBytes is the maximum size of a request body.
const maxRequestBytes = 1 << 20

// shedRetryAfter is the retry delay in the refusal of a shed attempt.
const shedRetryAfter = 20 * time.Millisecond

// search handles POST /v1/search.
func (t *Target) search(w http.ResponseWriter, r *http.Request) {
	var req targetapi.SearchRequest
	body := http.MaxBytesReader(w, r.Body, maxRequestBytes)
	if err := json.NewDecoder(body).Decode(&req); err != nil {
		t.refuse(w, &req, status.Wrap(err, status.InvalidArgument, status.NotRun, "the body is not a search request"))
		return
	}
	if err := t.simulateDialCost(r); err != nil {
		abort()
	}
	t.sendLateDuplicate(r)
	if t.matchFault(FaultResetBeforeRun, req.Query) != nil {
		t.countFault(string(FaultResetBeforeRun))
		resetConn(r)
	}
	if err := t.refusalReason(&req, true); err != nil {
		t.refuse(w, &req, err)
		return
	}
	if err := t.acquireSlot(r.Context()); err != nil {
		t.refuse(w, &req, err)
		return
	}
	// The state may have changed during the wait for a slot.
	refusal := t.refusalReason(&req, false)
	var run *Run
	if refusal == nil {
		run = t.runAttempt(r, &req)
	}
	<-t.slots
	switch {
	case refusal != nil:
		t.refuse(w, &req, refusal)
	case run != nil:
		t.sendReply(w, r, &req, run)
	default:
		abort()
	}
}

// abort aborts a handler, which closes its connection without a reply.
func abort() { panic(http.ErrAbortHandler) }

// simulateDialCost delays the first reply on a connection until the dial cost has passed since the
// accept.
func (t *Target) simulateDialCost(r *http.Request) error {
	conn := tracked.FromRequest(r)
	if conn == nil {
		return nil
	}
	return sleep(r.Context(), time.Until(conn.AcceptedAt.Add(milliseconds(t.cfg.DialCostMS))))
}

// refusalReason returns the reason for which req must not run, or nil. The fault "shed" only applies
// on arrival.
func (t *Target) refusalReason(req *targetapi.SearchRequest, onArrival bool) *status.Error {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	if t.matchFaultLocked(FaultDrain, req.Query, now) != nil {
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
		return status.New(status.VersionUnavailable, status.NotRun, "snapshot %d/%d of %s is not available",
			req.Snapshot.IndexVersion, req.Snapshot.ShardMapEpoch, req.Service)
	}
	if onArrival && t.matchFaultLocked(FaultShed, req.Query, now) != nil {
		return status.New(status.Shed, status.NotRun, "the target sheds load").WithRetryAfter(shedRetryAfter)
	}
	return nil
}

// acquireSlot takes a slot. If all are taken, it waits in the queue for a limited time.
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

// runAttempt runs an attempt that holds a slot. It returns nil if the attempt did not complete,
// because its client disconnected or the target crashed.
func (t *Target) runAttempt(r *http.Request, req *targetapi.SearchRequest) *Run {
	// The counters are updated first, so that every run in the record has been counted.
	running := t.running.Add(1)
	t.counts.update(func(c *Counters) {
		c.Started++
		c.PeakRunning = max(c.PeakRunning, running)
	})
	t.recordState()
	run := t.record.start(req)
	start := time.Now()
	defer func() {
		t.running.Add(-1)
		t.counts.update(func(c *Counters) { c.BusyUS += time.Since(start).Microseconds() })
		t.recordState()
	}()
	if active := t.matchFault(FaultCrash, req.Query); active != nil {
		t.Crash(time.Duration(active.RestartMS) * time.Millisecond)
		return nil
	}
	if err := sleep(r.Context(), t.serviceTime(req.Query, time.Now())); err != nil {
		if t.record.finish(run, EndCanceled) {
			t.counts.update(func(c *Counters) { c.Canceled++ })
		}
		return nil
	}
	if !t.record.finish(run, EndCompleted) {
		return nil // The target has crashed in the meantime.
	}
	t.counts.update(func(c *Counters) { c.Completed++ })
	return run
}

// sendReply sends the reply of an attempt that ran and has released its slot.
func (t *Target) sendReply(w http.ResponseWriter, r *http.Request, req *targetapi.SearchRequest, run *Run) {
	t.applyReplyFaults(r, req, run)
	// The reply is recorded before it is sent, so that a client that has it finds it in the record. The
	// deferred function reverts that if sending fails.
	t.recordReply(run, true)
	sent := false
	defer func() {
		if !sent {
			t.recordReply(run, false)
		}
	}()
	if active := t.matchFault(FaultWrongReply, req.Query); active != nil {
		t.recordFault(run, string(active.Kind))
		sent = t.sendWrongReply(w, r, req, active)
	} else {
		sent = writeJSON(w, r, http.StatusOK, targetapi.SearchReply{Identity: req.Identity, Hits: Hits(req.Identity, req.Query), RateLimit: t.rateLimit(req.Query)})
	}
}

// rateLimit returns the rate limit that replies to a query state, or nil.
func (t *Target) rateLimit(query string) *requestrate.Field {
	active := t.matchFault(FaultLimit, query)
	if active == nil {
		return nil
	}
	return &requestrate.Field{Rate: requestrate.Rate{Stated: true, PerSecond: active.PerSecond}}
}

func (t *Target) recordReply(run *Run, sent bool) {
	t.record.update(run, func(run *Run) { run.ReplySent = sent })
	t.counts.update(func(c *Counters) {
		if sent {
			c.Replies++
		} else {
			c.Replies--
		}
	})
}

func (t *Target) refuse(w http.ResponseWriter, req *targetapi.SearchRequest, err *status.Error) {
	t.counts.update(func(c *Counters) { c.Refused[string(err.Code)]++ })
	if err.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int((err.RetryAfter+time.Second-1)/time.Second)))
	}
	writeJSON(w, nil, status.HTTPStatus(err.Code), targetapi.Refusal{
		Identity:     req.Identity,
		Code:         err.Code,
		NotRun:       err.Outcome == status.NotRun,
		RetryAfterMS: err.RetryAfter.Milliseconds(),
		Message:      err.Message,
		RateLimit:    t.rateLimit(req.Query),
	})
}

// writeJSON sends a complete reply and reports whether the client can receive it. r may be nil if the
// result does not matter.
func writeJSON(w http.ResponseWriter, r *http.Request, code int, value any) bool {
	return writeBody(w, r, code, marshal(value))
}

func marshal(value any) []byte {
	body, err := json.Marshal(value)
	if err != nil {
		panic(err) // All reply types can be encoded.
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

// flush writes the buffered reply to the connection and reports whether the client can receive it. It
// cannot if the connection is silent.
func flush(w http.ResponseWriter, r *http.Request) bool {
	if err := http.NewResponseController(w).Flush(); err != nil {
		return false
	}
	if r == nil {
		return true
	}
	conn := tracked.FromRequest(r)
	return conn == nil || !conn.Silent()
}

// sleep waits for d or until ctx ends, in which case it returns the error of ctx.
func sleep(ctx context.Context, d time.Duration) error {
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

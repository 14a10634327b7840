package engine

import (
	"strconv"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"github.com/balsamstall/balsamstall/protocol/status"
)

// Limits of the request log. They bound its volume when every request fails.
const (
	// DefaultRequestLinesPerSecond is the default rate limit of request log lines.
	DefaultRequestLinesPerSecond = 20
	// maxTraceBytes limits the size of the list of attempts in one line.
	maxTraceBytes = 2_000
)

// traceEvent is one attempt or decision of a request.
type traceEvent struct {
	shard  int
	target string
	// start is the time since the arrival of the request, took the duration of the attempt; took is
	// negative while the attempt runs.
	start, took time.Duration
	cause       string
	code        status.Code
}

// trace collects the events of a request for its log line. It is not safe for concurrent use.
type trace struct {
	arrival time.Time
	events  []traceEvent
	// rejection is the reason for which too few shards took the request, empty if enough did.
	rejection string
}

// recordStart records the start of an attempt, or a decision without one when target is empty.
func (t *trace) recordStart(shard int, target, cause string) {
	t.events = append(t.events, traceEvent{shard: shard, target: target, cause: cause, start: time.Since(t.arrival), took: -1})
}

// recordEnd records the result of an attempt.
func (t *trace) recordEnd(shard int, target string, err error) {
	for i := len(t.events) - 1; i >= 0; i-- {
		if e := &t.events[i]; e.shard == shard && e.target == target && e.took < 0 {
			e.took = time.Since(t.arrival) - e.start
			e.code = status.CodeOf(err)
			return
		}
	}
}

// String formats the attempts as "shard:target@start+duration=code(cause)", with times in
// milliseconds. A running attempt has the duration "?".
func (t *trace) String() string {
	var b strings.Builder
	for i := range t.events {
		e := &t.events[i]
		if b.Len() > maxTraceBytes {
			b.WriteString(" ...")
			break
		}
		if i > 0 {
			b.WriteByte(' ')
		}
		b.WriteString(strconv.Itoa(e.shard) + ":" + e.target + "@" + strconv.FormatInt(e.start.Milliseconds(), 10) + "+")
		if e.took < 0 {
			b.WriteByte('?')
		} else {
			b.WriteString(strconv.FormatInt(e.took.Milliseconds(), 10) + "=")
			if e.code == "" {
				b.WriteString("ok")
			}
			b.WriteString(string(e.code))
		}
		if e.cause != "" {
			b.WriteString("(" + e.cause + ")")
		}
	}
	return b.String()
}

// Causes of attempts and decisions in traces.
const (
	causeFirst     = ""
	causeHedge     = "hedge"
	causeRetry     = "retry"
	causeNoReplica = "no_replica"
	causeNoBudget  = "no_budget"
	causeOverLimit = "over_limit"
	// causeLeftOut means that the shard was left to requests that cannot be answered without it.
	causeLeftOut = "left_out"
	// causeRateLimited means that the targets are at the rate limits that they announced.
	causeRateLimited = "rate_limited"
)

// newRequestLog returns the rate-limited logger of requests.
func newRequestLog(log zerolog.Logger, lines uint32) zerolog.Logger {
	return log.Sample(&zerolog.BurstSampler{Burst: lines, Period: time.Second})
}

// targetEventLinesPerSecond limits the log lines about failing targets and hold-offs. Many targets
// fail at once when a rack or a switch fails.
const targetEventLinesPerSecond = 5

// newTargetEventLog returns the rate-limited logger of failing targets and hold-offs.
func newTargetEventLog(log zerolog.Logger) zerolog.Logger {
	return log.Sample(&zerolog.BurstSampler{Burst: targetEventLinesPerSecond, Period: time.Second})
}

// logRequest logs a request: at info level if it failed, left shards out or missed its latency goal,
// otherwise at debug level.
func (e *Engine) logRequest(req *Request, t *trace, answered, shards int, err error) {
	took := time.Since(req.Arrival)
	goal := req.Contract.Cutoff.Goal
	level := zerolog.DebugLevel
	if err != nil || answered < shards || goal > 0 && took > goal {
		level = zerolog.InfoLevel
	}
	event := e.requestLog.WithLevel(level)
	if level < e.log.GetLevel() || event == nil {
		return
	}
	event.Str("request_id", req.ID).Str("service", req.Service).Uint64("sheet", req.SheetRevision).Uint64("targets", req.TargetsRevision).
		Int("answered", answered).Int("shards", shards).Int64("took_ms", took.Milliseconds()).Int64("goal_ms", goal.Milliseconds()).
		Int64("deadline_ms", req.Deadline.Sub(req.Arrival).Milliseconds()).Str("attempts", t.String())
	if err != nil {
		se := status.From(err)
		event.Str("code", string(se.Code)).Str("outcome", string(se.Outcome)).Str("detail", se.Message).Int64("retry_after_ms", se.RetryAfter.Milliseconds())
		if t.rejection != "" {
			event.Str("rejection", t.rejection).Int("priority", req.Priority)
		}
	}
	event.Msg("request")
}

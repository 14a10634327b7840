package engine

import (
	"strconv"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"github.com/balsamstall/balsamstall/protocol/status"
)

// Limits of the log of requests. They bound its volume when every request fails.
const (
	// DefaultRequestLines is the number of lines about requests a second.
	DefaultRequestLines = 20
	// maxTraceBytes bounds the attempts in one line.
	maxTraceBytes = 2_000
)

// traced is one attempt or decision of a request.
type traced struct {
	shard  int
	target string
	// began and took are from the arrival of the request and from the start of the
	// attempt; took is negative while the attempt runs.
	began, took time.Duration
	cause       string
	code        status.Code
}

// trace holds what happened to a request, for its log line. One goroutine uses it.
type trace struct {
	arrival time.Time
	events  []traced
}

// began records an attempt, or a decision without one when target is empty.
func (t *trace) began(shard int, target, cause string) {
	t.events = append(t.events, traced{shard: shard, target: target, cause: cause, began: time.Since(t.arrival), took: -1})
}

// ended records the result of an attempt.
func (t *trace) ended(shard int, target string, err error) {
	for i := len(t.events) - 1; i >= 0; i-- {
		if e := &t.events[i]; e.shard == shard && e.target == target && e.took < 0 {
			e.took = time.Since(t.arrival) - e.began
			e.code = status.CodeOf(err)
			return
		}
	}
}

// String lists the attempts as "shard:target@start+duration=code(cause)", in
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
		b.WriteString(strconv.Itoa(e.shard) + ":" + e.target + "@" + strconv.FormatInt(e.began.Milliseconds(), 10) + "+")
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
)

// requestLog returns the logger of requests that did not end as they should.
func requestLog(log zerolog.Logger, lines uint32) zerolog.Logger {
	return log.Sample(&zerolog.BurstSampler{Burst: lines, Period: time.Second})
}

// beliefLinesPerSecond bounds the lines about targets that peers reported. Many
// targets fail at once when a rack or a switch does.
const beliefLinesPerSecond = 5

// beliefLog returns the logger of what peers made this entry believe.
func beliefLog(log zerolog.Logger) zerolog.Logger {
	return log.Sample(&zerolog.BurstSampler{Burst: beliefLinesPerSecond, Period: time.Second})
}

// logRequest writes the line of a request that failed, left shards out or missed
// its goal.
func (e *Engine) logRequest(req *Request, t *trace, answered, shards int, err error) {
	took := time.Since(req.Arrival)
	goal := req.Contract.Cutoff.Goal
	level := zerolog.DebugLevel
	if err != nil || answered < shards || goal > 0 && took > goal {
		level = zerolog.InfoLevel
	}
	line := e.requests.WithLevel(level)
	if level < e.log.GetLevel() || line == nil {
		return
	}
	line.Str("request_id", req.ID).Str("service", req.Service).Uint64("sheet", req.SheetRevision).Uint64("targets", req.TargetsRevision).
		Int("answered", answered).Int("shards", shards).Int64("took_ms", took.Milliseconds()).Int64("goal_ms", goal.Milliseconds()).
		Int64("deadline_ms", req.Deadline.Sub(req.Arrival).Milliseconds()).Str("attempts", t.String())
	if err != nil {
		se := status.From(err)
		line.Str("code", string(se.Code)).Str("outcome", string(se.Outcome)).Str("detail", se.Message).Int64("retry_after_ms", se.RetryAfter.Milliseconds())
	}
	line.Msg("request")
}

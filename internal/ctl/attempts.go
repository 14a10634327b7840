package ctl

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// loggedAttempt is one attempt, or one decision against an attempt, in the log line of a request.
type loggedAttempt struct {
	shard, target string
	// start is the time from the arrival of the request. duration is negative if the attempt
	// was still running when the line was written.
	start, duration time.Duration
	// code is "ok" if the attempt got a reply, otherwise the status code of the failure.
	code, cause string
}

// parseAttempt parses "shard:target@start+duration=code(cause)", with start and duration in
// milliseconds. Missing parts are empty or zero.
func parseAttempt(s string) loggedAttempt {
	var a loggedAttempt
	shard, rest, _ := strings.Cut(s, ":")
	target, rest, _ := strings.Cut(rest, "@")
	rest, a.cause, _ = strings.Cut(strings.TrimSuffix(rest, ")"), "(")
	start, result, _ := strings.Cut(rest, "+")
	duration, code, _ := strings.Cut(result, "=")
	a.shard, a.target, a.code = shard, target, code
	a.start, a.duration = parseMilliseconds(start), -1
	if result != "?" {
		a.duration = parseMilliseconds(duration)
	}
	return a
}

// parseMilliseconds parses a number of milliseconds. It returns 0 for other text.
func parseMilliseconds(s string) time.Duration {
	n, err := strconv.ParseInt(s, 10, 64)
	if err != nil {
		return 0 // The log line is truncated.
	}
	return time.Duration(n) * time.Millisecond
}

// causeTexts describes, by cause, why an attempt was or was not made.
var causeTexts = map[string]string{
	"hedge":        "hedge to another target",
	"retry":        "retry",
	"no_replica":   "the shard has no usable target",
	"no_budget":    "the fleet's budget of repeats for this group is exhausted",
	"over_limit":   "not sent: the shard is overloaded or unresponsive",
	"left_out":     "not sent: requests that need the shard were rejected, and this one is answered without it",
	"rate_limited": "not sent: the targets are at the rate limits that they announced",
}

// String describes the attempt in one sentence.
func (a loggedAttempt) String() string {
	if a.target == "" {
		return fmt.Sprintf("shard %s at %d ms: %s", a.shard, a.start.Milliseconds(), causeTexts[a.cause])
	}
	text := fmt.Sprintf("shard %s at %d ms: sent to %s", a.shard, a.start.Milliseconds(), a.target)
	if a.cause != "" {
		text += " (" + causeTexts[a.cause] + ")"
	}
	if a.duration < 0 {
		return text + ", no reply before the request ended"
	}
	return fmt.Sprintf("%s, %s after %d ms", text, a.code, a.duration.Milliseconds())
}

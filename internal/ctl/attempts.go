package ctl

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// loggedAttempt is one attempt, or a decision not to make one, in the line of a request.
type loggedAttempt struct {
	shard, target string
	// began is the time from the arrival of the request; took is negative while the attempt
	// ran when the line was written.
	began, took time.Duration
	// code is "ok" for a reply.
	code, cause string
}

// parseAttempt reads "shard:target@start+duration=code(cause)". Text that is no attempt
// gives an attempt without a shard.
func parseAttempt(s string) loggedAttempt {
	var a loggedAttempt
	shard, rest, _ := strings.Cut(s, ":")
	target, rest, _ := strings.Cut(rest, "@")
	rest, a.cause, _ = strings.Cut(strings.TrimSuffix(rest, ")"), "(")
	began, result, _ := strings.Cut(rest, "+")
	took, code, _ := strings.Cut(result, "=")
	a.shard, a.target, a.code = shard, target, code
	a.began, a.took = milliseconds(began), -1
	if result != "?" {
		a.took = milliseconds(took)
	}
	return a
}

func milliseconds(s string) time.Duration {
	n, err := strconv.ParseInt(s, 10, 64)
	if err != nil {
		return 0 // A line that was cut off.
	}
	return time.Duration(n) * time.Millisecond
}

// causes says in words why an attempt was made, or none was.
var causes = map[string]string{
	"hedge":      "hedge to another target",
	"retry":      "retry",
	"no_replica": "no target of the shard may get work",
	"no_budget":  "the fleet's repeats at this group are used up",
	"over_limit": "left out: the shard is overloaded or does not answer",
}

// String says in words what happened.
func (a loggedAttempt) String() string {
	if a.target == "" {
		return fmt.Sprintf("shard %s at %d ms: %s", a.shard, a.began.Milliseconds(), causes[a.cause])
	}
	text := fmt.Sprintf("shard %s at %d ms: sent to %s", a.shard, a.began.Milliseconds(), a.target)
	if a.cause != "" {
		text += " (" + causes[a.cause] + ")"
	}
	if a.took < 0 {
		return text + ", no reply by the end"
	}
	return fmt.Sprintf("%s, %s after %d ms", text, a.code, a.took.Milliseconds())
}

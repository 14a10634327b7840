package failing

import (
	"maps"
	"time"

	"github.com/balsamstall/balsamstall/coordination/quarantine"
)

const (
	// FirstErrorTTL is the time for which a target counts as failing after a single error reply. The
	// request may have caused it, and would then fail at every target. It spans the time in which a
	// second request shows the fault: a failing target of 61 entries got 14 requests per second.
	FirstErrorTTL = 500 * time.Millisecond
	// confirmPeriod is the time within which an error reply to another request shows that the target
	// is at fault. Failing targets fail for 5 s in the users' traffic.
	confirmPeriod = 5 * time.Second
	// requestMemory is the time for which a request is remembered after an error reply. It covers the
	// repeats of its caller.
	requestMemory = 10 * time.Second
	// sweepInterval is the interval at which expired records are removed.
	sweepInterval = time.Second
)

// Request identifies equal requests for the same shard. The zero value stands for an unidentified
// request, which equals no other.
type Request struct {
	Fingerprint quarantine.Fingerprint
	Shard       int
}

func (r Request) identified() bool { return r.Fingerprint != (quarantine.Fingerprint{}) }

// ErrorReplies decides whether error replies of targets, such as an HTTP status 500, show that the
// target fails or that the request does. It is not safe for concurrent use.
//
// One error reply makes its target count as failing for FirstErrorTTL only. It counts for TTL, as a
// broken connection does, once another target answers the same request, or when the target has also
// answered another request with an error within confirmPeriod. A request that two targets answered
// with an error does not count against further targets.
type ErrorReplies struct {
	byTarget  map[string]errorReply // The last error of each target.
	byRequest map[Request]errorReply
	sweptAt   time.Duration
}

type errorReply struct {
	at      time.Duration
	target  string
	request Request
	// requestAtFault is set when another target has answered the request with an error too.
	requestAtFault bool
}

// NewErrorReplies returns an ErrorReplies without records.
func NewErrorReplies() *ErrorReplies {
	return &ErrorReplies{byTarget: make(map[string]errorReply), byRequest: make(map[Request]errorReply)}
}

// RecordError records that a target answered a request with an error. It returns the report to
// record, and false if the request is at fault.
func (e *ErrorReplies) RecordError(r Request, target string, now time.Duration) (Report, bool) {
	e.sweep(now)
	reply := errorReply{at: now, target: target, request: r}
	if r.identified() {
		previous, known := e.byRequest[r]
		reply.requestAtFault = known && now-previous.at < requestMemory && (previous.requestAtFault || previous.target != target)
		if known || len(e.byRequest) < maxTargets {
			e.byRequest[r] = reply
		}
		if reply.requestAtFault {
			return Report{}, false
		}
	}
	previous, known := e.byTarget[target]
	if known || len(e.byTarget) < maxTargets {
		e.byTarget[target] = reply
	}
	if known && now-previous.at < confirmPeriod && (previous.request != r || !r.identified()) {
		return Report{Target: target}, true
	}
	return Report{Target: target, Age: TTL - FirstErrorTTL}, true
}

// RecordAnswer records that a target answered a request without an error. If another target has
// answered it with an error, it returns the report of that target.
func (e *ErrorReplies) RecordAnswer(r Request, target string, now time.Duration) (Report, bool) {
	e.sweep(now)
	previous, known := e.byRequest[r]
	if !known {
		return Report{}, false
	}
	delete(e.byRequest, r)
	return Report{Target: previous.target, Age: now - previous.at}, previous.target != target
}

// RecordReport records that a peer reported a target as failing. It counts as an error reply to an
// unidentified request, unless this entry has seen an error reply of the target itself: the report
// may be about that one.
func (e *ErrorReplies) RecordReport(target string, now time.Duration) {
	e.sweep(now)
	if previous, known := e.byTarget[target]; known && now-previous.at < confirmPeriod || !known && len(e.byTarget) >= maxTargets {
		return
	}
	e.byTarget[target] = errorReply{at: now, target: target}
}

// Pending returns the number of requests that RecordAnswer can match.
func (e *ErrorReplies) Pending() int { return len(e.byRequest) }

// sweep removes expired records.
func (e *ErrorReplies) sweep(now time.Duration) {
	if now-e.sweptAt < sweepInterval {
		return
	}
	e.sweptAt = now
	maps.DeleteFunc(e.byTarget, func(_ string, r errorReply) bool { return now-r.at >= confirmPeriod })
	maps.DeleteFunc(e.byRequest, func(_ Request, r errorReply) bool { return now-r.at >= requestMemory })
}

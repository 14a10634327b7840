package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/balsamstall/balsamstall/protocol/index"
	"github.com/balsamstall/balsamstall/protocol/status"
)

// attemptClass says how an attempt ended, for the statistics of its target.
type attemptClass int

const (
	attemptDone attemptClass = iota
	// attemptRefused means that the target refused explicitly.
	attemptRefused
	// attemptFailed means that the connection or the reply was faulty.
	attemptFailed
	// attemptCanceled means that this entry gave up the attempt.
	attemptCanceled
	// attemptSilent means that the connection, not the target, was at fault.
	attemptSilent
)

func classOf(err error) attemptClass {
	switch status.CodeOf(err) {
	case "":
		return attemptDone
	case status.Canceled, status.DeadlineExceeded:
		return attemptCanceled
	case status.ConnectionSilent:
		return attemptSilent
	case status.ConnectionFailed, status.ReplyMismatch, status.TooLarge:
		return attemptFailed
	}
	return attemptRefused
}

// policy makes the decisions under load. Implementations are safe for
// concurrent use.
type policy interface {
	// admit waits until the request may run. The returned function must be
	// called when it ended. An error has the outcome NotRun.
	admit(ctx context.Context, req *request) (release func(err error), err error)
	// usable reports whether a target may get new work.
	usable(target string) bool
	// pick chooses a target that may get an attempt, other than those excluded.
	pick(targets, exclude []string) (string, bool)
	// start records an attempt. The returned function must be called at its end.
	start(service, target string) (finish func(class attemptClass))
	// hedgeDelay returns the time after which an unanswered sub-request of the
	// service is hedged, and false when hedging is off.
	hedgeDelay(req *request, outstanding, total int) (time.Duration, bool)
	// allowHedge and allowRetry take one from the budgets of the service.
	allowHedge(req *request) bool
	allowRetry(req *request) bool
	// silentAfter returns the time after which a connection may count as silent.
	silentAfter(service string) time.Duration
	// leaving records that a target refused because it is draining.
	leaving(target string)
	// expectedLatency estimates the latency of a query of the service.
	expectedLatency(service string) time.Duration
	// setIndex tells the policy which targets exist.
	setIndex(p *plan, d *index.Document)
}

// baseline is the policy without any of the load policies: random replicas, no
// hedging, no admission control, one retry per sub-request.
type baseline struct{}

func newBaseline() baseline { return baseline{} }

func (baseline) admit(context.Context, *request) (func(error), error) {
	return func(error) {}, nil
}

func (baseline) usable(string) bool { return true }

func (baseline) pick(targets, exclude []string) (string, bool) {
	candidates := make([]string, 0, len(targets))
	for _, t := range targets {
		if !contains(exclude, t) {
			candidates = append(candidates, t)
		}
	}
	if len(candidates) == 0 {
		return "", false
	}
	return candidates[rand.IntN(len(candidates))], true
}

func (baseline) start(string, string) func(attemptClass) { return func(attemptClass) {} }

func (baseline) hedgeDelay(*request, int, int) (time.Duration, bool) { return 0, false }
func (baseline) allowHedge(*request) bool                            { return false }
func (baseline) allowRetry(*request) bool                            { return true }
func (baseline) silentAfter(string) time.Duration                    { return 0 }
func (baseline) leaving(string)                                      {}
func (baseline) expectedLatency(string) time.Duration                { return 0 }
func (baseline) setIndex(*plan, *index.Document)                     {}

func contains(list []string, s string) bool {
	for _, l := range list {
		if l == s {
			return true
		}
	}
	return false
}

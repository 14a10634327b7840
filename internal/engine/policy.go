package engine

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/balsamstall/balsamstall/coordination/admission"
	"github.com/balsamstall/balsamstall/coordination/hedge"
	"github.com/balsamstall/balsamstall/coordination/replica"
	"github.com/balsamstall/balsamstall/protocol/adminapi"
	"github.com/balsamstall/balsamstall/protocol/status"
	"github.com/balsamstall/balsamstall/protocol/targetapi"
)

// policy makes the decisions under load. Implementations are safe for
// concurrent use.
type policy interface {
	// admit waits until the request may run. The returned function must be
	// called when it ended. An error has the outcome NotRun.
	admit(ctx context.Context, req *Request) (release func(admission.Result), err error)
	// pick chooses a target for an attempt at a shard: one that may get new work and is
	// not excluded. It is weak when it failed lately or its recent latency is above
	// slow; a slow of zero is no bound.
	pick(req *Request, shard int, targets, exclude []string, slow time.Duration) (id string, weak, ok bool)
	// start records an attempt; finish must follow with the returned token.
	start(req *Request, shard int, target string) attemptToken
	// free reports whether the shard takes another sub-request.
	free(req *Request, shard int) bool
	// open reports whether any of the targets may answer: one that may get new work and
	// has not just refused a connection. Otherwise it returns the time until one may get
	// work again, zero when that is not known.
	open(targets []string) (wait time.Duration, ok bool)
	finish(token attemptToken, class replica.Class, refused bool)
	// planned records the primary attempts of one query.
	planned(req *Request, primaries int)
	// hedgeDelay returns the time after which an unanswered sub-request asks
	// for a hedge, and false when hedging is off.
	hedgeDelay(req *Request) (time.Duration, bool)
	// hedge answers for a sub-request that waited for its delay.
	hedge(req *Request, shard int, p hedge.Progress) hedge.Decision
	// allowRetry takes one from the retry budget of the shard.
	allowRetry(req *Request, shard int) bool
	// silentAfter returns the time after which a connection may count as silent.
	silentAfter(service string) time.Duration
	// expectedLatency estimates the latency of a query of the service.
	expectedLatency(service string) time.Duration
	// repliedWithin reports whether a target replied to an attempt in the last period.
	repliedWithin(target string, period time.Duration) bool
	// zoneOf returns the availability zone of a target, and targetsOf the targets of one.
	zoneOf(target string) (zone string, ok bool)
	targetsOf(zone string) []string
	// forget drops what is known of the speed and the failures of targets.
	forget(targets []string)
	// report takes a target's own report.
	report(target string, r *targetapi.Status)
	// describeService and describeTarget fill a row of the operators' status.
	describeService(name string, row *adminapi.Service)
	describeTarget(id string, row *adminapi.Target)
	// setCatalogue tells the policy which services and targets exist, and how many
	// entries share the targets.
	setCatalogue(c *Catalogue)
}

// attemptToken identifies one attempt in the statistics.
type attemptToken struct {
	target  *targetCell
	service *serviceState
	token   replica.Token
	// pool is nil for a request without pools.
	pool *poolState
	// useful is the time within which a reply is of use.
	useful time.Duration
	began  time.Duration
}

// classOf says how an attempt ended, for the statistics of its target.
func classOf(err error) replica.Class {
	switch status.CodeOf(err) {
	case "":
		return replica.Success
	case status.Canceled, status.DeadlineExceeded, status.ConnectionSilent, status.NoReplica:
		// A silent connection is the connection's fault, not the target's. With NoReplica
		// nothing was sent.
		return replica.Canceled
	case status.ConnectionFailed, status.ReplyMismatch, status.TooLarge:
		return replica.Failure
	}
	return replica.Shed
}

// baseline is the policy without any of the load policies: random replicas, no
// hedging, no admission control, free retries.
type baseline struct {
	self    Identity
	notices *notices
}

func (*baseline) admit(context.Context, *Request) (func(admission.Result), error) {
	return func(admission.Result) {}, nil
}

func (b *baseline) pick(_ *Request, _ int, targets, exclude []string, _ time.Duration) (string, bool, bool) {
	now := b.self.Clock()
	allowed := make([]string, 0, len(targets))
	for _, t := range targets {
		if !slices.Contains(exclude, t) && !b.notices.closed(t, now) {
			allowed = append(allowed, t)
		}
	}
	if len(allowed) == 0 {
		return "", false, false
	}
	return allowed[rand.IntN(len(allowed))], false, true
}

func (*baseline) free(*Request, int) bool                     { return true }
func (*baseline) open(targets []string) (time.Duration, bool) { return 0, len(targets) > 0 }
func (*baseline) start(*Request, int, string) attemptToken    { return attemptToken{} }
func (*baseline) finish(attemptToken, replica.Class, bool)    {}
func (*baseline) planned(*Request, int)                       {}
func (*baseline) hedgeDelay(*Request) (time.Duration, bool)   { return 0, false }
func (*baseline) hedge(*Request, int, hedge.Progress) hedge.Decision {
	return hedge.Decision{Verdict: hedge.Off}
}
func (*baseline) allowRetry(*Request, int) bool             { return true }
func (*baseline) silentAfter(string) time.Duration          { return 0 }
func (*baseline) expectedLatency(string) time.Duration      { return 0 }
func (*baseline) repliedWithin(string, time.Duration) bool  { return false }
func (*baseline) zoneOf(string) (string, bool)              { return "", false }
func (*baseline) targetsOf(string) []string                 { return nil }
func (*baseline) forget([]string)                           {}
func (*baseline) report(string, *targetapi.Status)          {}
func (*baseline) setCatalogue(*Catalogue)                   {}
func (*baseline) describeService(string, *adminapi.Service) {}
func (*baseline) describeTarget(string, *adminapi.Target)   {}

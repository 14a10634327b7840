package engine

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/balsamstall/balsamstall/coordination/admission"
	"github.com/balsamstall/balsamstall/coordination/hedge"
	"github.com/balsamstall/balsamstall/coordination/replica"
	"github.com/balsamstall/balsamstall/coordination/shardroom"
	"github.com/balsamstall/balsamstall/protocol/adminapi"
	"github.com/balsamstall/balsamstall/protocol/status"
	"github.com/balsamstall/balsamstall/protocol/targetapi"
)

// policy makes the load decisions: admission, target selection, hedging, retries and limits.
// Implementations are safe for concurrent use.
type policy interface {
	// admit waits until the request may run. The returned function must be called when the request
	// has ended. An error has the outcome NotRun.
	admit(ctx context.Context, req *Request) (release func(admission.Result), err error)
	// pick selects a target for an attempt at a shard among those that accept new work and are not
	// excluded. The target is degraded when it failed recently or its recent latency exceeds
	// slowThreshold; zero disables the threshold.
	pick(req *Request, shard int, targets, exclude []string, slowThreshold time.Duration) (id string, degraded, ok bool)
	// start records the start of an attempt; finish must be called with the returned token.
	start(req *Request, shard int, target string) attemptToken
	// hasCapacity reports whether the shard can take another sub-request.
	hasCapacity(req *Request, shard int) bool
	// room returns the room for another sub-request at a shard that has a usable target.
	room(req *Request, shard int) shardroom.Shard
	// recordRejection records that a request was rejected because the shards had no room, recordLeftOut
	// that a request left a shard to requests that need it, and recordStart that it sent its first
	// attempt there.
	recordRejection(req *Request, shards []int)
	recordStart(req *Request, shard int)
	recordLeftOut(req *Request, shard int)
	// anyAvailable reports whether any of the targets of a shard may answer: it accepts new work, has
	// not just refused a connection, its zone is reachable and its rate limit allows the request.
	// Otherwise it returns the time until one may get work again, zero if unknown.
	anyAvailable(req *Request, shard int, targets []string) (wait time.Duration, ok bool)
	// finish records the end of an attempt. connRefused tells whether the target refused the
	// connection.
	finish(token attemptToken, class replica.Class, connRefused bool)
	// recordPrimaries records the primary attempts of one query, which are the first attempts of its
	// sub-requests.
	recordPrimaries(req *Request, primaries int)
	// hedgeDelay returns the time after which a hedge is considered for an unanswered sub-request,
	// and false when hedging is off.
	hedgeDelay(req *Request) (time.Duration, bool)
	// hedge decides whether a sub-request that is older than its hedge delay is hedged.
	hedge(req *Request, shard int, p hedge.Progress) hedge.Decision
	// tryRepeat takes one repeat (a retry or a hedge) from the budget of the shard and reports
	// whether there was one.
	tryRepeat(req *Request, shard int) bool
	// silentAfter returns the time without a reply after which a connection may count as silent.
	silentAfter(service string) time.Duration
	// expectedLatency estimates the latency of a query of the service.
	expectedLatency(service string) time.Duration
	// repliedWithin reports whether a target replied to an attempt within the last period.
	repliedWithin(target string, period time.Duration) bool
	// zoneOf returns the availability zone of a target, and false if the target is unknown.
	// targetsOf returns the targets of a zone.
	zoneOf(target string) (zone string, ok bool)
	targetsOf(zone string) []string
	// resetStats resets the latency and failure statistics of targets.
	resetStats(targets []string)
	// recordStatus records the status that a target reported.
	recordStatus(target string, r *targetapi.Status)
	// recordLoad records the load that a target reported in a reply.
	recordLoad(target string, r replica.LoadReport)
	// describeService and describeTarget fill in a row of the admin status.
	describeService(name string, row *adminapi.Service)
	describeTarget(id string, row *adminapi.Target)
	// setCatalogue replaces the known services, targets and target groups, and the number of entries
	// that share the targets.
	setCatalogue(c *Catalogue)
}

// attemptToken connects the start of an attempt to its end in the statistics.
type attemptToken struct {
	target  *targetRecord
	service *serviceState
	token   replica.Token
	// group is nil when the attempt does not count against the limit of a target group.
	group *groupState
	// usefulLatency is the time within which a reply shows that the group is not overloaded.
	usefulLatency time.Duration
	start         time.Duration
}

// classOf classifies the end of an attempt for the statistics of its target.
func classOf(err error) replica.Class {
	switch status.CodeOf(err) {
	case "":
		return replica.Success
	case status.Canceled, status.DeadlineExceeded, status.ConnectionSilent, status.NoReplica:
		// A silent connection is a fault of the connection, not of the target. With NoReplica nothing
		// was sent.
		return replica.Canceled
	case status.ConnectionFailed, status.ReplyMismatch, status.TooLarge:
		return replica.Failure
	}
	return replica.Shed
}

// baselinePolicy is the policy with all load policies off: random replicas, no hedging, no
// admission control, unlimited retries.
type baselinePolicy struct {
	self         Identity
	restrictions *restrictions
}

func (*baselinePolicy) admit(context.Context, *Request) (func(admission.Result), error) {
	return func(admission.Result) {}, nil
}

func (b *baselinePolicy) pick(req *Request, shard int, targets, exclude []string, _ time.Duration) (string, bool, bool) {
	now := b.self.Clock()
	allowed := make([]string, 0, len(targets))
	for _, t := range targets {
		if _, _, blocked := b.restrictions.check(t, "", req.rateRanks.Of(shard), now); !blocked && !slices.Contains(exclude, t) {
			allowed = append(allowed, t)
		}
	}
	if len(allowed) == 0 {
		return "", false, false
	}
	return allowed[rand.IntN(len(allowed))], false, true
}

func (*baselinePolicy) hasCapacity(*Request, int) bool { return true }
func (*baselinePolicy) room(*Request, int) shardroom.Shard {
	return shardroom.Shard{Usable: true, Free: 1}
}
func (*baselinePolicy) recordRejection(*Request, []int) {}
func (*baselinePolicy) recordStart(*Request, int)       {}
func (*baselinePolicy) recordLeftOut(*Request, int)     {}
func (*baselinePolicy) anyAvailable(_ *Request, _ int, targets []string) (time.Duration, bool) {
	return 0, len(targets) > 0
}
func (*baselinePolicy) start(*Request, int, string) attemptToken  { return attemptToken{} }
func (*baselinePolicy) finish(attemptToken, replica.Class, bool)  {}
func (*baselinePolicy) recordPrimaries(*Request, int)             {}
func (*baselinePolicy) hedgeDelay(*Request) (time.Duration, bool) { return 0, false }
func (*baselinePolicy) hedge(*Request, int, hedge.Progress) hedge.Decision {
	return hedge.Decision{Verdict: hedge.Off}
}
func (*baselinePolicy) tryRepeat(*Request, int) bool              { return true }
func (*baselinePolicy) silentAfter(string) time.Duration          { return 0 }
func (*baselinePolicy) expectedLatency(string) time.Duration      { return 0 }
func (*baselinePolicy) repliedWithin(string, time.Duration) bool  { return false }
func (*baselinePolicy) zoneOf(string) (string, bool)              { return "", false }
func (*baselinePolicy) targetsOf(string) []string                 { return nil }
func (*baselinePolicy) resetStats([]string)                       {}
func (*baselinePolicy) recordStatus(string, *targetapi.Status)    {}
func (*baselinePolicy) recordLoad(string, replica.LoadReport)     {}
func (*baselinePolicy) setCatalogue(*Catalogue)                   {}
func (*baselinePolicy) describeService(string, *adminapi.Service) {}
func (*baselinePolicy) describeTarget(string, *adminapi.Target)   {}

package engine

import (
	"context"
	"time"

	"github.com/balsamstall/balsamstall/coordination/coverage"
	"github.com/balsamstall/balsamstall/coordination/quarantine"
	"github.com/balsamstall/balsamstall/internal/targetrate"
	"github.com/balsamstall/balsamstall/protocol/callerapi"
	"github.com/balsamstall/balsamstall/protocol/ids"
	"github.com/balsamstall/balsamstall/protocol/index"
)

// Request describes one request to the engine. Its exported fields must not change while the request
// runs.
type Request struct {
	// ID identifies the request in logs.
	ID string
	// Service selects the statistics, budgets and admission state.
	Service string
	// Priority ranks the request among those that need the same targets, 1 being the most urgent.
	Priority int
	// SheetRevision and TargetsRevision are the revisions of the documents that the request uses,
	// for logs.
	SheetRevision, TargetsRevision uint64
	// Contract holds the limits of the service.
	Contract Contract
	// Arrival is the time at which the request had been read completely.
	Arrival time.Time
	// Waited is the time that the caller had already waited before Arrival, zero if unknown.
	Waited time.Duration
	// Deadline is the time by which the final answer must be sent.
	Deadline time.Time
	// Fingerprint identifies equal requests; see Engine.Fingerprint. Zero exempts the request from
	// the crash guard.
	Fingerprint quarantine.Fingerprint
	// SelectShard selects, out of the given number of shards, the one that a request under RunOnce
	// goes to. Nil selects the first.
	SelectShard func(shards int) int
	// Groups names the target group of each shard. The repeats (retries and hedges) at a group are
	// bounded for the whole fleet. Nil charges repeats to the budgets of the service.
	Groups []string
	// GroupTargets lists, for each shard, all targets of its group. They are used when the targets
	// of the snapshot, to which the entry keeps connections, do not answer. It may be nil.
	GroupTargets [][]string
	// SkipAdmission exempts the request from admission control.
	SkipAdmission bool
	// rateRanks holds the ranks with which the attempts take tokens of targets with rate limits. The
	// engine sets them when it plans the request.
	rateRanks targetrate.Ranks
	// Work sends attempts and merges replies in the protocol of the request.
	Work Work
}

// late reports whether the caller can no longer be answered within the latency goal of its first
// call.
func (r *Request) late() bool {
	return r.Contract.Latency > 0 && r.Waited >= r.Contract.Latency
}

// Contract holds the latency, coverage and fan-out limits of one service.
type Contract struct {
	// Latency is the contracted latency, or latency goal. Admission ranks a request that waits longer
	// last, and a request whose caller has already waited longer only gets spare capacity.
	Latency time.Duration
	// Cutoff determines when an answer is sent without the missing shards. Its goal may differ from
	// Latency for a caller that has waited in earlier calls.
	Cutoff coverage.Cutoff
	// RequireMinRatio makes an answer below the minimum ratio of Cutoff a failure.
	RequireMinRatio bool
	// MaxRuns limits the number of targets that may run one sub-request. Zero leaves the limit of
	// 4 attempts.
	MaxRuns int
	// MaxFanout limits the number of shards of one query. Zero sets no limit.
	MaxFanout int
	// CanaryWait is the maximum head start of the canary shard. Zero sends to all shards at once.
	CanaryWait time.Duration
}

// Attempt is the execution of a sub-request on one target.
type Attempt struct {
	// Number is the sequence number of the attempt within the request, from 1.
	Number uint32
	Shard  int
	Target string
	// Cause tells why the attempt is made, for metrics: empty for a first attempt.
	Cause    string
	Snapshot ids.Snapshot
	// AtMostOnce is set for a request that must not run more than once.
	AtMostOnce bool
	// FreshConnection requires a connection that was never used.
	FreshConnection bool
	// SilentAfter is the time without a reply after which the connection may count as silent. Zero
	// disables the check.
	SilentAfter time.Duration
}

// Work is the part of a request that depends on the caller and target protocols. Send is called
// from several goroutines, the other methods from one.
type Work interface {
	// ChooseSnapshot returns the newest snapshot that is not excluded and the number of its shards
	// that have a usable target. It returns false when there is no such snapshot.
	ChooseSnapshot(usable func(target string) bool, excluded func(ids.Snapshot) bool) (*index.Snapshot, int, bool)
	// StartMerge begins the merge of a snapshot. A second call discards the first merge.
	StartMerge(*index.Snapshot)
	// Send sends one attempt and returns the reply. Every error is a *status.Error, whose outcome
	// is NotRun only if the attempt provably did not run.
	Send(context.Context, Attempt) (any, error)
	// Accept merges the reply of a shard. It is called at most once for each shard.
	Accept(shard int, reply any)
	// MarkMissing records why a shard has no reply so far. A later Accept supersedes it.
	MarkMissing(shard int, reason callerapi.Reason)
}

// Result describes a request that ended with at least one reply.
type Result struct {
	// Snapshot is the snapshot that every merged reply belongs to.
	Snapshot *index.Snapshot
	// Answered is the number of shards whose reply was merged.
	Answered int
}

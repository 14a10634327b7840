package engine

import (
	"context"
	"time"

	"github.com/balsamstall/balsamstall/coordination/coverage"
	"github.com/balsamstall/balsamstall/coordination/quarantine"
	"github.com/balsamstall/balsamstall/protocol/callerapi"
	"github.com/balsamstall/balsamstall/protocol/ids"
	"github.com/balsamstall/balsamstall/protocol/index"
)

// Request is one request as the engine sees it. It is fixed from start to end.
type Request struct {
	// ID names the request in logs.
	ID string
	// Service is the key of statistics, budgets and admission.
	Service string
	// SheetRevision and TargetsRevision are those of the documents that the request
	// reads, for logs.
	SheetRevision, TargetsRevision uint64
	// Contract holds the limits that the service sets.
	Contract Contract
	// Arrival is the time at which the request had been read.
	Arrival time.Time
	// Waited is how long the caller has waited before Arrival, as far as it is known.
	Waited time.Duration
	// Deadline is the time by which the final answer must leave.
	Deadline time.Time
	// Fingerprint identifies equal requests. Engine.Fingerprint returns it. Zero keeps
	// the request out of the crash guard.
	Fingerprint quarantine.Fingerprint
	// SelectShard returns the only shard that a request under RunOnce concerns, of
	// the given number. Nil selects the first.
	SelectShard func(shards int) int
	// Pools names the target group of each shard, whose repeats are bounded for the
	// whole fleet. Nil charges repeats to the budgets of the service.
	Pools []string
	// Others lists, for each shard, all targets of its group. They are used when those
	// of the snapshot, to which the entry keeps connections, do not answer. May be nil.
	Others [][]string
	// Unlimited keeps the request out of admission control.
	Unlimited bool
	// Work is what the way in does with attempts and replies.
	Work Work
}

// late reports whether the caller cannot be answered within the goal of its first call any
// more.
func (r *Request) late() bool {
	return r.Contract.Latency > 0 && r.Waited >= r.Contract.Latency
}

// Contract holds the limits of one service.
type Contract struct {
	// Latency is the contracted latency. Admission gives a request that waits
	// longer the lowest rank, and one whose caller has waited longer gets the places
	// that are left.
	Latency time.Duration
	// Cutoff says when an answer leaves without the missing shards.
	Cutoff coverage.Cutoff
	// Complete is set when an answer below the least ratio of Cutoff is a failure.
	Complete bool
	// MaxRuns is the number of targets that may run one sub-request. Zero selects
	// 4.
	MaxRuns int
	// MaxFanout is the largest number of shards of one query. Zero sets no limit.
	MaxFanout int
	// CanaryWait is the head start of the first shard. Zero sends to all at once.
	CanaryWait time.Duration
}

// Attempt is one sub-request at one target.
type Attempt struct {
	// Number counts the attempts of the request from 1.
	Number   uint32
	Shard    int
	Target   string
	Snapshot ids.Snapshot
	// Once is set for a request that may run once at most.
	Once bool
	// Fresh asks for a connection that was never used.
	Fresh bool
	// SilentAfter is the time without a reply after which the connection may count
	// as silent. Zero turns the check off.
	SilentAfter time.Duration
}

// Work is the part of a request that depends on its way in and on the protocol of
// the targets. Send is called by many goroutines, the others by one.
type Work interface {
	// Choose returns the newest snapshot that is not excluded, and how many of its
	// shards have a usable target. It returns false when there is none.
	Choose(usable func(target string) bool, excluded func(ids.Snapshot) bool) (*index.Snapshot, int, bool)
	// Start begins the merge of a snapshot. A second call discards the first merge.
	Start(*index.Snapshot)
	// Send sends one attempt and returns the reply. Every error is a
	// *status.Error whose outcome is NotRun only with proof.
	Send(context.Context, Attempt) (any, error)
	// Accept merges the reply of a shard, once for each shard.
	Accept(shard int, reply any)
	// Miss records why a shard has no reply so far. A later Accept replaces it.
	Miss(shard int, reason callerapi.Reason)
}

// Result describes a query that ended with at least one reply.
type Result struct {
	// Snapshot is the one that every merged reply belongs to.
	Snapshot *index.Snapshot
	// Answered counts the shards whose reply was merged.
	Answered int
}

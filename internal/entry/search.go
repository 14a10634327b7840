package entry

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/balsamstall/balsamstall/coordination/coverage"
	"github.com/balsamstall/balsamstall/coordination/snapshot"
	"github.com/balsamstall/balsamstall/internal/engine"
	"github.com/balsamstall/balsamstall/protocol/callerapi"
	"github.com/balsamstall/balsamstall/protocol/ids"
	"github.com/balsamstall/balsamstall/protocol/index"
	"github.com/balsamstall/balsamstall/protocol/requestrate"
	"github.com/balsamstall/balsamstall/protocol/status"
	"github.com/balsamstall/balsamstall/protocol/targetapi"
	"github.com/balsamstall/balsamstall/transport/callerhttp"
	"github.com/balsamstall/balsamstall/transport/targethttp"
)

// searchAll runs an idempotent search on all shards.
func (e *Engine) searchAll(ctx context.Context, req *request) callerhttp.Reply {
	w := &searchWork{engine: e, req: req}
	result, err := e.core.Run(ctx, e.engineRequest(req, w))
	if err != nil {
		return e.errorReply(req.id, err, "")
	}
	resp, err := w.buildResponse(result)
	if err != nil {
		return e.errorReply(req.id, err, "")
	}
	return e.answerReply(resp)
}

// engineRequest returns the description of a search for the core engine.
func (e *Engine) engineRequest(req *request, w *searchWork) *engine.Request {
	svc := req.service
	return &engine.Request{
		ID:       req.id.String(),
		Service:  svc.Name,
		Priority: svc.Priority,
		Contract: engine.Contract{
			Latency:    time.Duration(svc.Latency.ContractMS) * time.Millisecond,
			MaxFanout:  svc.Limits.MaxFanout,
			CanaryWait: time.Duration(svc.Canary.MaxWaitMS) * time.Millisecond,
		},
		Arrival:     req.arrival,
		Deadline:    req.deadline,
		Fingerprint: e.core.Fingerprint(req.caller.Workspace, svc.Name, req.search.Query, nil),
		Work:        w,
	}
}

// searchWork searches the shards of one index snapshot and merges the hits.
type searchWork struct {
	engine *Engine
	req    *request
	merger *coverage.Merger
	// onlyShard is the shard of an at-most-once request, or nil for all shards.
	onlyShard *int
}

// ChooseSnapshot implements engine.Work.
func (w *searchWork) ChooseSnapshot(usable func(string) bool, excluded func(ids.Snapshot) bool) (*index.Snapshot, int, bool) {
	return snapshot.Choose(w.req.plan.indexes[w.req.service.Name], usable, excluded)
}

// StartMerge implements engine.Work.
func (w *searchWork) StartMerge(s *index.Snapshot) {
	var needed []int
	if w.onlyShard != nil {
		needed = []int{*w.onlyShard}
	}
	w.merger = coverage.New(s.Snapshot, len(s.Shards), needed)
}

// Send implements engine.Work.
func (w *searchWork) Send(ctx context.Context, a engine.Attempt) (any, error) {
	sent := w.engine.self.Clock()
	reply, err := w.engine.targets.Search(ctx, a.Target, &targetapi.SearchRequest{
		Identity: targetapi.Identity{
			RequestID: w.req.id.String(),
			Attempt:   a.Number,
			Workspace: w.req.caller.Workspace,
			Service:   w.req.service.Name,
			Shard:     a.Shard,
			Snapshot:  a.Snapshot,
		},
		Query:          w.req.search.Query,
		DeadlineUnixMS: w.req.deadline.UnixMilli(),
		AtMostOnce:     a.AtMostOnce,
	}, targethttp.Options{FreshConnection: a.FreshConnection, SilentAfter: a.SilentAfter, MaySend: w.engine.core.MaySend,
		OnSearchEnd: func(rateLimit *requestrate.Field, err error) { w.applyNotices(a.Target, sent, rateLimit, err) }})
	if err != nil {
		return nil, err // A nil *SearchReply would be a non-nil interface value.
	}
	return reply, nil
}

// applyNotices applies what a target stated about new requests in the result of an attempt that was
// sent at the given time.
func (w *searchWork) applyNotices(target string, sent time.Duration, rateLimit *requestrate.Field, err error) {
	limits, id := w.engine.core.RateLimits(), w.req.id.String()
	switch {
	case rateLimit == nil:
		limits.RecordReply(target, id, sent, requestrate.Rate{}, err == nil)
	case rateLimit.Invalid != nil:
		limits.RecordInvalid(target, id, rateLimit.Invalid)
	default:
		limits.RecordReply(target, id, sent, rateLimit.Rate, err == nil)
	}
	if se := status.From(err); se != nil && se.Code == status.Shed && se.RetryAfter > 0 {
		w.engine.core.RecordHoldOff(target, id, se.RetryAfter)
	}
}

// Accept implements engine.Work.
func (w *searchWork) Accept(shard int, reply any) {
	targetHits := reply.(*targetapi.SearchReply).Hits
	hits := make([]callerapi.Hit, len(targetHits))
	for i, h := range targetHits {
		hits[i] = callerapi.Hit{Shard: shard, ID: h.ID, Score: h.Score, Body: h.Body}
	}
	w.merger.Accept(shard, hits)
}

// MarkMissing implements engine.Work.
func (w *searchWork) MarkMissing(shard int, reason callerapi.Reason) {
	w.merger.MarkMissing(shard, reason)
}

// buildResponse ends the merge and returns the response.
func (w *searchWork) buildResponse(result *engine.Result) (*callerapi.SearchResponse, error) {
	cov, hits, err := w.merger.Seal(w.req.service.Coverage.MinRatio)
	if err != nil {
		w.engine.core.RecordViolation("coverage", err)
		return nil, err
	}
	return &callerapi.SearchResponse{
		RequestID:     w.req.id.String(),
		Outcome:       status.Done,
		Service:       w.req.service.Name,
		Results:       hits,
		Snapshot:      result.Snapshot.Snapshot,
		Coverage:      cov,
		SheetRevision: w.req.plan.sheetRevision,
		Entry:         w.engine.self.Entry,
	}, nil
}

// searchOneShard runs an at-most-once request on the shard that the hash of its query selects.
func (e *Engine) searchOneShard(ctx context.Context, req *request) (*callerapi.SearchResponse, error) {
	w := &searchWork{engine: e, req: req}
	engineReq := e.engineRequest(req, w)
	engineReq.SelectShard = func(shards int) int {
		shard := int(xxhash.Sum64String(req.search.Query) % uint64(shards))
		w.onlyShard = &shard
		return shard
	}
	result, err := e.core.RunOnce(ctx, engineReq)
	if err != nil {
		return nil, err
	}
	return w.buildResponse(result)
}

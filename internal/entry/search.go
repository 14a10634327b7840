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
	"github.com/balsamstall/balsamstall/protocol/status"
	"github.com/balsamstall/balsamstall/protocol/targetapi"
	"github.com/balsamstall/balsamstall/transport/callerhttp"
	"github.com/balsamstall/balsamstall/transport/targethttp"
)

// searchAll runs an idempotent search over all shards.
func (e *Engine) searchAll(ctx context.Context, req *request) callerhttp.Reply {
	w := &searchWork{engine: e, req: req}
	result, err := e.core.Run(ctx, e.coreRequest(req, w))
	if err != nil {
		return e.errorReply(req.id, err, "")
	}
	resp, err := w.answer(result)
	if err != nil {
		return e.errorReply(req.id, err, "")
	}
	return e.answerReply(resp)
}

// coreRequest describes a search to the core.
func (e *Engine) coreRequest(req *request, w *searchWork) *engine.Request {
	svc := req.service
	return &engine.Request{
		ID:      req.id.String(),
		Service: svc.Name,
		Contract: engine.Contract{
			Latency:    time.Duration(svc.Latency.ContractMS) * time.Millisecond,
			MaxFanout:  svc.Limits.MaxFanout,
			CanaryWait: time.Duration(svc.Canary.MaxWaitMS) * time.Millisecond,
		},
		Arrival:     req.arrival,
		Deadline:    req.deadline,
		Fingerprint: e.core.Fingerprint(req.caller.Workspace, svc.Name, req.search.Query),
		Work:        w,
	}
}

// searchWork searches the shards of one index snapshot and merges the hits.
type searchWork struct {
	engine *Engine
	req    *request
	merger *coverage.Merger
	// only is the shard of an at-most-once request, nil for all shards.
	only *int
}

// ChooseSnapshot implements engine.Work.
func (w *searchWork) ChooseSnapshot(usable func(string) bool, excluded func(ids.Snapshot) bool) (*index.Snapshot, int, bool) {
	return snapshot.Choose(w.req.plan.indexes[w.req.service.Name], usable, excluded)
}

// StartMerge implements engine.Work.
func (w *searchWork) StartMerge(s *index.Snapshot) {
	var concerned []int
	if w.only != nil {
		concerned = []int{*w.only}
	}
	w.merger = coverage.New(s.Snapshot, len(s.Shards), concerned)
}

// Send implements engine.Work.
func (w *searchWork) Send(ctx context.Context, a engine.Attempt) (any, error) {
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
	}, targethttp.Options{FreshConnection: a.FreshConnection, SilentAfter: a.SilentAfter, MaySend: w.engine.core.MaySend})
	if err != nil {
		if se := status.From(err); se.Code == status.Shed && se.RetryAfter > 0 {
			w.engine.core.RecordHoldOff(a.Target, w.req.id.String(), se.RetryAfter)
		}
		return nil, err // Not a typed nil in an interface.
	}
	return reply, nil
}

// Accept implements engine.Work.
func (w *searchWork) Accept(shard int, reply any) {
	found := reply.(*targetapi.SearchReply).Hits
	hits := make([]callerapi.Hit, len(found))
	for i, h := range found {
		hits[i] = callerapi.Hit{Shard: shard, ID: h.ID, Score: h.Score, Body: h.Body}
	}
	w.merger.Accept(shard, hits)
}

// Miss implements engine.Work.
func (w *searchWork) Miss(shard int, reason callerapi.Reason) { w.merger.MarkMissing(shard, reason) }

// answer seals the merge.
func (w *searchWork) answer(result *engine.Result) (*callerapi.SearchResponse, error) {
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
		SheetRevision: w.req.plan.revision,
		Entry:         w.engine.self.Entry,
	}, nil
}

// sendOnce sends an at-most-once request to the shard that its query selects.
func (e *Engine) sendOnce(ctx context.Context, req *request) (*callerapi.SearchResponse, error) {
	w := &searchWork{engine: e, req: req}
	core := e.coreRequest(req, w)
	core.SelectShard = func(shards int) int {
		shard := int(xxhash.Sum64String(req.search.Query) % uint64(shards))
		w.only = &shard
		return shard
	}
	result, err := e.core.RunOnce(ctx, core)
	if err != nil {
		return nil, err
	}
	return w.answer(result)
}

package entry

import (
	"context"
	"encoding/json"
	"github.com/balsamstall/balsamstall/internal/engine"
	"net/http"
	"time"

	"github.com/balsamstall/balsamstall/coordination/permit"
	"github.com/balsamstall/balsamstall/protocol/callerapi"
	"github.com/balsamstall/balsamstall/protocol/ids"
	"github.com/balsamstall/balsamstall/protocol/status"
	"github.com/balsamstall/balsamstall/state/journal"
	"github.com/balsamstall/balsamstall/transport/callerhttp"
)

// searchOnce serves a request of an at-most-once service. It refuses a request without a permit and
// issues a permit for it. A request with a permit runs on the entry that issued the permit.
func (e *Engine) searchOnce(ctx context.Context, req *request) callerhttp.Reply {
	if req.search.Permit == "" {
		err := status.New(status.PermitRequired, status.NotRun, "send the request again with this permit")
		return e.errorReply(req.id, err, e.issuePermit(req))
	}
	claims, err := e.signer.Verify(req.search.Permit, req.permitRequest())
	if err != nil {
		return e.errorReply(req.id, err, "")
	}
	if claims.Issuer != e.self.Incarnation {
		return e.forward(ctx, req, claims)
	}
	return e.runPermit(ctx, req, claims)
}

// permitRequest returns the properties of the request that its permit must match.
func (r *request) permitRequest() permit.Request {
	return permit.Request{
		Caller:    r.caller.Name,
		Workspace: r.caller.Workspace,
		Service:   r.service.Name,
		Query:     r.search.Query,
	}
}

func (r *request) repeatWindow() time.Duration {
	return time.Duration(r.service.Repeat.WindowS) * time.Second
}

func (e *Engine) issuePermit(req *request) string {
	return e.signer.Issue(permit.Claims{
		Issuer:      e.self.Incarnation,
		Entry:       e.self.Entry,
		Sequence:    req.id.Sequence,
		IssuedAt:    e.self.Clock(),
		Window:      req.repeatWindow(),
		Caller:      req.caller.Name,
		Workspace:   req.caller.Workspace,
		Service:     req.service.Name,
		QueryDigest: permit.Digest(req.search.Query),
	})
}

// runPermit runs a permit of this incarnation, or returns the outcome of its earlier run. A
// duplicate that arrives during a run waits for its end.
func (e *Engine) runPermit(ctx context.Context, req *request, claims permit.Claims) callerhttp.Reply {
	for {
		expired := permit.Decide(claims, e.self.Incarnation, e.self.Clock(), req.repeatWindow()) == permit.Expired
		if expired {
			return e.errorReply(req.id, status.New(status.PermitExpired, status.Unknown, "the permit's repeat window has passed"), "")
		}
		result := e.journal.Begin(claims.Sequence, e.self.Clock(), claims.Expires())
		switch result.State {
		case journal.Started:
			return e.runStarted(ctx, req, claims.Sequence)
		case journal.Finished:
			return e.replay(req.id, result.Record)
		case journal.Expired:
			return e.errorReply(req.id, status.New(status.PermitExpired, status.Unknown, "the permit has expired"), "")
		case journal.Sealed:
			err := status.New(status.Draining, status.NotRun, "this entry is stopping and did not run the permit")
			return e.errorReply(req.id, err.WithRetryAfter(engine.DefaultRetryAfter), "")
		}
		select {
		case <-result.Done:
		case <-ctx.Done():
			err := status.New(status.DeadlineExceeded, status.Unknown, "an earlier request with this permit is still running")
			return e.errorReply(req.id, err.WithRetryAfter(engine.DefaultRetryAfter), "")
		}
	}
}

// runStarted runs a permit that the journal lists as started by this request. The run continues if
// the caller disconnects, so that a repeat finds the outcome.
func (e *Engine) runStarted(ctx context.Context, req *request, seq uint64) callerhttp.Reply {
	runCtx, cancel := context.WithDeadline(context.WithoutCancel(ctx), req.deadline)
	defer cancel()
	resp, err := e.searchOneShard(runCtx, req)
	if err == nil {
		reply := e.answerReply(resp)
		e.journal.Finish(seq, journal.Record{Outcome: status.Done, HTTPStatus: reply.HTTPStatus, Body: reply.Body})
		return reply
	}
	reply := e.errorReply(req.id, err, "")
	if status.From(err).Outcome == status.NotRun {
		e.journal.Release(seq)
		return reply
	}
	e.journal.Finish(seq, journal.Record{Outcome: status.Unknown, HTTPStatus: reply.HTTPStatus, Body: reply.Body})
	return reply
}

// replay returns the recorded outcome of a permit.
func (e *Engine) replay(id ids.Request, record journal.Record) callerhttp.Reply {
	e.metrics.Replays.Add(1)
	if record.Outcome != status.Done {
		err := status.New(status.Unavailable, status.Unknown, "an earlier use of the permit ended with an unknown outcome")
		return e.errorReply(id, err, "")
	}
	var resp callerapi.SearchResponse
	if err := json.Unmarshal(record.Body, &resp); err != nil {
		return e.errorReply(id, status.Wrap(err, status.Internal, status.Unknown, "decode recorded answer"), "")
	}
	resp.Replayed = true
	body, err := json.Marshal(&resp)
	if err != nil {
		return e.errorReply(id, status.Wrap(err, status.Internal, status.Unknown, "encode recorded answer"), "")
	}
	return callerhttp.Reply{HTTPStatus: http.StatusOK, Body: body}
}

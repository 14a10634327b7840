package entry

import (
	"context"
	"encoding/json"
	"github.com/balsamstall/balsamstall/internal/engine"
	"time"

	"github.com/balsamstall/balsamstall/coordination/permit"
	"github.com/balsamstall/balsamstall/protocol/callerapi"
	"github.com/balsamstall/balsamstall/protocol/ids"
	"github.com/balsamstall/balsamstall/protocol/peerpb"
	"github.com/balsamstall/balsamstall/protocol/sheet"
	"github.com/balsamstall/balsamstall/protocol/status"
	"github.com/balsamstall/balsamstall/state/journal"
	"github.com/balsamstall/balsamstall/transport/callerhttp"
)

// Forwarder forwards requests to other entries.
type Forwarder interface {
	// Forward runs a request on another entry. An error has the outcome NotRun if no byte of
	// the call was sent.
	Forward(ctx context.Context, entry string, req *peerpb.ForwardRequest) (*peerpb.ForwardReply, error)
	// Successor returns the entry that holds the journal of a stopped incarnation. ok is false if no
	// handover of the incarnation is known.
	Successor(inc ids.Incarnation) (entry string, ok bool)
}

// forward sends a request to the issuer of its permit, or to the issuer's successor if the issuer
// stopped, because no other entry knows whether the permit ran.
func (e *Engine) forward(ctx context.Context, req *request, claims permit.Claims) callerhttp.Reply {
	holder := claims.Entry
	if successor, ok := e.peers.Successor(claims.Issuer); ok {
		holder = successor
	}
	if holder == e.self.Entry {
		return e.answerInherited(req, claims)
	}
	body, err := json.Marshal(req.search)
	if err != nil {
		return e.errorReply(req.id, status.Wrap(err, status.Internal, status.Unknown, "encode request"), "")
	}
	e.metrics.Forwards.Add(1)
	reply, err := e.peers.Forward(ctx, holder, &peerpb.ForwardRequest{
		Issuer:         claims.Issuer[:],
		RequestId:      req.id.String(),
		Caller:         req.caller.Name,
		Workspace:      req.caller.Workspace,
		Search:         body,
		TimeoutMs:      time.Until(req.deadline).Milliseconds(),
		DeadlineUnixMs: req.deadline.UnixMilli(),
	})
	if err != nil {
		// An earlier request with the permit may have run, so the outcome is unknown even if this
		// call was not sent.
		unreachable := status.Wrap(err, status.IssuerUnreachable, status.Unknown, "entry %s, which holds the outcome of the permit, is unreachable", holder)
		return e.errorReply(req.id, unreachable.WithRetryAfter(engine.DefaultRetryAfter), "")
	}
	return callerhttp.Reply{HTTPStatus: int(reply.HttpStatus), Body: reply.Body, RetryAfter: time.Duration(reply.RetryAfterMs) * time.Millisecond}
}

// HandleForward serves a request that another entry received and forwarded.
func (e *Engine) HandleForward(ctx context.Context, fwd *peerpb.ForwardRequest) (*peerpb.ForwardReply, error) {
	id := e.nextID()
	if !e.inflight.Begin(id.Sequence) {
		err := status.New(status.Draining, status.Unknown, "this entry is stopping").WithRetryAfter(engine.DefaultRetryAfter)
		return forwardReply(e.errorReply(id, err, "")), nil
	}
	defer e.inflight.End(id.Sequence)
	e.core.AwaitVerified(ctx)
	req, err := e.prepareForwarded(id, fwd)
	if err != nil {
		return forwardReply(e.errorReply(id, err, "")), nil
	}
	ctx, cancel := context.WithDeadline(ctx, req.deadline)
	defer cancel()
	claims, err := e.signer.Verify(req.search.Permit, req.permitRequest())
	if err != nil {
		return forwardReply(e.errorReply(id, err, "")), nil
	}
	if claims.Issuer == e.self.Incarnation {
		return forwardReply(e.runPermit(ctx, req, claims)), nil
	}
	return forwardReply(e.answerInherited(req, claims)), nil
}

func forwardReply(r callerhttp.Reply) *peerpb.ForwardReply {
	return &peerpb.ForwardReply{HttpStatus: int32(r.HTTPStatus), Body: r.Body, RetryAfterMs: r.RetryAfter.Milliseconds()}
}

// prepareForwarded validates a forwarded request against this entry's own plan. It does not
// authenticate the caller: the permit is bound to the caller and workspace that the peer names.
func (e *Engine) prepareForwarded(id ids.Request, fwd *peerpb.ForwardRequest) (*request, error) {
	p := e.plan.Load()
	if p == nil {
		return nil, status.New(status.NotReady, status.Unknown, "no sheet and index are in force yet").WithRetryAfter(engine.DefaultRetryAfter)
	}
	var search callerapi.SearchRequest
	if err := json.Unmarshal(fwd.Search, &search); err != nil {
		return nil, status.Wrap(err, status.InvalidArgument, status.Unknown, "the forwarded request is malformed")
	}
	caller := &sheet.Caller{Name: fwd.Caller, Workspace: fwd.Workspace, Services: []string{search.Service}}
	svc, err := p.service(caller, search.Service)
	if err != nil {
		return nil, unknownIfPermit(search, err)
	}
	if svc.Repeat.Rule != sheet.AtMostOnce {
		return nil, status.New(status.InvalidArgument, status.Unknown, "service %s does not accept permits", svc.Name)
	}
	limit := time.Duration(svc.Latency.MaxDeadlineMS) * time.Millisecond
	timeout := min(time.Duration(fwd.TimeoutMs)*time.Millisecond, limit)
	if fwd.DeadlineUnixMs > 0 {
		timeout = min(timeout, time.Until(time.UnixMilli(fwd.DeadlineUnixMs)))
	}
	if timeout <= 0 {
		return nil, status.New(status.DeadlineExceeded, status.Unknown, "the request arrived after its deadline").WithRetryAfter(engine.DefaultRetryAfter)
	}
	return &request{id: id, caller: caller, search: search, service: svc, plan: p, deadline: time.Now().Add(timeout)}, nil
}

// answerInherited answers a request with a permit of a stopped incarnation from the journal that
// the incarnation handed over.
func (e *Engine) answerInherited(req *request, claims permit.Claims) callerhttp.Reply {
	record, finding := e.inherited.Lookup(claims.Issuer, claims.Sequence, claims.Expires(), e.self.Clock())
	switch finding {
	case journal.Found:
		return e.replay(req.id, record)
	case journal.NoRecord:
		err := status.New(status.PermitVoid, status.NotRun, "the issuer stopped without running the permit")
		return e.errorReply(req.id, err, e.issuePermit(req))
	case journal.PermitExpired:
		return e.errorReply(req.id, status.New(status.PermitExpired, status.Unknown, "the permit has expired"), "")
	}
	return e.errorReply(req.id, status.New(status.PermitVoid, status.Unknown, "the incarnation that issued the permit no longer exists"), "")
}

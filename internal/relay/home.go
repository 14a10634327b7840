package relay

import (
	"context"
	"time"

	"github.com/balsamstall/balsamstall/protocol/peerpb"
	"github.com/balsamstall/balsamstall/protocol/relayapi"
	"github.com/balsamstall/balsamstall/protocol/status"
)

const (
	// maxHosted limits the number of concurrent requests that this entry runs for other entries.
	maxHosted = 256
	// hopMargin is subtracted from the time that the caller waits, for the transfer of the answer to
	// the receiver, the entry that received the request from the caller.
	hopMargin = 5 * time.Millisecond
	// maxElapsed limits the elapsed time and the caller's earlier waiting time that a receiver reports.
	maxElapsed = time.Minute
)

// HostedRequest is a request of another entry that this entry has offered to run.
type HostedRequest struct {
	relay *Relay
	plan  *plan
	route *route
	req   *relayapi.Request
}

// Offer checks whether this entry can run a request for another entry: a gathered request, or any request
// of an entry that reaches no target. Nothing is sent to
// a target before Run. If Offer succeeds, the caller must call Run or Drop. Every error has the
// outcome NotRun.
func (r *Relay) Offer(s *peerpb.GatherStart) (*HostedRequest, error) {
	if r.draining.Load() {
		return nil, status.New(status.Draining, status.NotRun, "this entry is stopping")
	}
	if r.cfg.Engine.Detached() {
		return nil, status.New(status.NoReplica, status.NotRun, "this entry reaches no target")
	}
	p := r.plan.Load()
	if p == nil || p.sheet.Revision < s.SheetRevision {
		r.forwarder.catchUp(s.Receiver)
		return nil, status.New(status.VersionUnavailable, status.NotRun, "sheet revision %d is not in force on this entry", s.SheetRevision)
	}
	route := p.findRoute(s.Host, s.Path)
	if route == nil || route.layout == nil && !s.Detour {
		return nil, status.New(status.VersionUnavailable, status.NotRun, "the request matches no service that this entry runs for others in sheet revision %d", p.sheet.Revision)
	}
	if r.hosted.Add(1) > maxHosted {
		r.hosted.Add(-1)
		return nil, status.New(status.Overloaded, status.NotRun, "this entry already runs %d requests for other entries", maxHosted)
	}
	mergeLeaving(r.cfg.Engine, s.Receiver, s.Leaving)
	wait := time.Duration(s.WaitUs) * time.Microsecond
	if wait > 0 {
		wait = max(wait-hopMargin, time.Microsecond)
	}
	elapsed := min(max(time.Duration(s.ElapsedUs)*time.Microsecond, 0), maxElapsed)
	return &HostedRequest{relay: r, plan: p, route: route, req: &relayapi.Request{
		ID:        s.RequestId,
		Host:      s.Host,
		Path:      s.Path,
		Method:    s.Method,
		Target:    s.Target,
		Header:    decodeHeader(s.Header),
		Body:      s.Body,
		Arrival:   time.Now().Add(-elapsed),
		Wait:      wait,
		HopMargin: hopMargin,
		Waited:    min(max(time.Duration(s.WaitedUs)*time.Microsecond, 0), maxElapsed),
	}}, nil
}

// Revision returns the sheet revision under which the request runs.
func (h *HostedRequest) Revision() uint64 { return h.plan.sheet.Revision }

// Drop withdraws an offer that the receiver did not accept.
func (h *HostedRequest) Drop() { h.relay.hosted.Add(-1) }

// Run runs the request and returns the answer for the receiver.
func (h *HostedRequest) Run(ctx context.Context) *peerpb.GatherAnswer {
	defer h.Drop()
	h.relay.cfg.Metrics.Hosted.Add(1)
	ctx, end := h.relay.begin(ctx)
	defer end()
	h.relay.cfg.Engine.AwaitVerified(ctx)
	answer := h.relay.run(ctx, h.req, h.plan, h.route)
	leaving := statedLeaving(h.relay.cfg.Engine, h.route)
	if err := answer.Err; err != nil {
		return &peerpb.GatherAnswer{Error: &peerpb.GatherError{Code: string(err.Code), Outcome: string(err.Outcome),
			Message: err.Message, RetryAfterMs: err.RetryAfter.Milliseconds()}, Leaving: leaving}
	}
	if answer.Reply != nil {
		return &peerpb.GatherAnswer{Service: answer.Service, Passed: encodePassed(answer.Reply), Leaving: leaving}
	}
	return &peerpb.GatherAnswer{
		Service:    answer.Service,
		Signatures: answer.Merged.Signatures,
		Missing:    int32(answer.Merged.Missing),
		Records:    answer.Merged.Records,
		Leaving:    leaving,
	}
}

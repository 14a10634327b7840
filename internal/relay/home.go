package relay

import (
	"context"
	"time"

	"github.com/balsamstall/balsamstall/protocol/peerpb"
	"github.com/balsamstall/balsamstall/protocol/relayapi"
	"github.com/balsamstall/balsamstall/protocol/status"
)

const (
	// maxHosted bounds the requests that this entry runs for others at the same time.
	maxHosted = 256
	// hopMargin is taken off the time that the caller waits, for the way of the answer to
	// the receiver.
	hopMargin = 5 * time.Millisecond
	// maxElapsed bounds the age of a request that a receiver tells.
	maxElapsed = time.Minute
)

// Hosted is a request of another entry that this one has offered to run.
type Hosted struct {
	relay *Relay
	plan  *plan
	route *route
	req   *relayapi.Request
}

// Offer checks whether this entry runs a gathered request for another one. Nothing is
// sent to a target until Run. The caller must call Run or Drop after an offer. Every
// error has the outcome NotRun.
func (r *Relay) Offer(s *peerpb.GatherStart) (*Hosted, error) {
	if r.stopping.Load() {
		return nil, status.New(status.Draining, status.NotRun, "this entry is stopping")
	}
	p := r.plan.Load()
	if p == nil || p.sheet.Revision < s.SheetRevision {
		r.forwarder.catchUp(s.Receiver)
		return nil, status.New(status.VersionUnavailable, status.NotRun, "revision %d of the sheet is not in force here", s.SheetRevision)
	}
	route := p.find(s.Host, s.Path)
	if route == nil || route.layout == nil {
		return nil, status.New(status.VersionUnavailable, status.NotRun, "the request is not gathered under revision %d of the sheet", p.sheet.Revision)
	}
	if r.hosted.Add(1) > maxHosted {
		r.hosted.Add(-1)
		return nil, status.New(status.Overloaded, status.NotRun, "this entry runs %d requests of others", maxHosted)
	}
	learnLeaving(r.cfg.Core, s.Receiver, s.Leaving)
	wait := time.Duration(s.WaitUs) * time.Microsecond
	if wait > 0 {
		wait = max(wait-hopMargin, time.Microsecond)
	}
	elapsed := min(max(time.Duration(s.ElapsedUs)*time.Microsecond, 0), maxElapsed)
	return &Hosted{relay: r, plan: p, route: route, req: &relayapi.Request{
		ID:        s.RequestId,
		Host:      s.Host,
		Path:      s.Path,
		Method:    s.Method,
		Target:    s.Target,
		Header:    headerOf(s.Header),
		Body:      s.Body,
		Arrival:   time.Now().Add(-elapsed),
		Wait:      wait,
		HopMargin: hopMargin,
		Waited:    min(max(time.Duration(s.WaitedUs)*time.Microsecond, 0), maxElapsed),
	}}, nil
}

// Revision returns the revision of the sheet under which the request is run.
func (h *Hosted) Revision() uint64 { return h.plan.sheet.Revision }

// Drop ends an offer that the receiver did not take.
func (h *Hosted) Drop() { h.relay.hosted.Add(-1) }

// Run runs the request and returns the answer for the receiver.
func (h *Hosted) Run(ctx context.Context) *peerpb.GatherAnswer {
	defer h.Drop()
	h.relay.cfg.Metrics.Hosted.Add(1)
	ctx, end := h.relay.begin(ctx)
	defer end()
	h.relay.cfg.Core.AwaitVerified(ctx)
	answer := h.relay.run(ctx, h.req, h.plan, h.route)
	told := statedLeaving(h.relay.cfg.Core, h.route)
	if err := answer.Err; err != nil {
		return &peerpb.GatherAnswer{Error: &peerpb.GatherError{Code: string(err.Code), Outcome: string(err.Outcome),
			Message: err.Message, RetryAfterMs: err.RetryAfter.Milliseconds()}, Leaving: told}
	}
	return &peerpb.GatherAnswer{
		Service:    answer.Service,
		Signatures: answer.Merged.Signatures,
		Missing:    int32(answer.Merged.Missing),
		Records:    answer.Merged.Records,
		Leaving:    told,
	}
}

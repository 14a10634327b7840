package relay

import (
	"context"
	"time"

	"github.com/balsamstall/balsamstall/coordination/detour"
	"github.com/balsamstall/balsamstall/coordination/homes"
	"github.com/balsamstall/balsamstall/internal/engine"
	"github.com/balsamstall/balsamstall/protocol/peerpb"
	"github.com/balsamstall/balsamstall/protocol/relayapi"
	"github.com/balsamstall/balsamstall/protocol/status"
)

const (
	// detourOfferTimeout is the time within which a peer must offer to run a request of an entry that
	// reaches no target. It covers the handshake of a new connection to the peer.
	detourOfferTimeout = 50 * time.Millisecond
	// maxDetourOffers is the number of peers to which such a request is offered.
	maxDetourOffers = 3
)

// detour runs a request on a peer because this entry reaches no target. It returns nil if no peer has
// accepted the request. The request has not run then.
func (r *Relay) detour(ctx context.Context, req *relayapi.Request, p *plan, route *route) *relayapi.Answer {
	if r.cfg.Homes == nil {
		return nil
	}
	engineReq := newEngineRequest(req, p, route)
	ctx, cancel := context.WithDeadline(ctx, engineReq.Deadline)
	defer cancel()
	return r.forwarder.detour(ctx, req, p, route, engineReq)
}

// mayDetour reports whether a peer may serve a request that this entry has failed to serve.
func mayDetour(a *relayapi.Answer) bool {
	if a.Err == nil || a.Err.Outcome != status.NotRun {
		return false
	}
	switch a.Err.Code {
	case status.ConnectionFailed, status.NoReplica, status.Overloaded:
		return true
	}
	return false
}

func (f *forwarder) detour(ctx context.Context, req *relayapi.Request, p *plan, route *route, engineReq *engine.Request) *relayapi.Answer {
	o := offering{req: req, engineReq: engineReq, start: f.gatherStart(req, p, route), timeout: detourOfferTimeout, message: detourMessage}
	o.start.Detour = true
	return f.offer(ctx, &o, f.detourOrder(route.layout != nil))
}

// addRunning changes the number of requests that another entry runs for this one.
func (f *forwarder) addRunning(peer string, change int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.running[peer] += change; f.running[peer] == 0 {
		delete(f.running, peer)
	}
}

// detourOrder returns the peers to which a request is offered, in order. A gathered request is offered
// to homes first, which have connections to all shards.
func (f *forwarder) detourOrder(gathered bool) []homes.Entry {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.self.Clock()
	var order []homes.Entry
	if gathered && f.assignment.Active() {
		order = f.assignment.OfferOrder(globalRand{}, maxOffers, func(id string) bool { return f.backoff.Avoid(now, id) })
	}
	var peers []detour.Peer
	for _, p := range f.peers {
		p.Running = f.running[p.ID]
		if !f.backoff.Avoid(now, p.ID) {
			peers = append(peers, p)
		}
	}
	for _, p := range detour.Order(globalRand{}, peers, maxDetourOffers-len(order)) {
		order = append(order, homes.Entry{ID: p.ID, Address: p.Address})
	}
	return order
}

// encodePassed and decodePassed convert the reply of one target for the transfer between entries.
func encodePassed(reply *relayapi.Reply) *peerpb.PassedReply {
	return &peerpb.PassedReply{HttpStatus: int32(reply.HTTPStatus), Header: encodeHeader(reply.Header), Body: reply.Body, Signature: reply.Signature}
}

func decodePassed(reply *peerpb.PassedReply) *relayapi.Reply {
	return &relayapi.Reply{HTTPStatus: int(reply.HttpStatus), Header: decodeHeader(reply.Header), Body: reply.Body, Signature: reply.Signature}
}

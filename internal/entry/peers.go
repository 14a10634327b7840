package entry

import (
	"context"
	"net"
	"strings"

	"github.com/balsamstall/balsamstall/internal/configsync"
	"github.com/balsamstall/balsamstall/internal/targetrate"
	"github.com/balsamstall/balsamstall/protocol/ids"
	"github.com/balsamstall/balsamstall/protocol/peerpb"
	"github.com/balsamstall/balsamstall/protocol/status"
	"github.com/balsamstall/balsamstall/transport/peerrpc"
)

// peerServer runs the server for peers as a kratos transport.
type peerServer struct {
	server   *peerrpc.Server
	listener net.Listener
	cancel   context.CancelFunc
}

// Start implements transport.Server of kratos.
func (p *peerServer) Start(ctx context.Context) error {
	ctx, p.cancel = context.WithCancel(ctx)
	return p.server.Serve(ctx, p.listener)
}

// Stop implements transport.Server of kratos.
func (p *peerServer) Stop(context.Context) error {
	if p.cancel != nil {
		p.cancel()
	}
	return nil
}

// peerNames returns the names of the other entries that are alive or listed, except draining ones
// and those known only by their address. It includes listed entries so that an entry that has just
// started divides the targets in the same way as the others.
func peerNames(s *configsync.Syncer) []string {
	var peers []string
	for _, m := range s.Members() {
		if (m.Alive || m.Listed) && !m.Draining && !strings.HasPrefix(m.Entry, seedPrefix) {
			peers = append(peers, m.Entry)
		}
	}
	return peers
}

// peerHandler handles the calls of other entries.
type peerHandler struct {
	peerpb.DRPCPeerUnimplementedServer
	engine *Engine
	syncer *configsync.Syncer
	// rateLimits allocates the rate limits of targets.
	rateLimits *targetrate.Limiter
}

func (h *peerHandler) Forward(ctx context.Context, in *peerpb.ForwardRequest) (*peerpb.ForwardReply, error) {
	return h.engine.HandleForward(ctx, in)
}

func (h *peerHandler) Exchange(ctx context.Context, in *peerpb.ExchangeRequest) (*peerpb.ExchangeReply, error) {
	return h.syncer.HandleExchange(ctx, in)
}

func (h *peerHandler) Tokens(_ context.Context, in *peerpb.TokensRequest) (*peerpb.TokensReply, error) {
	return h.rateLimits.HandleRequest(in), nil
}

// Reached returns targets that have recently replied to this entry.
func (h *peerHandler) Reached(context.Context, *peerpb.ReachedRequest) (*peerpb.ReachedReply, error) {
	return &peerpb.ReachedReply{Targets: h.engine.core.RecentlyReached()}, nil
}

func (h *peerHandler) Fetch(ctx context.Context, in *peerpb.FetchRequest) (*peerpb.FetchReply, error) {
	return h.syncer.HandleFetch(ctx, in)
}

func (h *peerHandler) Handover(ctx context.Context, in *peerpb.HandoverRequest) (*peerpb.HandoverReply, error) {
	return h.engine.HandleHandover(ctx, in)
}

// Forward implements Forwarder.
func (d *Daemon) Forward(ctx context.Context, entry string, req *peerpb.ForwardRequest) (*peerpb.ForwardReply, error) {
	address, ok := d.peerAddress(entry)
	if !ok {
		return nil, status.New(status.NotFound, status.NotRun, "unknown entry %s", entry)
	}
	return d.pool.Forward(ctx, address, req)
}

// Successor implements Forwarder.
func (d *Daemon) Successor(inc ids.Incarnation) (string, bool) { return d.facts.successor(inc) }

func (d *Daemon) peerAddress(entry string) (string, bool) {
	for _, m := range d.syncer.Members() {
		if m.Entry == entry {
			return m.Address, true
		}
	}
	for _, p := range d.settings.Peers {
		if p.ID == entry {
			return p.Address, true
		}
	}
	return "", false
}

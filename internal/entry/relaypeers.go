package entry

import (
	"context"
	"time"

	"github.com/balsamstall/balsamstall/internal/configsync"
	"github.com/balsamstall/balsamstall/internal/relay"
	"github.com/balsamstall/balsamstall/internal/targetrate"
	"github.com/balsamstall/balsamstall/protocol/peerpb"
	"github.com/balsamstall/balsamstall/protocol/status"
	"github.com/balsamstall/balsamstall/state/bytebudget"
)

// goAheadTimeout limits the wait for the receiver's go-ahead. A receiver that has not sent it by
// then has given up this home or has failed.
const goAheadTimeout = time.Second

// relayPeerHandler handles the calls of other entries to a RelayDaemon.
type relayPeerHandler struct {
	peerpb.DRPCPeerUnimplementedServer
	syncer *configsync.Syncer
	relay  *relay.Relay
	// rateLimits allocates the rate limits of targets.
	rateLimits *targetrate.Limiter
	// budget counts the requests that run for other entries.
	budget *bytebudget.Budget
}

func (h *relayPeerHandler) Exchange(ctx context.Context, in *peerpb.ExchangeRequest) (*peerpb.ExchangeReply, error) {
	return h.syncer.HandleExchange(ctx, in)
}

func (h *relayPeerHandler) Tokens(_ context.Context, in *peerpb.TokensRequest) (*peerpb.TokensReply, error) {
	return h.rateLimits.HandleRequest(in), nil
}

// Reached returns targets that have recently replied to this entry.
func (h *relayPeerHandler) Reached(context.Context, *peerpb.ReachedRequest) (*peerpb.ReachedReply, error) {
	return &peerpb.ReachedReply{Targets: h.relay.RecentlyReached()}, nil
}

func (h *relayPeerHandler) Fetch(ctx context.Context, in *peerpb.FetchRequest) (*peerpb.FetchReply, error) {
	return h.syncer.HandleFetch(ctx, in)
}

// Gather runs a request on this entry, which is its home, for the entry that received it.
func (h *relayPeerHandler) Gather(stream peerpb.DRPCPeer_GatherStream) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	if first.Start == nil {
		return status.New(status.InvalidArgument, status.NotRun, "the first message is not a start message")
	}
	held := h.budget.Hold(bytebudget.Hosted)
	defer held.Close()
	held.SetSize(int64(len(first.Start.Body)))
	// The body counts twice, as received and as sent to a target.
	if !held.Acquire(2 * int64(len(first.Start.Body))) {
		return status.New(status.Overloaded, status.NotRun, "this entry holds too many bytes")
	}
	hosted, err := h.relay.Offer(first.Start)
	if err != nil {
		return err
	}
	if err := awaitGoAhead(stream, hosted.Revision()); err != nil {
		hosted.Drop()
		return err
	}
	return stream.Send(&peerpb.GatherReply{Answer: hosted.Run(stream.Context())})
}

// awaitGoAhead offers to run a request and waits for the receiver's go-ahead.
func awaitGoAhead(stream peerpb.DRPCPeer_GatherStream, revision uint64) error {
	if err := stream.Send(&peerpb.GatherReply{Offer: &peerpb.GatherOffer{SheetRevision: revision}}); err != nil {
		return err
	}
	// The error of Close is ignored: the receiver has failed or sees the closed stream itself.
	timeout := time.AfterFunc(goAheadTimeout, func() { _ = stream.Close() })
	defer timeout.Stop()
	next, err := stream.Recv()
	if err != nil {
		return err
	}
	if !next.Go || !timeout.Stop() {
		return status.New(status.InvalidArgument, status.NotRun, "the receiver did not send the go-ahead in time")
	}
	return nil
}

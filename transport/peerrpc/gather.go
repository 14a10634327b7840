package peerrpc

import (
	"context"
	"errors"
	"time"

	"github.com/balsamstall/balsamstall/protocol/peerpb"
	"github.com/balsamstall/balsamstall/protocol/status"
)

// GatherResult is the result of a request that ran on another entry: a home, which runs requests for all
// entries of its zone, or a peer of an entry that reaches no target.
type GatherResult struct {
	Answer *peerpb.GatherAnswer
	// SheetRevision is the revision of the sheet under which the request ran.
	SheetRevision uint64
}

// errOfferTimeout ends a call to a home that did not offer in time to run the request.
var errOfferTimeout = status.New(status.Unavailable, status.NotRun, "the home made no offer in time")

// Gather runs a request on the home at address. The home must offer to run it within
// offerWithin, and runs it once it receives Go. Until Go is sent, the outcome of an error is
// NotRun, because the home sends nothing to a target before it receives Go. offered is called before that
// with the revision of the sheet under which the home will run the request.
func (p *Pool) Gather(ctx context.Context, address string, start *peerpb.GatherStart, offerWithin time.Duration, offered func(sheetRevision uint64)) (*GatherResult, error) {
	message := &peerpb.GatherRequest{Start: start}
	if err := checkSize(message, address); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer context.AfterFunc(p.ctx, func() { cancel(context.Canceled) })()
	offerTimer := time.AfterFunc(offerWithin, func() { cancel(errOfferTimeout) })
	defer offerTimer.Stop()

	conn, release, err := p.acquire(ctx, address)
	if err != nil {
		return nil, notRunError(ctx, err)
	}
	defer release()
	stream, err := peerpb.NewDRPCPeerClient(conn).Gather(ctx)
	if err != nil {
		return nil, notRunError(ctx, p.handleError(ctx, address, conn, err))
	}
	revision, err := awaitOffer(stream, message)
	if err != nil || !offerTimer.Stop() {
		if err == nil {
			err = errOfferTimeout
		}
		if errors.Is(context.Cause(ctx), errOfferTimeout) {
			// The idle connections may be silent for the same reason.
			p.closeIdle(address)
		}
		return nil, notRunError(ctx, p.handleError(ctx, address, conn, err))
	}
	offered(revision)
	answer, err := awaitAnswer(stream)
	if err != nil {
		return nil, p.handleError(ctx, address, conn, err)
	}
	// The peer has ended the call too. If the connection is broken, the next call on it fails.
	_ = stream.Close()
	p.idle.Put(address, conn)
	return &GatherResult{Answer: answer, SheetRevision: revision}, nil
}

// awaitOffer sends the request and returns the sheet revision under which the home offers to
// run it.
func awaitOffer(stream peerpb.DRPCPeer_GatherClient, message *peerpb.GatherRequest) (uint64, error) {
	if err := stream.Send(message); err != nil {
		return 0, err
	}
	reply, err := stream.Recv()
	if err != nil {
		return 0, err
	}
	if reply.Offer == nil {
		return 0, status.New(status.Internal, status.NotRun, "the home sent no offer")
	}
	return reply.Offer.SheetRevision, nil
}

// awaitAnswer sends Go to the home and returns its answer.
func awaitAnswer(stream peerpb.DRPCPeer_GatherClient) (*peerpb.GatherAnswer, error) {
	if err := stream.Send(&peerpb.GatherRequest{Go: true}); err != nil {
		return nil, err
	}
	reply, err := stream.Recv()
	if err != nil {
		return nil, err
	}
	if reply.Answer == nil {
		return nil, status.New(status.Internal, status.Unknown, "the home sent no answer")
	}
	return reply.Answer, nil
}

// notRunError returns the error of a call that failed before Go was sent.
func notRunError(ctx context.Context, err error) *status.Error {
	if errors.Is(context.Cause(ctx), errOfferTimeout) {
		return errOfferTimeout
	}
	e := *status.From(err)
	e.Outcome = status.NotRun
	return &e
}

package peerrpc

import (
	"context"
	"testing"
	"time"

	"github.com/balsamstall/balsamstall/protocol/peerpb"
	"github.com/balsamstall/balsamstall/protocol/status"
	"github.com/matryer/is"
)

// offerTimeout bounds the wait for an offer in tests that expect one.
const offerTimeout = 20 * time.Second

// fakeHome is a home that runs requests and reports them on its channels.
type fakeHome struct {
	peerpb.DRPCPeerUnimplementedServer
	// refuse, if set, is returned in place of an offer.
	refuse error
	// offerGate, if set, delays the offer until it is closed.
	offerGate chan struct{}
	// blockAnswer delays the answer until the call ends.
	blockAnswer bool
	// started receives a value for each request that runs.
	started chan struct{}
	// ended receives the result of each call.
	ended chan error
}

func newFakeHome() *fakeHome {
	return &fakeHome{started: make(chan struct{}, 64), ended: make(chan error, 64)}
}

func (h *fakeHome) Gather(stream peerpb.DRPCPeer_GatherStream) error {
	err := h.gather(stream)
	h.ended <- err
	return err
}

func (h *fakeHome) gather(stream peerpb.DRPCPeer_GatherStream) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	if h.offerGate != nil {
		<-h.offerGate
	}
	if h.refuse != nil {
		return h.refuse
	}
	if err := stream.Send(&peerpb.GatherReply{Offer: &peerpb.GatherOffer{SheetRevision: 7}}); err != nil {
		return err
	}
	if next, err := stream.Recv(); err != nil || !next.Go {
		return err
	}
	h.started <- struct{}{}
	if h.blockAnswer {
		<-stream.Context().Done()
		return stream.Context().Err()
	}
	return stream.Send(&peerpb.GatherReply{Answer: &peerpb.GatherAnswer{Records: first.Start.Body}})
}

// closeIdleConnections closes the idle connections of a pool to address and returns their number.
func closeIdleConnections(p *Pool, address string) int {
	n := 0
	for {
		conn, ok := p.idle.Take(address)
		if !ok {
			return n
		}
		conn.Close()
		n++
	}
}

// Guards against returning the answer of one request to another that reuses its connection.
func TestGatherReturnsAnswerOfItsRequest(t *testing.T) {
	is := is.New(t)
	h := newFakeHome()
	address := startPeer(t, h)
	pool := NewPool(testKey, Options{})
	defer pool.Close()
	for _, body := range []string{"a", "b", "c"} {
		var offered uint64
		g, err := pool.Gather(context.Background(), address, &peerpb.GatherStart{Body: []byte(body)}, offerTimeout, func(revision uint64) { offered = revision })
		is.NoErr(err)
		is.Equal(string(g.Answer.Records), body)
		is.Equal(g.SheetRevision, uint64(7))
		is.Equal(offered, uint64(7))
	}
	is.Equal(closeIdleConnections(pool, address), 1) // One connection served all requests.
}

// Guards against reporting that a request may have run although its home refused it.
func TestGatherRefusalIsNotRun(t *testing.T) {
	is := is.New(t)
	h := newFakeHome()
	h.refuse = status.New(status.Draining, status.NotRun, "stopping")
	address := startPeer(t, h)
	pool := NewPool(testKey, Options{})
	defer pool.Close()
	_, err := pool.Gather(context.Background(), address, &peerpb.GatherStart{}, offerTimeout, func(uint64) {})
	is.Equal(status.CodeOf(err), status.Draining)
	is.Equal(status.From(err).Outcome, status.NotRun)
	is.Equal(closeIdleConnections(pool, address), 1) // The connection remains usable.
}

// Guards against running a request twice when its home is paused: after it resumes, the home
// entry must not run a request that the sender has already sent elsewhere.
func TestHomeDoesNotRunAfterOfferTimeout(t *testing.T) {
	is := is.New(t)
	h := newFakeHome()
	h.offerGate = make(chan struct{})
	address := startPeer(t, h)
	pool := NewPool(testKey, Options{})
	defer pool.Close()
	_, err := pool.Gather(context.Background(), address, &peerpb.GatherStart{}, 20*time.Millisecond, func(uint64) {})
	is.Equal(status.From(err).Outcome, status.NotRun)
	is.Equal(status.CodeOf(err), status.Unavailable)
	close(h.offerGate)
	is.True(<-h.ended != nil)
	is.Equal(len(h.started), 0)
}

// Guards against reporting NotRun for a request whose home failed while running it.
func TestHomeFailureAfterGoHasUnknownOutcome(t *testing.T) {
	is := is.New(t)
	h := newFakeHome()
	h.blockAnswer = true
	address, stop := startPeerUntil(t, h)
	pool := NewPool(testKey, Options{})
	defer pool.Close()
	go func() {
		<-h.started
		stop()
	}()
	_, err := pool.Gather(context.Background(), address, &peerpb.GatherStart{}, offerTimeout, func(uint64) {})
	is.Equal(status.From(err).Outcome, status.Unknown)
}

// Guards against a home that continues a request after the caller has canceled it.
func TestCanceledGatherStopsHome(t *testing.T) {
	is := is.New(t)
	h := newFakeHome()
	h.blockAnswer = true
	address := startPeer(t, h)
	pool := NewPool(testKey, Options{})
	defer pool.Close()
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-h.started
		cancel()
	}()
	_, err := pool.Gather(ctx, address, &peerpb.GatherStart{}, offerTimeout, func(uint64) {})
	is.Equal(status.CodeOf(err), status.Canceled)
	is.True(<-h.ended != nil)
}

// Guards against waiting for the offer of a home that refuses connections.
func TestUnreachableHomeFailsAtOnce(t *testing.T) {
	is := is.New(t)
	address, stop := startPeerUntil(t, newFakeHome())
	stop()
	pool := NewPool(testKey, Options{})
	defer pool.Close()
	_, err := pool.Gather(context.Background(), address, &peerpb.GatherStart{}, offerTimeout, func(uint64) {})
	is.Equal(status.CodeOf(err), status.ConnectionFailed)
	is.Equal(status.From(err).Outcome, status.NotRun)
}

package peerrpc

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/balsamstall/balsamstall/protocol/peerpb"
	"github.com/balsamstall/balsamstall/protocol/status"
	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"go.uber.org/goleak"
)

var testKey = []byte("0123456789abcdef0123456789abcdef")

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// handler replies to Forward once release is closed.
type handler struct {
	peerpb.DRPCPeerUnimplementedServer
	entered chan struct{}
	release chan struct{}
}

func (h *handler) Forward(ctx context.Context, in *peerpb.ForwardRequest) (*peerpb.ForwardReply, error) {
	h.entered <- struct{}{}
	select {
	case <-h.release:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	return &peerpb.ForwardReply{HttpStatus: 200, Body: in.Search}, nil
}

func (h *handler) Fetch(context.Context, *peerpb.FetchRequest) (*peerpb.FetchReply, error) {
	return nil, status.New(status.NotReady, "", "no document").WithRetryAfter(time.Second)
}

// startHandler serves h on loopback and returns the address. The test waits for the server to end.
func startHandler(t *testing.T, h *handler) string { return startPeer(t, h) }

// startPeer serves h until the test ends and returns the address.
func startPeer(t *testing.T, h peerpb.DRPCPeerServer) string {
	address, _ := startPeerUntil(t, h)
	return address
}

// startPeerUntil serves h until stop is called, which waits for the server to end.
func startPeerUntil(t *testing.T, h peerpb.DRPCPeerServer) (address string, stop func()) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() { done <- NewServer(testKey, h, zerolog.Nop()).Serve(ctx, listener) }()
	stop = sync.OnceFunc(func() {
		cancel()
		is.New(t).NoErr(<-done)
	})
	t.Cleanup(stop)
	return listener.Addr().String(), stop
}

func newHandler() *handler {
	return &handler{entered: make(chan struct{}, 64), release: make(chan struct{})}
}

// Guards against calls to one peer that wait for each other because a drpc connection runs one
// call at a time, and against mixed-up replies.
func TestConcurrentCallsToOnePeer(t *testing.T) {
	is := is.New(t)
	h := newHandler()
	address := startHandler(t, h)
	pool := NewPool(testKey, Options{})
	defer pool.Close()
	const calls = 8
	var wg sync.WaitGroup
	replies := make([]*peerpb.ForwardReply, calls)
	errs := make([]error, calls)
	for i := range calls {
		wg.Go(func() {
			replies[i], errs[i] = pool.Forward(context.Background(), address, &peerpb.ForwardRequest{Search: []byte{byte(i)}})
		})
	}
	for range calls {
		<-h.entered // All calls run at once.
	}
	close(h.release)
	wg.Wait()
	for i := range calls {
		is.NoErr(errs[i])
		is.Equal(replies[i].Body, []byte{byte(i)})
	}
}

// Guards against serving an entry that has another key, and against reporting the refusal as if
// the call might have run.
func TestWrongKeyIsRefusedAndNotRun(t *testing.T) {
	is := is.New(t)
	h := newHandler()
	address := startHandler(t, h)
	pool := NewPool([]byte("another key of at least 32 bytes"), Options{})
	defer pool.Close()
	_, err := pool.Forward(context.Background(), address, &peerpb.ForwardRequest{})
	is.Equal(status.From(err).Code, status.Unauthenticated)
	is.Equal(status.From(err).Outcome, status.NotRun)
	is.Equal(len(h.entered), 0)
}

// Guards against serving a client that does not have the key and ignores the server's proof.
func TestServerRefusesWrongClientProof(t *testing.T) {
	is := is.New(t)
	client, server := net.Pipe()
	defer client.Close()
	result := make(chan error, 1)
	deadline := time.Now().Add(time.Minute)
	go func() {
		result <- serverHandshake(server, testKey, deadline)
		server.Close()
	}()
	_, err := client.Write(append([]byte(handshakeMagic), make([]byte, nonceSize)...))
	is.NoErr(err)
	reply := make([]byte, nonceSize+32)
	_, err = client.Read(reply)
	is.NoErr(err)
	_, err = client.Write(reply[nonceSize:]) // The server's own proof, reflected.
	is.NoErr(err)
	is.Equal(status.CodeOf(<-result), status.Unauthenticated)
}

// Guards against reporting that a call may have run although the dial failed.
func TestFailedDialIsNotRun(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := listener.Addr().String()
	listener.Close()
	pool := NewPool(testKey, Options{})
	defer pool.Close()
	_, err = pool.Forward(context.Background(), address, &peerpb.ForwardRequest{})
	is.Equal(status.From(err).Code, status.ConnectionFailed)
	is.Equal(status.From(err).Outcome, status.NotRun)
}

// Guards against reusing a silent connection or another idle one that is probably silent too, and
// against reporting NotRun for a call that was sent.
func TestSilentConnectionIsClosedAtTheDeadline(t *testing.T) {
	is := is.New(t)
	h := newHandler()
	address := startHandler(t, h)
	pool := NewPool(testKey, Options{})
	defer pool.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	spare, err := pool.connect(ctx, address)
	is.NoErr(err)
	pool.idle.Put(address, spare)
	used, err := pool.connect(ctx, address) // Takes the idle one.
	is.NoErr(err)
	is.Equal(used, spare)
	other, err := pool.connect(ctx, address)
	is.NoErr(err)
	pool.idle.Put(address, spare)
	pool.idle.Put(address, other)
	shortCtx, cancelShort := context.WithTimeout(ctx, 50*time.Millisecond)
	defer cancelShort()
	_, err = pool.Forward(shortCtx, address, &peerpb.ForwardRequest{})
	is.Equal(status.From(err).Code, status.DeadlineExceeded)
	is.Equal(status.From(err).Outcome, status.Unknown)
	<-spare.Closed()
	<-other.Closed()
	close(h.release)
	_, err = pool.Forward(ctx, address, &peerpb.ForwardRequest{})
	is.NoErr(err)
}

// Guards against losing the code and the retry delay of an error that the peer returned, and
// against closing the connection after such an error.
func TestPeerErrorKeepsCode(t *testing.T) {
	is := is.New(t)
	address := startHandler(t, newHandler())
	pool := NewPool(testKey, Options{})
	defer pool.Close()
	_, err := pool.Fetch(context.Background(), address, &peerpb.FetchRequest{Key: "sheet"})
	is.Equal(status.From(err).Code, status.NotReady)
	is.Equal(status.From(err).RetryAfter, time.Second)
	conn, kept := pool.idle.Take(address)
	is.True(kept)
	conn.Close()
}

// Guards against sending messages above the size limit.
func TestTooLargeMessageIsNotSent(t *testing.T) {
	is := is.New(t)
	pool := NewPool(testKey, Options{})
	defer pool.Close()
	_, err := pool.Forward(context.Background(), "127.0.0.1:1", &peerpb.ForwardRequest{Search: make([]byte, MaxMessageBytes+1)})
	is.Equal(status.From(err).Code, status.TooLarge)
	is.Equal(status.From(err).Outcome, status.NotRun)
}

package peerrpc

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/balsamstall/balsamstall/protocol/peerpb"
	"github.com/balsamstall/balsamstall/protocol/status"
	"google.golang.org/protobuf/proto"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcpool"
)

// Defaults of Options, and the limit of idle connections to all addresses together.
const (
	DefaultDialTimeout     = time.Second
	DefaultCallTimeout     = 10 * time.Second
	DefaultIdleTimeout     = time.Minute
	DefaultIdlePerAddress  = 4
	DefaultCallsPerAddress = 32
	maxIdleConnections     = 512
)

// Options are the settings of a Pool. Zero values select the defaults.
type Options struct {
	// DialTimeout bounds the dial and the handshake together. The default is 1 s.
	DialTimeout time.Duration
	// CallTimeout bounds a call whose context has no deadline. The default is 10 s.
	CallTimeout time.Duration
	// IdleTimeout is the time after which an idle connection is closed. The default is 1 min.
	IdleTimeout time.Duration
	// IdlePerAddress bounds the idle connections to one address. The default is 4.
	IdlePerAddress int
	// CallsPerAddress bounds the concurrent calls, and so the connections in use, to one
	// address. Further calls wait. The default is 32.
	CallsPerAddress int
}

func (o Options) withDefaults() Options {
	if o.DialTimeout <= 0 {
		o.DialTimeout = DefaultDialTimeout
	}
	if o.CallTimeout <= 0 {
		o.CallTimeout = DefaultCallTimeout
	}
	if o.IdleTimeout <= 0 {
		o.IdleTimeout = DefaultIdleTimeout
	}
	if o.IdlePerAddress <= 0 {
		o.IdlePerAddress = DefaultIdlePerAddress
	}
	if o.CallsPerAddress <= 0 {
		o.CallsPerAddress = DefaultCallsPerAddress
	}
	return o
}

// Pool calls peers over pooled connections. It is safe for concurrent use.
type Pool struct {
	key  []byte
	opts Options
	idle *drpcpool.Pool[string, *drpcconn.Conn]
	// ctx ends when the pool is closed.
	ctx    context.Context
	cancel context.CancelFunc

	// mu guards limiters and closed.
	mu       sync.Mutex
	limiters map[string]*callLimiter
	closed   bool
	calls    sync.WaitGroup
}

// callLimiter bounds the concurrent calls to one address. It exists while calls refer to it.
type callLimiter struct {
	slots chan struct{}
	refs  int
}

// NewPool returns a pool that authenticates its connections with key, the secret shared by all
// entries.
func NewPool(key []byte, opts Options) *Pool {
	opts = opts.withDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	return &Pool{
		key:  key,
		opts: opts,
		idle: drpcpool.New[string, *drpcconn.Conn](drpcpool.Options{
			Expiration:  opts.IdleTimeout,
			Capacity:    maxIdleConnections,
			KeyCapacity: opts.IdlePerAddress,
		}),
		ctx:      ctx,
		cancel:   cancel,
		limiters: make(map[string]*callLimiter),
	}
}

// Close cancels all calls, waits for them and closes all connections. Later calls fail with the
// code Canceled and the outcome NotRun.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.cancel()
	p.calls.Wait()
	// Errors from closing idle connections affect no call.
	_ = p.idle.Close()
}

// Forward runs a request on the entry at address.
func (p *Pool) Forward(ctx context.Context, address string, in *peerpb.ForwardRequest) (*peerpb.ForwardReply, error) {
	return call(ctx, p, address, in, peerpb.DRPCPeerClient.Forward)
}

// Exchange compares digests and exchanges facts with the entry at address.
func (p *Pool) Exchange(ctx context.Context, address string, in *peerpb.ExchangeRequest) (*peerpb.ExchangeReply, error) {
	return call(ctx, p, address, in, peerpb.DRPCPeerClient.Exchange)
}

// Fetch gets a document from the entry at address.
func (p *Pool) Fetch(ctx context.Context, address string, in *peerpb.FetchRequest) (*peerpb.FetchReply, error) {
	return call(ctx, p, address, in, peerpb.DRPCPeerClient.Fetch)
}

// Tokens asks the entry at address for tokens of targets with a rate limit.
func (p *Pool) Tokens(ctx context.Context, address string, in *peerpb.TokensRequest) (*peerpb.TokensReply, error) {
	return call(ctx, p, address, in, peerpb.DRPCPeerClient.Tokens)
}

// Reached asks the entry at address for targets that have replied to it recently.
func (p *Pool) Reached(ctx context.Context, address string) (*peerpb.ReachedReply, error) {
	return call(ctx, p, address, &peerpb.ReachedRequest{}, peerpb.DRPCPeerClient.Reached)
}

// Handover hands a part of the journal over to the entry at address.
func (p *Pool) Handover(ctx context.Context, address string, in *peerpb.HandoverRequest) (*peerpb.HandoverReply, error) {
	return call(ctx, p, address, in, peerpb.DRPCPeerClient.Handover)
}

// call runs one unary call on a pooled connection.
func call[In proto.Message, Out any](ctx context.Context, p *Pool, address string, in In,
	method func(peerpb.DRPCPeerClient, context.Context, In) (Out, error)) (Out, error) {
	var zero Out
	if err := checkSize(in, address); err != nil {
		return zero, err
	}
	ctx, cancel := context.WithTimeout(ctx, p.timeout(ctx))
	defer cancel()
	stop := context.AfterFunc(p.ctx, cancel)
	defer stop()

	conn, release, err := p.acquire(ctx, address)
	if err != nil {
		return zero, err
	}
	defer release()
	out, err := method(peerpb.NewDRPCPeerClient(conn), ctx, in)
	if err == nil {
		p.idle.Put(address, conn)
		return out, nil
	}
	return zero, p.handleError(ctx, address, conn, err)
}

// checkSize returns an error for a message that exceeds MaxMessageBytes, which peers reject.
func checkSize(in proto.Message, address string) error {
	if size := proto.Size(in); size > MaxMessageBytes {
		return status.New(status.TooLarge, status.NotRun, "message to peer %s has %d bytes, more than %d", address, size, MaxMessageBytes)
	}
	return nil
}

// acquire returns a connection for one call once fewer than CallsPerAddress calls to the address
// run. The returned function must be called after the call. Every error has the outcome NotRun.
func (p *Pool) acquire(ctx context.Context, address string) (conn *drpcconn.Conn, release func(), err error) {
	limiter, err := p.acquireLimiter(address)
	if err != nil {
		return nil, nil, err
	}
	select {
	case limiter.slots <- struct{}{}:
	case <-ctx.Done():
		p.releaseLimiter(address, limiter)
		return nil, nil, status.New(contextCode(ctx, nil, status.Canceled), status.NotRun, "call to peer %s waited for a connection", address)
	}
	release = func() {
		<-limiter.slots
		p.releaseLimiter(address, limiter)
	}
	conn, err = p.connect(ctx, address)
	if err != nil {
		release()
		return nil, nil, err
	}
	return conn, release, nil
}

// handleError classifies the error of a call. It returns the connection to the pool if the peer
// sent the error, and closes it otherwise.
func (p *Pool) handleError(ctx context.Context, address string, conn *drpcconn.Conn, err error) *status.Error {
	if remote, ok := decodeError(err); ok {
		p.idle.Put(address, conn)
		return remote
	}
	conn.Close()
	failure := callError(ctx, err, address)
	if failure.Code == status.DeadlineExceeded {
		// The idle connections may be silent for the same reason.
		p.closeIdle(address)
	}
	return failure
}

// timeout returns the time left until the deadline of ctx, or else CallTimeout.
func (p *Pool) timeout(ctx context.Context) time.Duration {
	if deadline, ok := ctx.Deadline(); ok {
		return time.Until(deadline)
	}
	return p.opts.CallTimeout
}

// acquireLimiter registers a call and returns the limiter of its address.
func (p *Pool) acquireLimiter(address string) (*callLimiter, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, status.New(status.Canceled, status.NotRun, "peer pool is closed")
	}
	limiter := p.limiters[address]
	if limiter == nil {
		limiter = &callLimiter{slots: make(chan struct{}, p.opts.CallsPerAddress)}
		p.limiters[address] = limiter
	}
	limiter.refs++
	p.calls.Add(1)
	return limiter, nil
}

// releaseLimiter ends a call and removes the limiter of its address after the last one.
func (p *Pool) releaseLimiter(address string, limiter *callLimiter) {
	p.mu.Lock()
	limiter.refs--
	if limiter.refs == 0 {
		delete(p.limiters, address)
	}
	p.mu.Unlock()
	p.calls.Done()
}

// connect returns an idle connection or a new one.
func (p *Pool) connect(ctx context.Context, address string) (*drpcconn.Conn, error) {
	if conn, ok := p.idle.Take(address); ok {
		return conn, nil
	}
	dialCtx, cancel := context.WithTimeout(ctx, p.opts.DialTimeout)
	defer cancel()
	var dialer net.Dialer
	tcpConn, err := dialer.DialContext(dialCtx, "tcp", address)
	if err != nil {
		return nil, status.Wrap(err, contextCode(ctx, nil, status.ConnectionFailed), status.NotRun, "dial peer %s", address)
	}
	deadline, _ := dialCtx.Deadline()
	stop := context.AfterFunc(dialCtx, func() { tcpConn.Close() })
	err = clientHandshake(tcpConn, p.key, deadline)
	if !stop() && err == nil {
		err = handshakeError(context.Cause(dialCtx), "call ended")
	}
	if err != nil {
		tcpConn.Close()
		return nil, err
	}
	return drpcconn.NewWithOptions(writeDeadlineConn{tcpConn}, drpcconn.Options{Manager: managerOptions(0)}), nil
}

// closeIdle closes the idle connections to address.
func (p *Pool) closeIdle(address string) {
	for {
		conn, ok := p.idle.Take(address)
		if !ok {
			return
		}
		conn.Close()
	}
}

// Package targethttp sends attempts to targets over HTTP/1.1.
//
// It has its own connection pool per target and uses net/http only to parse replies. The outcome
// of an attempt depends on whether a byte was written to the connection, and a silent connection,
// on which no data arrives although it is not closed, must be told apart from a slow target. The
// pool of net/http exposes neither.
package targethttp

import (
	"context"

	"errors"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/segmentio/encoding/json"

	"github.com/balsamstall/balsamstall/protocol/requestrate"
	"github.com/balsamstall/balsamstall/protocol/sheet"
	"github.com/balsamstall/balsamstall/protocol/status"
	"github.com/balsamstall/balsamstall/protocol/targetapi"
	"github.com/balsamstall/balsamstall/state/bytebudget"
)

// Limits of one attempt.
const (
	// MaxReplyBytes bounds the body of a reply.
	MaxReplyBytes = 1 << 20
	// MaxHeaderBytes bounds the status line and the header of a reply, and those of each
	// interim reply before it.
	MaxHeaderBytes = 16 << 10
	// DefaultDialTimeout bounds a dial.
	DefaultDialTimeout = time.Second
)

// Options control how one attempt is sent.
type Options struct {
	// FreshConnection sends the attempt on a connection that was never used before.
	FreshConnection bool
	// SilentAfter is the time without a reply after which the connection counts as silent, if a
	// later attempt on another connection to the target has had its reply. Zero disables the
	// check.
	SilentAfter time.Duration
	// MaxBodyBytes bounds the body of the reply. Zero selects MaxReplyBytes.
	MaxBodyBytes int64
	// MaySend is called once the attempt has its connection. If it returns an error, which must
	// have the outcome NotRun, nothing is sent. Nil allows every attempt.
	MaySend func(target string) error
	// OnSearchEnd is called with the result of Search before the connection serves another attempt,
	// so that what the target stated applies to the attempts that wait for it. rateLimit is the rate
	// limit that it stated, nil for none. It may be nil.
	OnSearchEnd func(rateLimit *requestrate.Field, err error)
}

// Client sends attempts to targets. It is safe for concurrent use.
type Client struct {
	dialer dialer

	mu sync.RWMutex
	// pools holds one pool per target id. Guarded by mu.
	pools map[string]*pool

	metrics Metrics
	// budget bounds the memory of the bodies that are being read.
	budget *bytebudget.Budget
	// lateReplies is the number of late replies that are being read.
	lateReplies atomic.Int64
}

// Metrics counts connection events. All methods must be safe for concurrent use.
type Metrics interface {
	// SilentConnection counts a connection that was closed as silent.
	SilentConnection()
	// ReplyMismatch counts a reply that does not match its request.
	ReplyMismatch()
}

// New returns a client without connections.
func New(m Metrics) *Client { return NewWithDialer(m, &net.Dialer{Timeout: DefaultDialTimeout}) }

// NewWithDialer returns a client that opens connections with the dialer.
func NewWithDialer(m Metrics, d *net.Dialer) *Client {
	return &Client{
		dialer:  d,
		pools:   make(map[string]*pool),
		metrics: m,
		budget:  bytebudget.New(bytebudget.MinBytes, nil),
	}
}

// SetBudget makes the bodies of replies count toward a common budget. It must be called before the first
// attempt.
func (c *Client) SetBudget(b *bytebudget.Budget) { c.budget = b }

// Configure sets the known targets and this entry's share of the connections to each. A share of
// zero allows one connection, which is closed after use. Pools of other targets are closed.
func (c *Client) Configure(targets []sheet.Target, share func(sheet.Target) int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	keep := make(map[string]*pool, len(targets))
	for _, t := range targets {
		p := c.pools[t.ID]
		if p == nil || p.address != t.Address {
			p = newPool(t.Address, c.dialer)
		}
		p.setLimit(share(t))
		keep[t.ID] = p
	}
	for id, p := range c.pools {
		if keep[id] != p {
			p.close()
		}
	}
	c.pools = keep
}

// Connections returns the number of open connections to a target.
func (c *Client) Connections(target string) int {
	if p := c.pool(target); p != nil {
		return p.openCount()
	}
	return 0
}

// Close closes every pool.
func (c *Client) Close() { c.Configure(nil, nil) }

// DropIdle closes the idle connections to every target. It is called when the process detects that
// it was paused.
func (c *Client) DropIdle() {
	c.mu.RLock()
	defer c.mu.RUnlock()
	for _, p := range c.pools {
		p.closeIdle(time.Now())
	}
}

// pool returns the pool of a target, or nil if the target is unknown.
func (c *Client) pool(target string) *pool {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.pools[target]
}

// Reachable reports whether a new connection to the target can be opened. It closes the connection
// at once.
func (c *Client) Reachable(ctx context.Context, target string) bool {
	p := c.pool(target)
	if p == nil {
		return false
	}
	nc, err := c.dialer.DialContext(ctx, "tcp", p.address)
	if err != nil {
		return false
	}
	nc.Close()
	return true
}

// Search sends one attempt and returns the target's reply.
//
// Every error is a *status.Error. Its outcome is NotRun if no byte was written or the target
// reported that the attempt did not run, and Unknown otherwise. The context's deadline and
// cancellation end the attempt by closing the connection, which cancels the work on the target.
func (c *Client) Search(ctx context.Context, target string, req *targetapi.SearchRequest, opt Options) (*targetapi.SearchReply, error) {
	p := c.pool(target)
	if p == nil {
		return nil, status.New(status.NoReplica, status.NotRun, "target %s is unknown", target)
	}
	message, err := encode(p.address, req)
	if err != nil {
		return nil, status.Wrap(err, status.Internal, status.NotRun, "encode attempt")
	}
	cn, err := p.acquireForAttempt(ctx, target, opt)
	if err != nil {
		return nil, err
	}
	x := &exchange{client: c, pool: p, conn: cn, target: target, started: time.Now()}
	return x.run(ctx, message, req.Identity, opt)
}

// Status returns the status that a target reports, which may be out of date or wrong. Every error
// is a *status.Error.
func (c *Client) Status(ctx context.Context, target string) (*targetapi.Status, error) {
	p := c.pool(target)
	if p == nil {
		return nil, status.New(status.NoReplica, status.NotRun, "target %s is unknown", target)
	}
	cn, err := p.acquire(ctx, false)
	if err != nil {
		return nil, err
	}
	x := &exchange{client: c, pool: p, conn: cn, target: target, started: time.Now()}
	code, body, err := x.roundTrip(ctx, statusMessage(p.address), 0)
	if err != nil {
		return nil, err
	}
	x.finish()
	var report targetapi.Status
	if code != http.StatusOK || json.Unmarshal(body, &report) != nil {
		return nil, status.New(status.ReplyMismatch, "", "target %s sent no valid status", target)
	}
	return &report, nil
}

// statusMessage returns a status request in wire format.
func statusMessage(address string) []byte {
	return []byte("GET " + targetapi.StatusPath + " HTTP/1.1\r\nHost: " + address + "\r\n\r\n")
}

// encode returns a search request in wire format.
func encode(address string, req *targetapi.SearchRequest) ([]byte, error) {
	body, err := json.Marshal(req)
	if err != nil {
		return nil, err
	}
	message := make([]byte, 0, len(body)+160)
	message = append(message, "POST "+targetapi.SearchPath+" HTTP/1.1\r\nHost: "...)
	message = append(message, address...)
	message = append(message, "\r\nContent-Type: application/json\r\nContent-Length: "...)
	message = strconv.AppendInt(message, int64(len(body)), 10)
	message = append(message, "\r\n\r\n"...)
	return append(message, body...), nil
}

// exchange is one request and its reply on one connection.
type exchange struct {
	client  *Client
	pool    *pool
	conn    *conn
	target  string
	started time.Time
	// maxBodyBytes bounds the body of the reply, zero for MaxReplyBytes.
	maxBodyBytes int64
	// reusable is set if the connection may serve another request.
	reusable bool

	mu sync.Mutex
	// silenceTimer triggers the checks for a silent connection. Guarded by mu.
	silenceTimer *time.Timer
	// silent is set when the connection is found to be silent. Guarded by mu.
	silent bool
	// ended is set when the reply has been read or has failed. Guarded by mu.
	ended bool
}

// run sends an attempt and checks that the reply matches it.
func (x *exchange) run(ctx context.Context, message []byte, identity targetapi.Identity, opt Options) (*targetapi.SearchReply, error) {
	code, body, err := x.roundTrip(ctx, message, opt.SilentAfter)
	if err != nil {
		return nil, err
	}
	reply, rateLimit, err := decodeReply(code, body, identity)
	if status.CodeOf(err) == status.ReplyMismatch {
		x.client.metrics.ReplyMismatch()
		x.reusable = false
	}
	if opt.OnSearchEnd != nil {
		opt.OnSearchEnd(rateLimit, err)
	}
	x.finish()
	return reply, err
}

// roundTrip writes a request and reads its reply. After a reply, the caller must call finish; after
// an error the connection is closed.
func (x *exchange) roundTrip(ctx context.Context, message []byte, silentAfter time.Duration) (code int, body []byte, err error) {
	deadline, _ := ctx.Deadline()
	x.conn.SetDeadline(deadline)
	stop := context.AfterFunc(ctx, x.interrupt)
	x.startSilenceCheck(silentAfter)
	outcome := status.Unknown
	n, err := x.conn.Write(message)
	if err == nil {
		code, body, x.reusable, err = x.readReply()
	} else if n == 0 {
		outcome = status.NotRun
	}
	silent := x.stopSilenceCheck()
	// A cancellation that has already started may still interrupt the connection, which must then
	// not be reused.
	x.reusable = stop() && x.reusable && !silent
	if err != nil {
		x.pool.discard(x.conn)
		return 0, nil, x.ioError(ctx, err, outcome)
	}
	return code, body, nil
}

// finish returns the connection to the pool, or closes it if it is not reusable.
func (x *exchange) finish() {
	if !x.reusable {
		x.pool.discard(x.conn)
		return
	}
	// An expired deadline would make the idle connection look closed.
	x.conn.SetDeadline(time.Time{})
	x.conn.lastReply = time.Now()
	x.pool.recordReply(x.started)
	x.pool.release(x.conn)
}

// interrupt makes pending reads and writes return at once.
func (x *exchange) interrupt() { x.conn.SetDeadline(time.Unix(1, 0)) }

// readReply reads the reply and reports whether the connection may be reused.
func (x *exchange) readReply() (code int, body []byte, reusable bool, err error) {
	x.conn.setReadLimit(MaxHeaderBytes)
	resp, err := http.ReadResponse(x.conn.reader, nil)
	if err != nil {
		return 0, nil, false, err
	}
	defer resp.Body.Close()
	body, err = x.readAll(resp, MaxReplyBytes)
	if err != nil {
		return 0, nil, false, err
	}
	return resp.StatusCode, body, !resp.Close, nil
}

// readAll reads a body of at most limit bytes.
func (x *exchange) readAll(resp *http.Response, limit int64) ([]byte, error) {
	if resp.ContentLength > limit {
		return nil, status.New(status.TooLarge, status.Unknown, "reply of %d bytes is too large", resp.ContentLength)
	}
	x.conn.setReadLimit(limit)
	return readReplyBody(x.client.budget, resp.Body, resp.ContentLength)
}

// ioError classifies the error of a read or write.
func (x *exchange) ioError(ctx context.Context, err error, outcome status.Outcome) error {
	x.mu.Lock()
	silent := x.silent
	x.mu.Unlock()
	switch {
	case silent:
		return status.Wrap(err, status.ConnectionSilent, outcome, "connection to target %s is silent", x.target)
	case ctx.Err() != nil:
		return contextError(ctx, outcome, "attempt at target "+x.target)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return status.Wrap(err, status.DeadlineExceeded, outcome, "attempt at target %s", x.target)
	}
	var known *status.Error
	if errors.As(err, &known) {
		return known
	}
	return status.Wrap(err, status.ConnectionFailed, outcome, "attempt at target %s", x.target)
}

// contextError returns the error of an operation whose context has ended.
func contextError(ctx context.Context, outcome status.Outcome, what string) error {
	code := status.Canceled
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		code = status.DeadlineExceeded
	}
	return status.Wrap(context.Cause(ctx), code, outcome, "%s", what)
}

// decodeReply checks a reply against the identity of the attempt. It also returns the rate limit that
// the target stated, unless the reply is not the target's own.
func decodeReply(code int, body []byte, identity targetapi.Identity) (*targetapi.SearchReply, *requestrate.Field, error) {
	if code != http.StatusOK {
		rateLimit, err := decodeRefusal(code, body, identity)
		return nil, rateLimit, err
	}
	var reply targetapi.SearchReply
	if err := json.Unmarshal(body, &reply); err != nil {
		return nil, nil, status.Wrap(err, status.ReplyMismatch, status.Unknown, "reply is not valid JSON")
	}
	if reply.Identity != identity {
		return nil, nil, status.New(status.ReplyMismatch, status.Unknown, "reply is for request %s attempt %d shard %d", reply.RequestID, reply.Attempt, reply.Shard)
	}
	for _, h := range reply.Hits {
		if h.Workspace != "" && h.Workspace != identity.Workspace {
			return nil, nil, status.New(status.ReplyMismatch, status.Unknown, "reply contains a hit of another workspace")
		}
	}
	return &reply, reply.RateLimit, nil
}

// decodeRefusal returns the error of a refusal and the rate limit in it. A refusal that does not match the identity of the
// attempt has an unknown outcome.
func decodeRefusal(code int, body []byte, identity targetapi.Identity) (*requestrate.Field, error) {
	var r targetapi.Refusal
	if err := json.Unmarshal(body, &r); err != nil || r.Identity != identity {
		return nil, status.New(status.ReplyMismatch, status.Unknown, "refusal with status %d does not match the attempt", code)
	}
	outcome := status.Unknown
	if r.NotRun {
		outcome = status.NotRun
	}
	if r.Code == "" {
		r.Code = status.Internal
	}
	e := status.New(r.Code, outcome, "target refused: %s", r.Message)
	e.RetryAfter = time.Duration(r.RetryAfterMS) * time.Millisecond
	return r.RateLimit, e
}

// Package targethttp sends attempts to targets over HTTP/1.1.
//
// It keeps its own connection pool per target and uses net/http only to parse
// replies. The outcome of an attempt depends on whether a byte was handed to
// the connection, and a silent connection must be told apart from a slow
// target; net/http's own pool shows neither.
package targethttp

import (
	"context"

	"errors"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"github.com/segmentio/encoding/json"

	"github.com/balsamstall/balsamstall/protocol/sheet"
	"github.com/balsamstall/balsamstall/protocol/status"
	"github.com/balsamstall/balsamstall/protocol/targetapi"
)

// Limits of one attempt.
const (
	// MaxReplyBytes bounds the body of a reply.
	MaxReplyBytes = 1 << 20
	// MaxHeadBytes bounds the status line and the header of a reply, and those of each
	// interim reply before it.
	MaxHeadBytes = 16 << 10
	// DefaultDialTimeout bounds the opening of a connection.
	DefaultDialTimeout = time.Second
)

// Options change how one attempt is sent.
type Options struct {
	// FreshConnection sends on a connection that was never used before.
	FreshConnection bool
	// SilentAfter is the time without a reply after which the connection
	// counts as silent, if a later attempt on another connection to the target had
	// its reply. Zero turns the check off.
	SilentAfter time.Duration
	// MaxBody bounds the body of the reply in bytes. Zero selects MaxReplyBytes.
	MaxBody int64
	// MaySend is asked when the attempt has its connection. Nothing is sent when it
	// returns an error, which must have the outcome NotRun. Nil always allows.
	MaySend func(target string) error
}

// Client sends attempts to any number of targets.
type Client struct {
	dial dialer

	mu sync.RWMutex
	// pools holds one pool per target id. Guarded by mu.
	pools map[string]*pool

	metrics Metrics
	// reading bounds the bodies that are being read at the same time.
	reading readingBudget
}

// Metrics receives counts of connection events. All methods must be safe for
// concurrent use.
type Metrics interface {
	SilentConnection()
	ReplyMismatch()
}

// New returns a client without connections.
func New(m Metrics) *Client { return NewWithDialer(m, &net.Dialer{Timeout: DefaultDialTimeout}) }

// NewWithDialer returns a client that opens connections with the dialer.
func NewWithDialer(m Metrics, dial *net.Dialer) *Client {
	return &Client{
		dial:    dial,
		pools:   make(map[string]*pool),
		metrics: m,
	}
}

// Configure sets the known targets and this entry's share of the connections
// to each; see pool.setLimit for a share of zero. Pools of other targets are closed.
func (c *Client) Configure(targets []sheet.Target, share func(sheet.Target) int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	keep := make(map[string]*pool, len(targets))
	for _, t := range targets {
		p := c.pools[t.ID]
		if p == nil || p.address != t.Address {
			p = newPool(t.Address, c.dial)
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

// DropIdle closes the idle connections to every target. It is called when the
// process notices that it was paused.
func (c *Client) DropIdle() {
	c.mu.RLock()
	defer c.mu.RUnlock()
	for _, p := range c.pools {
		p.dropIdle(time.Now())
	}
}

func (c *Client) pool(target string) *pool {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.pools[target]
}

// Reachable reports whether a new connection to the target can be opened. The
// connection is closed at once.
func (c *Client) Reachable(ctx context.Context, target string) bool {
	p := c.pool(target)
	if p == nil {
		return false
	}
	nc, err := c.dial.DialContext(ctx, "tcp", p.address)
	if err != nil {
		return false
	}
	nc.Close()
	return true
}

// Search sends one attempt and returns the target's reply.
//
// Every error is a *status.Error. Its outcome is NotRun when no byte was
// written or the target said so, and Unknown otherwise. The context's deadline
// and cancellation end the attempt by closing the connection, which cancels
// the work on the target.
func (c *Client) Search(ctx context.Context, target string, req *targetapi.SearchRequest, opt Options) (*targetapi.SearchReply, error) {
	p := c.pool(target)
	if p == nil {
		return nil, status.New(status.NoReplica, status.NotRun, "target %s is not in the sheet", target)
	}
	message, err := encode(p.address, req)
	if err != nil {
		return nil, status.Wrap(err, status.Internal, status.NotRun, "encoding an attempt")
	}
	cn, err := p.acquireFor(ctx, target, opt)
	if err != nil {
		return nil, err
	}
	x := &exchange{client: c, pool: p, conn: cn, target: target, started: time.Now()}
	return x.run(ctx, message, req.Identity, opt.SilentAfter)
}

// Status returns a target's own report, which may lag or mislead. Every error is
// a *status.Error.
func (c *Client) Status(ctx context.Context, target string) (*targetapi.Status, error) {
	p := c.pool(target)
	if p == nil {
		return nil, status.New(status.NoReplica, status.NotRun, "target %s is not in the sheet", target)
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
	x.end()
	var report targetapi.Status
	if code != http.StatusOK || json.Unmarshal(body, &report) != nil {
		return nil, status.New(status.ReplyMismatch, "", "target %s sent no status", target)
	}
	return &report, nil
}

func statusMessage(address string) []byte {
	return []byte("GET " + targetapi.StatusPath + " HTTP/1.1\r\nHost: " + address + "\r\n\r\n")
}

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
	// maxBody bounds the body of the reply in bytes, zero for MaxReplyBytes.
	maxBody int64
	// reusable is set when the connection may serve another request.
	reusable bool

	mu sync.Mutex
	// silence is the timer of the checks. Guarded by mu.
	silence *time.Timer
	// silent is set when the connection was found silent. Guarded by mu.
	silent bool
	// ended is set when the reply was read or failed. Guarded by mu.
	ended bool
}

// run sends an attempt and checks that the reply belongs to it.
func (x *exchange) run(ctx context.Context, message []byte, want targetapi.Identity, silentAfter time.Duration) (*targetapi.SearchReply, error) {
	code, body, err := x.roundTrip(ctx, message, silentAfter)
	if err != nil {
		return nil, err
	}
	reply, err := decodeReply(code, body, want)
	if status.CodeOf(err) == status.ReplyMismatch {
		x.client.metrics.ReplyMismatch()
		x.reusable = false
	}
	x.end()
	return reply, err
}

// roundTrip writes a request and reads its reply. After a reply, end returns the
// connection to the pool; after an error the connection is closed.
func (x *exchange) roundTrip(ctx context.Context, message []byte, silentAfter time.Duration) (code int, body []byte, err error) {
	deadline, _ := ctx.Deadline()
	x.conn.SetDeadline(deadline)
	stop := context.AfterFunc(ctx, x.interrupt)
	x.watchSilence(silentAfter)
	outcome := status.Unknown
	n, err := x.conn.Write(message)
	if err == nil {
		code, body, x.reusable, err = x.readReply()
	} else if n == 0 {
		outcome = status.NotRun
	}
	silent := x.endSilenceWatch()
	// A cancellation that already started may still interrupt the connection,
	// which must then serve no other attempt.
	x.reusable = stop() && x.reusable && !silent
	if err != nil {
		x.pool.discard(x.conn)
		return 0, nil, x.ioError(ctx, err, outcome)
	}
	return code, body, nil
}

// end returns the connection to the pool, or closes it.
func (x *exchange) end() {
	if !x.reusable {
		x.pool.discard(x.conn)
		return
	}
	// A passed deadline would make the idle connection look closed.
	x.conn.SetDeadline(time.Time{})
	x.conn.lastReply = time.Now()
	x.pool.noteReply(x.started)
	x.pool.release(x.conn)
}

// interrupt makes pending reads and writes return at once.
func (x *exchange) interrupt() { x.conn.SetDeadline(time.Unix(1, 0)) }

func (x *exchange) readReply() (code int, body []byte, reusable bool, err error) {
	x.conn.allow(MaxHeadBytes)
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
		return nil, status.New(status.TooLarge, status.Unknown, "reply of %d bytes", resp.ContentLength)
	}
	x.conn.allow(limit)
	return x.client.reading.read(resp.Body, resp.ContentLength)
}

// ioError classifies a failed read or write.
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

func contextError(ctx context.Context, outcome status.Outcome, what string) error {
	code := status.Canceled
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		code = status.DeadlineExceeded
	}
	return status.Wrap(context.Cause(ctx), code, outcome, "%s", what)
}

// decodeReply checks a reply against the identity of the attempt.
func decodeReply(code int, body []byte, want targetapi.Identity) (*targetapi.SearchReply, error) {
	if code != http.StatusOK {
		return nil, decodeRefusal(code, body, want)
	}
	var reply targetapi.SearchReply
	if err := json.Unmarshal(body, &reply); err != nil {
		return nil, status.Wrap(err, status.ReplyMismatch, status.Unknown, "reply is not valid JSON")
	}
	if reply.Identity != want {
		return nil, status.New(status.ReplyMismatch, status.Unknown, "reply names request %s attempt %d shard %d", reply.RequestID, reply.Attempt, reply.Shard)
	}
	for _, h := range reply.Hits {
		if h.Workspace != "" && h.Workspace != want.Workspace {
			return nil, status.New(status.ReplyMismatch, status.Unknown, "reply holds a hit of another workspace")
		}
	}
	return &reply, nil
}

func decodeRefusal(code int, body []byte, want targetapi.Identity) error {
	var r targetapi.Refusal
	if err := json.Unmarshal(body, &r); err != nil || r.Identity != want {
		return status.New(status.ReplyMismatch, status.Unknown, "refusal with status %d does not name the attempt", code)
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
	return e
}

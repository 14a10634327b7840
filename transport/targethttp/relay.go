package targethttp

import (
	"context"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/balsamstall/balsamstall/protocol/status"
)

const (
	// maxInlineWriteBytes is the size up to which a message is written before its reply is read.
	// It fits into the send buffer of a connection, so the write cannot block on a target that
	// replies early and stops reading.
	maxInlineWriteBytes = 8 << 10
	// maxRepliesPerRequest bounds the replies read for one request, including interim replies and
	// replies to other requests, before the connection is closed.
	maxRepliesPerRequest = 4
	// idleMargin is subtracted from the idle timeout that a target sends, so that no request is
	// sent while the target closes the connection.
	idleMargin = 500 * time.Millisecond
)

// Message is an HTTP/1.1 request in wire format.
type Message struct {
	Method string
	// Head begins the message and Fields ends its head. Head and Body are not modified, so that several
	// messages may share them.
	Head, Fields, Body []byte
	// MatchesReply reports whether a reply with this header may be the reply to the message. Nil
	// accepts every reply.
	MatchesReply func(http.Header) bool
	// HasRequestID reports whether a reply with this header identifies its request. On a reused
	// connection, a reply that does not may belong to an earlier request and is rejected. Nil
	// accepts every reply.
	HasRequestID func(http.Header) bool
	// OnReply is called with the reply before the connection serves another attempt, so that what the
	// target stated applies to the attempts that wait for it. It may be nil.
	OnReply func(*Reply)
	// OnLateReply is called with a reply that arrives within lateReplyTimeout after the attempt was
	// canceled, because what the target states in it concerns later attempts. It may be nil.
	OnLateReply func(*Reply)
}

// size returns the number of bytes of the message.
func (m *Message) size() int { return len(m.Head) + len(m.Fields) + len(m.Body) }

// write writes the message and returns the number of bytes written. Only a message that is written inline is
// copied.
func (m *Message) write(w io.Writer) (n int, err error) {
	if m.size() <= maxInlineWriteBytes {
		return w.Write(slices.Concat(m.Head, m.Fields, m.Body))
	}
	for _, part := range [][]byte{slices.Concat(m.Head, m.Fields), m.Body} {
		k, err := w.Write(part)
		n += k
		if err != nil {
			return n, err
		}
	}
	return n, nil
}

// Reply is a complete reply with a body of at most MaxReplyBytes.
type Reply struct {
	HTTPStatus int
	Header     http.Header
	Body       []byte
}

// Exchange sends a message to a target and returns the reply, whatever its HTTP status.
//
// Every error is a *status.Error. Its outcome is NotRun if no byte was written, and Unknown
// otherwise. The connection is closed if ctx ends before the reply is complete.
func (c *Client) Exchange(ctx context.Context, target string, m *Message, opt Options) (*Reply, error) {
	p := c.pool(target)
	if p == nil {
		return nil, status.New(status.NoReplica, status.NotRun, "target %s is unknown", target)
	}
	cn, err := p.acquireForAttempt(ctx, target, opt)
	if err != nil {
		return nil, err
	}
	x := &exchange{client: c, pool: p, conn: cn, target: target, started: time.Now(), maxBodyBytes: opt.MaxBodyBytes}
	return x.relay(ctx, m, opt.SilentAfter)
}

// relay writes a message, reads its reply and returns the connection to the pool.
func (x *exchange) relay(ctx context.Context, m *Message, silentAfter time.Duration) (*Reply, error) {
	deadline, _ := ctx.Deadline()
	x.conn.SetDeadline(deadline)
	stop := context.AfterFunc(ctx, x.interrupt)
	x.startSilenceCheck(silentAfter)
	reply, outcome, err := x.transfer(m)
	silent := x.stopSilenceCheck()
	x.reusable = stop() && x.reusable && !silent
	if err != nil {
		if x.conn.lastReply.IsZero() && ctx.Err() == nil {
			x.pool.recordRefusal()
		}
		if m.OnLateReply != nil && ctx.Err() != nil && outcome == status.Unknown && x.readLate(m) {
			return nil, x.ioError(ctx, err, outcome)
		}
		x.pool.discard(x.conn)
		return nil, x.ioError(ctx, err, outcome)
	}
	if m.OnReply != nil {
		m.OnReply(reply)
	}
	x.finish()
	return reply, nil
}

// transfer writes a message and reads its reply. It reads while it writes a long message, because a
// target may reply before it has read the whole body.
func (x *exchange) transfer(m *Message) (*Reply, status.Outcome, error) {
	if m.size() <= maxInlineWriteBytes {
		if n, err := m.write(x.conn); err != nil {
			return nil, writeOutcome(n), err
		}
		reply, err := x.readRelayedReply(m)
		return reply, status.Unknown, err
	}
	type writeResult struct {
		n   int
		err error
	}
	written := make(chan writeResult, 1)
	go func() {
		n, err := m.write(x.conn)
		written <- writeResult{n, err}
	}()
	reply, err := x.readRelayedReply(m)
	select {
	case w := <-written:
		if err != nil && w.err != nil {
			return nil, writeOutcome(w.n), w.err
		}
		x.reusable = x.reusable && w.err == nil
	default:
		// The target must not take the rest of the body for another request.
		x.reusable = false
		x.interrupt()
		if w := <-written; err != nil && w.err != nil {
			return nil, writeOutcome(w.n), err
		}
	}
	return reply, status.Unknown, err
}

// writeOutcome returns the outcome of a request of which n bytes were written.
func writeOutcome(n int) status.Outcome {
	if n == 0 {
		return status.NotRun
	}
	return status.Unknown
}

// readRelayedReply reads the reply to a message. It skips interim replies and late replies to
// earlier requests on the connection.
func (x *exchange) readRelayedReply(m *Message) (*Reply, error) {
	request := &http.Request{Method: m.Method}
	limit := x.maxBodyBytes
	if limit <= 0 {
		limit = MaxReplyBytes
	}
	for range maxRepliesPerRequest {
		x.conn.setReadLimit(MaxHeaderBytes)
		resp, err := http.ReadResponse(x.conn.reader, request)
		if err != nil {
			return nil, err
		}
		var body []byte
		if m.Method != http.MethodHead { // Its Content-Length describes a body that is not sent.
			body, err = x.readAll(resp, limit)
		}
		resp.Body.Close()
		if err != nil {
			return nil, err
		}
		if resp.StatusCode < http.StatusOK && resp.StatusCode != http.StatusSwitchingProtocols {
			continue
		}
		if m.MatchesReply != nil && !m.MatchesReply(resp.Header) {
			x.client.metrics.ReplyMismatch()
			if resp.Close {
				break
			}
			continue
		}
		if m.HasRequestID != nil && !x.conn.lastReply.IsZero() && !m.HasRequestID(resp.Header) {
			x.client.metrics.ReplyMismatch()
			return nil, status.New(status.ReplyMismatch, status.Unknown, "target %s sent a reply without a request id on a reused connection", x.target)
		}
		x.conn.idleDeadline = parseIdleDeadline(resp.Header, time.Now())
		// Bytes after a complete reply belong to no request.
		x.reusable = !resp.Close && x.conn.reader.Buffered() == 0
		return &Reply{HTTPStatus: resp.StatusCode, Header: resp.Header, Body: body}, nil
	}
	return nil, status.New(status.ReplyMismatch, status.Unknown, "target %s sent replies to other requests", x.target)
}

// parseIdleDeadline returns the time until which the connection may stay idle, from the Keep-Alive
// header of a reply. It returns zero if the target sent no idle timeout.
func parseIdleDeadline(h http.Header, now time.Time) time.Time {
	for _, value := range h.Values("Keep-Alive") {
		for part := range strings.SplitSeq(value, ",") {
			text, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
			if !ok {
				continue
			}
			if seconds, err := strconv.ParseUint(text, 10, 16); err == nil {
				return now.Add(max(time.Duration(seconds)*time.Second-idleMargin, 0))
			}
		}
	}
	return time.Time{}
}

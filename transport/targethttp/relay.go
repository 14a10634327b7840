package targethttp

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/balsamstall/balsamstall/protocol/status"
)

const (
	// inlineBytes is the size up to which a message is written before its reply is
	// read. It fits the send buffer of a connection, so the write cannot wait for a
	// target that replies early and stops reading.
	inlineBytes = 8 << 10
	// maxForeignReplies bounds the replies to other requests that are skipped on one
	// connection before it is given up.
	maxForeignReplies = 4
	// idleMargin is taken off the idle time that a target states, so that a request
	// does not cross the target's close.
	idleMargin = 500 * time.Millisecond
)

// Message is one HTTP/1.1 request in its wire format.
type Message struct {
	Method string
	// Bytes holds the request line, the header and the body.
	Bytes []byte
	// Belongs reports whether a reply with this header answers the message. Nil
	// accepts every reply.
	Belongs func(http.Header) bool
	// Names reports whether a reply with this header names a request at all. On a
	// connection that served another request before, one that names none proves nothing.
	// Nil trusts every reply.
	Names func(http.Header) bool
}

// Reply is a complete reply with a body of at most MaxReplyBytes.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
}

// Exchange sends a message to a target and returns the reply, whatever its
// status.
//
// Every error is a *status.Error. Its outcome is NotRun when no byte was written,
// and Unknown otherwise. The end of ctx closes the connection.
func (c *Client) Exchange(ctx context.Context, target string, m *Message, opt Options) (*Reply, error) {
	p := c.pool(target)
	if p == nil {
		return nil, status.New(status.NoReplica, status.NotRun, "target %s is not known", target)
	}
	cn, err := p.acquireFor(ctx, target, opt)
	if err != nil {
		return nil, err
	}
	x := &exchange{client: c, pool: p, conn: cn, target: target, started: time.Now(), maxBody: opt.MaxBody}
	return x.relay(ctx, m, opt.SilentAfter)
}

// relay writes a message and reads its reply.
func (x *exchange) relay(ctx context.Context, m *Message, silentAfter time.Duration) (*Reply, error) {
	deadline, _ := ctx.Deadline()
	x.conn.SetDeadline(deadline)
	stop := context.AfterFunc(ctx, x.interrupt)
	x.watchSilence(silentAfter)
	reply, outcome, err := x.transfer(m)
	silent := x.endSilenceWatch()
	x.reusable = stop() && x.reusable && !silent
	if err != nil {
		if x.conn.lastReply.IsZero() && ctx.Err() == nil {
			x.pool.refused()
		}
		x.pool.discard(x.conn)
		return nil, x.ioError(ctx, err, outcome)
	}
	x.end()
	return reply, nil
}

// transfer writes a message and reads its reply, a long one at the same time: a
// target may reply before it has read the whole body.
func (x *exchange) transfer(m *Message) (*Reply, status.Outcome, error) {
	if len(m.Bytes) <= inlineBytes {
		if n, err := x.conn.Write(m.Bytes); err != nil {
			return nil, outcomeOfWrite(n), err
		}
		reply, err := x.readRelayed(m)
		return reply, status.Unknown, err
	}
	type writeResult struct {
		n   int
		err error
	}
	written := make(chan writeResult, 1)
	go func() {
		n, err := x.conn.Write(m.Bytes)
		written <- writeResult{n, err}
	}()
	reply, err := x.readRelayed(m)
	select {
	case w := <-written:
		if err != nil && w.err != nil {
			return nil, outcomeOfWrite(w.n), w.err
		}
		x.reusable = x.reusable && w.err == nil
	default:
		// The rest of the body must not be taken for another request.
		x.reusable = false
		x.interrupt()
		<-written
	}
	return reply, status.Unknown, err
}

func outcomeOfWrite(n int) status.Outcome {
	if n == 0 {
		return status.NotRun
	}
	return status.Unknown
}

// readRelayed reads the reply to a message and skips interim replies and late ones
// to earlier requests on the connection.
func (x *exchange) readRelayed(m *Message) (*Reply, error) {
	request := &http.Request{Method: m.Method}
	limit := x.maxBody
	if limit <= 0 {
		limit = MaxReplyBytes
	}
	for range maxForeignReplies {
		x.conn.allow(MaxHeadBytes)
		resp, err := http.ReadResponse(x.conn.reader, request)
		if err != nil {
			return nil, err
		}
		var body []byte
		if m.Method != http.MethodHead { // Its length is that of the body it leaves out.
			body, err = x.readAll(resp, limit)
		}
		resp.Body.Close()
		if err != nil {
			return nil, err
		}
		if resp.StatusCode < http.StatusOK && resp.StatusCode != http.StatusSwitchingProtocols {
			continue
		}
		if m.Belongs != nil && !m.Belongs(resp.Header) {
			x.client.metrics.ReplyMismatch()
			if resp.Close {
				break
			}
			continue
		}
		if m.Names != nil && !x.conn.lastReply.IsZero() && !m.Names(resp.Header) {
			x.client.metrics.ReplyMismatch()
			return nil, status.New(status.ReplyMismatch, status.Unknown, "target %s sent a reply that names no request on a connection used before", x.target)
		}
		x.conn.expires = idleUntil(resp.Header, time.Now())
		// Bytes after a complete reply belong to no request.
		x.reusable = !resp.Close && x.conn.reader.Buffered() == 0
		return &Reply{Status: resp.StatusCode, Header: resp.Header, Body: body}, nil
	}
	return nil, status.New(status.ReplyMismatch, status.Unknown, "target %s sent replies to other requests", x.target)
}

// idleUntil returns the time until which an idle connection may be used, zero when
// the target states no idle timeout.
func idleUntil(h http.Header, now time.Time) time.Time {
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

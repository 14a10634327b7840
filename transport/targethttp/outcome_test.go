package targethttp

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/balsamstall/balsamstall/protocol/status"
)

// Guards against an attempt that is sent although its request has ended while it waited for its
// connection, and whose outcome is unknown then.
func TestEndedAttemptIsNotSent(t *testing.T) {
	is := is.New(t)
	var served atomic.Int64
	client, _ := newTestClient(t, func(http.ResponseWriter, *http.Request) { served.Add(1) }, 2)
	for _, size := range []int{0, 2 * maxInlineWriteBytes} {
		for range 20 {
			ctx, cancel := context.WithCancel(t.Context())
			message := &Message{Method: http.MethodGet, Head: []byte("GET / HTTP/1.1\r\nHost: t\r\nX: " + strings.Repeat("x", size) + "\r\n\r\n")}
			_, err := client.Exchange(ctx, "target-1", message, Options{MaySend: func(string) error { cancel(); return nil }})
			is.Equal(status.CodeOf(err), status.Canceled)
			is.Equal(status.From(err).Outcome, status.NotRun)
		}
	}
	is.Equal(served.Load(), int64(0))
	is.Equal(client.Connections("target-1"), 1) // The connection remains usable.
}

// unwritableConn is a connection that takes n bytes of a message once its deadline is set to the past.
type unwritableConn struct {
	net.Conn
	n           int
	interrupted chan struct{}
	once        sync.Once
}

func (c *unwritableConn) Read([]byte) (int, error) { return 0, io.EOF }
func (c *unwritableConn) Close() error             { return nil }
func (c *unwritableConn) SetDeadline(t time.Time) error {
	if !t.IsZero() && t.Before(time.Now()) {
		c.once.Do(func() { close(c.interrupted) })
	}
	return nil
}

func (c *unwritableConn) Write([]byte) (int, error) {
	<-c.interrupted
	return c.n, os.ErrDeadlineExceeded
}

// Guards against an unknown outcome of a long message of which no byte was written when the connection
// was closed, and against the promise that a message has not run of which a part was written.
func TestLongMessageWithoutAWrittenByteIsNotRun(t *testing.T) {
	is := is.New(t)
	for n, outcome := range map[int]status.Outcome{0: status.NotRun, 1: status.Unknown} {
		p := newPool("target-1", nil)
		p.open = 1
		x := &exchange{client: New(&fakeMetrics{}), pool: p, target: "target-1", started: time.Now(),
			conn: newConn(&unwritableConn{n: n, interrupted: make(chan struct{})}, time.Now())}
		_, err := x.relay(t.Context(), &Message{Method: http.MethodPost, Head: make([]byte, maxInlineWriteBytes+1)}, 0)
		is.Equal(status.From(err).Outcome, outcome)
	}
}

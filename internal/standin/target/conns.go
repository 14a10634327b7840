package target

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// trackedListener closes connections above the cap and knows all open ones.
type trackedListener struct {
	net.Listener
	limit    int
	accepted *atomic.Int64
	rejected *atomic.Int64

	mu sync.Mutex
	// open is guarded by mu. The value is the order of the accept.
	open map[*trackedConn]struct{}
}

// Accept implements net.Listener.
func (l *trackedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if tracked := l.track(conn); tracked != nil {
			l.accepted.Add(1)
			return tracked, nil
		}
		l.rejected.Add(1)
		conn.Close()
	}
}

func (l *trackedListener) track(conn net.Conn) *trackedConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.open) >= l.limit {
		return nil
	}
	tracked := &trackedConn{Conn: conn, listener: l, acceptedAt: time.Now()}
	l.open[tracked] = struct{}{}
	return tracked
}

// trackedConn is a connection that can turn silent.
type trackedConn struct {
	net.Conn
	listener   *trackedListener
	acceptedAt time.Time
	silent     atomic.Bool
}

// Write drops the data of a silent connection and reports success.
func (c *trackedConn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.open, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}

type connKey struct{}

func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

func connOf(r *http.Request) *trackedConn {
	conn, _ := r.Context().Value(connKey{}).(*trackedConn)
	return conn
}

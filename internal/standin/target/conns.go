package target

import (
	"context"
	"net"
	"net/http"
	"slices"
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
	// The fields below are guarded by mu. The value in open is the number of
	// the accept.
	open   map[*trackedConn]uint64
	next   uint64
	closed bool
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

// track returns nil when the cap is reached or the listener is shut.
func (l *trackedListener) track(conn net.Conn) *trackedConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || len(l.open) >= l.limit {
		return nil
	}
	tracked := &trackedConn{Conn: conn, listener: l, acceptedAt: time.Now()}
	l.open[tracked] = l.next
	l.next++
	return tracked
}

// connections returns the open connections in the order of their accepts.
func (l *trackedListener) connections() []*trackedConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.connectionsLocked()
}

func (l *trackedListener) connectionsLocked() []*trackedConn {
	conns := make([]*trackedConn, 0, len(l.open))
	for c := range l.open {
		conns = append(conns, c)
	}
	slices.SortFunc(conns, func(a, b *trackedConn) int { return int(l.open[a]) - int(l.open[b]) })
	return conns
}

// shut closes the listener, keeps further connections out and returns the open ones.
func (l *trackedListener) shut() []*trackedConn {
	l.Listener.Close() // A failure leaves nothing to undo.
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	return l.connectionsLocked()
}

// trackedConn is a connection that can turn silent.
type trackedConn struct {
	net.Conn
	listener   *trackedListener
	acceptedAt time.Time
	silent     atomic.Bool
	// stale is a copy of an earlier reply, sent before the next one. Only the
	// handler of the connection's current request uses it.
	stale []byte
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

// reset closes the connection with a TCP reset.
func (c *trackedConn) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		tcp.SetLinger(0) // A failure only turns the reset into a normal close.
	}
	c.Close()
}

// Silence makes the given fraction of the open connections stop replying for
// ever: every one up to a fraction of 1, every second for one half. Zero means
// all. It returns the number of connections that it made silent.
func (t *Target) Silence(fraction float64) int { return t.silence(fraction, nil) }

// silence is Silence that leaves the connection keep alone.
func (t *Target) silence(fraction float64, keep *trackedConn) int {
	if fraction == 0 {
		fraction = 1
	}
	t.mu.Lock()
	listener := t.listener
	t.mu.Unlock()
	if listener == nil {
		return 0
	}
	silenced := 0
	conns := slices.DeleteFunc(listener.connections(), func(c *trackedConn) bool { return c == keep })
	for i, conn := range conns {
		if float64(silenced) < fraction*float64(i+1) {
			conn.silent.Store(true)
			silenced++
		}
	}
	return silenced
}

type connKey struct{}

func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

func connOf(r *http.Request) *trackedConn {
	conn, _ := r.Context().Value(connKey{}).(*trackedConn)
	return conn
}

// Package tracked provides the connections of the stand-ins: a listener that
// knows its open connections, caps their number, and can reset or silence them.
package tracked

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Counts counts connections. It outlives the listeners that share it.
type Counts struct {
	Accepted atomic.Int64
	// Rejected counts the connections closed because of the cap.
	Rejected atomic.Int64
}

// Listener closes connections above its cap and knows all open ones.
type Listener struct {
	net.Listener
	// limit is the cap; zero means none.
	limit  int
	counts *Counts

	mu sync.Mutex
	// The fields below are guarded by mu. The value in open is the number of
	// the accept.
	open   map[*Conn]uint64
	next   uint64
	closed bool
}

// NewListener wraps ln. A limit of zero means no cap.
func NewListener(ln net.Listener, limit int, counts *Counts) *Listener {
	return &Listener{Listener: ln, limit: limit, counts: counts, open: make(map[*Conn]uint64)}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.track(conn); c != nil {
			l.counts.Accepted.Add(1)
			return c, nil
		}
		l.counts.Rejected.Add(1)
		conn.Close()
	}
}

// track returns nil when the cap is reached or the listener is shut.
func (l *Listener) track(conn net.Conn) *Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || l.limit > 0 && len(l.open) >= l.limit {
		return nil
	}
	c := &Conn{Conn: conn, AcceptedAt: time.Now(), listener: l}
	l.open[c] = l.next
	l.next++
	return c
}

// Connections returns the open connections in the order of their accepts.
func (l *Listener) Connections() []*Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.connections()
}

// connections needs l.mu.
func (l *Listener) connections() []*Conn {
	conns := make([]*Conn, 0, len(l.open))
	for c := range l.open {
		conns = append(conns, c)
	}
	slices.SortFunc(conns, func(a, b *Conn) int { return int(l.open[a]) - int(l.open[b]) })
	return conns
}

// Shut closes the listener and resets its connections, except keep, which may
// be nil.
func (l *Listener) Shut(keep *Conn) {
	l.Listener.Close() // A failure leaves nothing to undo.
	l.mu.Lock()
	l.closed = true
	conns := l.connections()
	l.mu.Unlock()
	for _, c := range conns {
		if c != keep {
			c.Reset()
		}
	}
}

// Conn is a connection that can turn silent.
type Conn struct {
	net.Conn
	// AcceptedAt is the time of the accept.
	AcceptedAt time.Time
	listener   *Listener
	silent     atomic.Bool
}

// Silence drops everything that is written from now on.
func (c *Conn) Silence() { c.silent.Store(true) }

// Silent reports whether the connection is silent.
func (c *Conn) Silent() bool { return c.silent.Load() }

// Write drops the data of a silent connection and reports success.
func (c *Conn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.open, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}

// Reset closes the connection with a TCP reset.
func (c *Conn) Reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		tcp.SetLinger(0) // A failure only turns the reset into a normal close.
	}
	c.Close()
}

type connKey struct{}

// Context is the ConnContext of an http.Server that serves a Listener.
func Context(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// Of returns the connection of a request, or nil when the server does not use
// a Listener and Context.
func Of(r *http.Request) *Conn {
	conn, _ := r.Context().Value(connKey{}).(*Conn)
	return conn
}

// Package tracked provides a listener for the stand-ins that tracks its open connections, limits
// their number, and can reset or silence them.
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

// Counts counts connections. Successive listeners can share it.
type Counts struct {
	Accepted atomic.Int64
	// Rejected counts the connections closed because of the limit.
	Rejected atomic.Int64
}

// Listener tracks its open connections and closes new ones above its limit.
type Listener struct {
	net.Listener
	// limit is the maximum number of open connections. Zero means no limit.
	limit  int
	counts *Counts

	mu sync.Mutex
	// The fields below are guarded by mu. open maps each open connection to the sequence number of its
	// accept.
	open       map[*Conn]uint64
	nextNumber uint64
	closed     bool
}

// NewListener returns a Listener that wraps ln. A limit of zero means no limit.
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

// track adds conn to the open connections. It returns nil if the limit is reached or the listener is
// closed.
func (l *Listener) track(conn net.Conn) *Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || l.limit > 0 && len(l.open) >= l.limit {
		return nil
	}
	c := &Conn{Conn: conn, AcceptedAt: time.Now(), listener: l}
	l.open[c] = l.nextNumber
	l.nextNumber++
	return c
}

// Connections returns the open connections in the order in which they were accepted.
func (l *Listener) Connections() []*Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.connectionsLocked()
}

// connectionsLocked is like Connections. l.mu must be held.
func (l *Listener) connectionsLocked() []*Conn {
	conns := make([]*Conn, 0, len(l.open))
	for c := range l.open {
		conns = append(conns, c)
	}
	slices.SortFunc(conns, func(a, b *Conn) int { return int(l.open[a]) - int(l.open[b]) })
	return conns
}

// CloseAndReset closes the listener and resets its connections, except keep, which may be nil.
func (l *Listener) CloseAndReset(keep *Conn) {
	l.Listener.Close() // On an error there is nothing to undo.
	l.mu.Lock()
	l.closed = true
	conns := l.connectionsLocked()
	l.mu.Unlock()
	for _, c := range conns {
		if c != keep {
			c.Reset()
		}
	}
}

// Conn is an accepted connection that can be silenced or reset.
type Conn struct {
	net.Conn
	// AcceptedAt is the time of the accept.
	AcceptedAt time.Time
	listener   *Listener
	silent     atomic.Bool
}

// Silence makes the connection drop everything that is written to it from now on.
func (c *Conn) Silence() { c.silent.Store(true) }

// Silent reports whether the connection is silent.
func (c *Conn) Silent() bool { return c.silent.Load() }

// Write implements net.Conn. On a silent connection it drops the data and reports success.
func (c *Conn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn and stops tracking the connection.
func (c *Conn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.open, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}

// Reset closes the connection with a TCP reset.
func (c *Conn) Reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		tcp.SetLinger(0) // On an error, the connection is closed without a reset.
	}
	c.Close()
}

type connKey struct{}

// ConnContext is the http.Server.ConnContext of a server that serves a Listener. It stores the
// connection in the context of its requests.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// FromRequest returns the connection of a request, or nil if the server does not use a Listener and
// ConnContext.
func FromRequest(r *http.Request) *Conn {
	conn, _ := r.Context().Value(connKey{}).(*Conn)
	return conn
}

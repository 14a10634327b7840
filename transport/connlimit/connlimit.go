// Package connlimit closes connections of HTTP servers that stay idle, or take for the
// header of a request, longer than limits that may change while the server runs;
// http.Server.IdleTimeout and ReadHeaderTimeout are fixed at its start.
package connlimit

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// Limits return the limits in force. Both are called for each request and must not
// block. A result of zero stands for no limit.
type Limits struct {
	// Idle bounds the time between two requests, and before the first.
	Idle func() time.Duration
	// Header bounds the time from the first byte of a request to the end of its header.
	Header func() time.Duration
}

// Listen returns a listener whose connections keep the limits. Changed must be the
// ConnState hook of the server that accepts them.
func Listen(lis net.Listener, limits Limits) net.Listener {
	return &listener{Listener: lis, limits: limits}
}

// Changed takes a new state of a connection. It is an http.Server.ConnState hook and
// leaves connections of other listeners alone.
func Changed(c net.Conn, state http.ConnState) {
	limited, ok := c.(*conn)
	if !ok {
		return
	}
	switch state {
	case http.StateNew, http.StateIdle:
		limited.enter(waiting)
	default: // The header was read, or the connection ended.
		limited.enter(unlimited)
	}
}

type listener struct {
	net.Listener
	limits Limits
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, limits: l.limits}, nil
}

// phase is what a connection does.
type phase int

const (
	// unlimited covers the body of a request and its handling.
	unlimited phase = iota
	// waiting is the time until the first byte of a request.
	waiting
	// header is the time from there to the end of the header.
	header
)

// conn is one connection. It is safe for concurrent use.
type conn struct {
	net.Conn
	limits Limits

	mu sync.Mutex
	// phase began at since; timer ends it, nil without a limit. Guarded by mu.
	phase phase
	since time.Time
	timer *time.Timer
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.mu.Lock()
		if c.phase == waiting {
			c.start(header)
		}
		c.mu.Unlock()
	}
	return n, err
}

func (c *conn) enter(p phase) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.start(p)
}

// start begins a phase. The caller holds mu.
func (c *conn) start(p phase) {
	if c.timer != nil {
		c.timer.Stop()
		c.timer = nil
	}
	c.phase, c.since = p, time.Now()
	if limit := c.limit(); limit > 0 {
		c.expireIn(limit)
	}
}

// limit returns the limit of the present phase. The caller holds mu.
func (c *conn) limit() time.Duration {
	switch c.phase {
	case waiting:
		return c.limits.Idle()
	case header:
		return c.limits.Header()
	}
	return 0
}

// expireIn sets the timer of the present phase. The caller holds mu.
func (c *conn) expireIn(d time.Duration) {
	began := c.since
	c.timer = time.AfterFunc(d, func() { c.expired(began) })
}

// expired closes the connection when the phase that began at the given time goes on,
// or waits on when the limit was raised meanwhile.
func (c *conn) expired(began time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.since != began {
		return
	}
	limit := c.limit()
	if limit <= 0 {
		return
	}
	if left := limit - time.Since(c.since); left > 0 {
		c.expireIn(left)
		return
	}
	_ = c.Close() // Nobody reads the connection's error.
}

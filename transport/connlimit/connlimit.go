// Package connlimit makes an HTTP server close connections that stay idle too long or take too long to
// send a request header. Its limits may change while the server runs, unlike
// http.Server.IdleTimeout and ReadHeaderTimeout, which are fixed when the server starts.
package connlimit

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// Limits returns the current limits. Both functions are called for each request and must not
// block. Zero means no limit.
type Limits struct {
	// Idle bounds the time before the first request and between two requests.
	Idle func() time.Duration
	// Header bounds the time from the first byte of a request to the end of its header.
	Header func() time.Duration
}

// NewListener returns a listener that enforces the limits on its connections. The server that
// accepts them must use ConnState as its http.Server.ConnState hook.
func NewListener(lis net.Listener, limits Limits) net.Listener {
	return &listener{Listener: lis, limits: limits}
}

// ConnState records the new state of a connection. It is an http.Server.ConnState hook and
// ignores connections of other listeners.
func ConnState(c net.Conn, state http.ConnState) {
	limited, ok := c.(*conn)
	if !ok {
		return
	}
	switch state {
	case http.StateNew, http.StateIdle:
		limited.setPhase(idle)
	default: // The header has been read, or the connection was closed or hijacked.
		limited.setPhase(active)
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

// phase is the stage of the request cycle that a connection is in.
type phase int

const (
	// active covers the body of a request and its handling. It has no limit.
	active phase = iota
	// idle lasts until the first byte of a request.
	idle
	// readingHeader lasts from the first byte to the end of the header.
	readingHeader
)

// conn is a connection whose phases are timed. It is safe for concurrent use.
type conn struct {
	net.Conn
	limits Limits

	mu sync.Mutex
	// phase began at phaseStart. timer fires at its limit and is nil without one. Guarded by mu.
	phase      phase
	phaseStart time.Time
	timer      *time.Timer
	// expired is set if the phase reached its limit and reads end with a timeout. Guarded by mu.
	expired bool
}

// past is a read deadline that ends reads at once.
var past = time.Unix(1, 0)

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case n > 0 && c.phase == idle:
		c.setPhaseLocked(readingHeader)
	case n == 0 && err != nil && c.expired:
		// The server would respond with 400 to an incomplete header.
		_ = c.Close() // No caller is left to handle an error.
	}
	return n, err
}

// setPhase begins a phase.
func (c *conn) setPhase(p phase) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setPhaseLocked(p)
}

// setPhaseLocked begins a phase. The caller holds mu.
func (c *conn) setPhaseLocked(p phase) {
	if c.timer != nil {
		c.timer.Stop()
		c.timer = nil
	}
	if c.expired {
		// The last read has returned a request although the limit passed meanwhile.
		c.expired = false
		_ = c.SetReadDeadline(time.Time{}) // On failure, the next read fails too.
	}
	c.phase, c.phaseStart = p, time.Now()
	if limit := c.limit(); limit > 0 {
		c.startTimer(limit)
	}
}

// limit returns the limit of the current phase. The caller holds mu.
func (c *conn) limit() time.Duration {
	switch c.phase {
	case idle:
		return c.limits.Idle()
	case readingHeader:
		return c.limits.Header()
	}
	return 0
}

// startTimer sets the timer of the current phase. The caller holds mu.
func (c *conn) startTimer(d time.Duration) {
	phaseStart := c.phaseStart
	c.timer = time.AfterFunc(d, func() { c.endReadsIfExpired(phaseStart) })
}

// endReadsIfExpired ends reads of the connection if it is still in the phase that began at phaseStart;
// the read that fails then closes it. It is not closed here, because a read may just have returned a
// request. If the limit was raised meanwhile, it restarts the timer for the remaining time.
func (c *conn) endReadsIfExpired(phaseStart time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phaseStart != phaseStart {
		return
	}
	limit := c.limit()
	if limit <= 0 {
		return
	}
	if left := limit - time.Since(c.phaseStart); left > 0 {
		c.startTimer(left)
		return
	}
	c.expired = true
	_ = c.SetReadDeadline(past) // A failure means that the connection is closed.
}

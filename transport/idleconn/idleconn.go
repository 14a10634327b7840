// Package idleconn closes idle connections of HTTP servers after a limit that may
// change while the server runs; http.Server.IdleTimeout is fixed at its start.
package idleconn

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// Closer closes the connections of a server that stay idle longer than the limit in
// force. Its methods are safe for concurrent use.
type Closer struct {
	limit func() time.Duration

	mu sync.Mutex
	// waits holds the wait of each idle connection. Guarded by mu.
	waits map[net.Conn]*idleWait
}

// New returns a closer. limit returns the idle timeout in force, zero for none.
func New(limit func() time.Duration) *Closer {
	return &Closer{limit: limit, waits: make(map[net.Conn]*idleWait)}
}

// idleWait is one period in which a connection is idle.
type idleWait struct {
	since time.Time
	timer *time.Timer
}

// Changed takes a new state of a connection. It is an http.Server.ConnState hook.
func (c *Closer) Changed(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if w := c.waits[conn]; w != nil {
		w.timer.Stop()
		delete(c.waits, conn)
	}
	if limit := c.limit(); state == http.StateIdle && limit > 0 {
		w := &idleWait{since: time.Now()}
		w.timer = time.AfterFunc(limit, func() { c.expired(conn, w) })
		c.waits[conn] = w
	}
}

// expired closes a connection, or waits on when the limit was raised meanwhile.
func (c *Closer) expired(conn net.Conn, w *idleWait) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.waits[conn] != w {
		return // A request has arrived.
	}
	if left := c.limit() - time.Since(w.since); left > 0 {
		w.timer = time.AfterFunc(left, func() { c.expired(conn, w) })
		return
	}
	delete(c.waits, conn)
	conn.Close()
}

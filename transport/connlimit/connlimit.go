// Package connlimit makes an HTTP server close connections that stay idle too long, take too long to
// send a request header or do not read their responses, and bounds the number of connections. The limits
// of times may change while the server runs, unlike http.Server.IdleTimeout and ReadHeaderTimeout, which
// are fixed when the server starts.
package connlimit

import (
	"container/list"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/balsamstall/balsamstall/state/bytebudget"
)

// Limits returns the current limits. Both functions are called for each request and must not
// block. Zero means no limit.
type Limits struct {
	// Idle bounds the time before the first request and between two requests.
	Idle func() time.Duration
	// Header bounds the time from the first byte of a request to the end of its header.
	Header func() time.Duration
	// MaxConnections bounds the open connections. A connection beyond it is accepted if one that waits
	// for its client can be closed in its place, and is closed at once otherwise. Zero means no bound.
	MaxConnections int
	// Budget holds the bodies that give way to new connections at the bound, and counts what is
	// refused. It may be nil without a bound.
	Budget *bytebudget.Budget
}

const (
	// reservedFiles is the number of descriptors kept for files, targets, peers and the platform.
	reservedFiles = 200
	// callerFraction is the part of the other descriptors that callers' connections may use.
	callerFraction = 2
	// connectionBytes is the memory of a connection whose request is incomplete: goroutine stacks, the
	// server's buffers and the parsed header. bodyread.BenchmarkHalfSentConnection shows 27 KB, which
	// include 8 KB that the budget counts.
	connectionBytes = 32 << 10
	// memoryFraction is the part of the process's memory that connections may use: one in four.
	memoryFraction = 4
	// minStall is the age of an idle connection from which it is closed in place of a new one.
	minStall = time.Second
	// writeTimeout is the time without a byte accepted after which a connection is closed.
	writeTimeout = 10 * time.Second
)

// DefaultConnections returns the bound on callers' connections that follows from the limit of open files
// and the memory of the process.
func DefaultConnections(memoryBytes int64) int {
	bound := memoryBytes / memoryFraction / connectionBytes
	var files syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &files); err == nil && files.Cur < 1<<31 {
		bound = min(bound, (int64(files.Cur)-reservedFiles)/callerFraction)
	}
	return int(max(bound, 1))
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
		limited.setWaiting(true)
		limited.releaseHead()
		limited.setPhase(idle)
	case http.StateClosed:
		limited.setWaiting(false)
		limited.releaseHead()
		limited.setPhase(active)
	default: // The header has been read, or the connection was hijacked.
		limited.setWaiting(false)
		limited.runHead()
		limited.setPhase(active)
	}
}

type listener struct {
	net.Listener
	limits Limits

	mu sync.Mutex
	// open is the number of open connections. Guarded by mu.
	open int
	// waiting holds the connections without a complete header, the one that has waited longest first.
	// Guarded by mu.
	waiting list.List
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if !l.admit() {
			l.limits.Budget.Count(bytebudget.ConnectionRefused)
			_ = c.Close() // Nothing has been read from it.
			continue
		}
		return &conn{Conn: c, listener: l, limits: l.limits}, nil
	}
}

// admit counts a new connection and reports whether it may stay. At the bound, it closes a connection
// that has waited for its client for at least minStall.
func (l *listener) admit() bool {
	l.mu.Lock()
	l.open++
	if l.limits.MaxConnections <= 0 || l.open <= l.limits.MaxConnections {
		l.mu.Unlock()
		return true
	}
	var victim *conn
	if e := l.waiting.Front(); e != nil && time.Since(e.Value.(*conn).waitStart) >= minStall {
		victim = e.Value.(*conn)
		victim.unlistLocked()
	}
	l.mu.Unlock()
	if victim != nil {
		l.limits.Budget.Count(bytebudget.ConnectionEvicted)
		_ = victim.Close() // Its caller may see the end of an idle connection at any time.
		return true
	}
	if l.limits.Budget.EvictStalled() {
		return true
	}
	l.mu.Lock()
	l.open--
	l.mu.Unlock()
	return false
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
	listener *listener
	limits   Limits

	// waitElement is the place in listener.waiting, or nil, and waitStart the time when it was put there.
	// closed is set once the connection does not count any more. Guarded by listener.mu.
	waitElement *list.Element
	waitStart   time.Time
	closed      bool

	// headHolder holds headHeld bytes for the head of the current request. It is nil if these are part of
	// connectionBytes. Both are used by the goroutine that serves the connection.
	headHolder *bytebudget.Holder
	headHeld   int64

	mu sync.Mutex
	// head is the head of the current request as far as it was read. Guarded by mu.
	head head
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
	if size, reading := c.recordRead(b[:n], err); reading && !c.holdHead(size) {
		_ = c.Close() // The budget counts the refusal.
		return 0, io.EOF
	}
	return n, err
}

// recordRead records the result of a read. It returns the memory of the head of the request if the read is part
// of it.
func (c *conn) recordRead(data []byte, err error) (headSize int64, reading bool) {
	n := len(data)
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case n > 0 && c.phase == idle:
		c.setPhaseLocked(readingHeader)
	case n == 0 && err != nil && c.expired:
		// The server would respond with 400 to an incomplete header.
		_ = c.Close() // No caller is left to handle an error.
	}
	if n == 0 || c.phase != readingHeader {
		return 0, false
	}
	c.head.add(data)
	return c.head.bytes, true
}

// Write implements net.Conn. The connection counts as not read once no byte has been accepted for
// writeTimeout.
func (c *conn) Write(b []byte) (int, error) {
	written := 0
	for {
		start := time.Now()
		_ = c.SetWriteDeadline(start.Add(writeTimeout)) // On failure, the write fails too.
		n, err := c.Conn.Write(b[written:])
		written += n
		// An earlier end is an interruption by the server.
		stalled := errors.Is(err, os.ErrDeadlineExceeded) && time.Since(start) >= writeTimeout
		if !stalled || n == 0 {
			return written, err
		}
	}
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.listener.mu.Lock()
	c.unlistLocked()
	if !c.closed {
		c.closed = true
		c.listener.open--
	}
	c.listener.mu.Unlock()
	return c.Conn.Close()
}

// CloseWrite ends the response to a caller that may still be sending, so that the caller can read it.
func (c *conn) CloseWrite() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return errors.ErrUnsupported
}

// setWaiting records whether the connection waits for its client.
func (c *conn) setWaiting(waiting bool) {
	if c.limits.MaxConnections <= 0 {
		return
	}
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.unlistLocked()
	if waiting && !c.closed {
		c.waitStart = time.Now()
		c.waitElement = c.listener.waiting.PushBack(c)
	}
}

// unlistLocked removes the connection from those that wait. The caller holds listener.mu.
func (c *conn) unlistLocked() {
	if c.waitElement != nil {
		c.listener.waiting.Remove(c.waitElement)
		c.waitElement = nil
	}
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
	if p == idle {
		c.head = head{}
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

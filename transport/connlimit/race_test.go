package connlimit

import (
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// crossingConn is a connection on which a request arrives while its limit expires.
type crossingConn struct {
	net.Conn
	expired chan struct{} // Closed when the connection is closed or its reads are ended.
	once    sync.Once

	mu sync.Mutex
	// mu guards the fields below.
	closed   bool
	deadline time.Time
}

func (c *crossingConn) Read(b []byte) (int, error) {
	<-c.expired
	return copy(b, "GET / HTTP/1.1\r\n\r\n"), nil
}

func (c *crossingConn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	c.once.Do(func() { close(c.expired) })
	return nil
}

func (c *crossingConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.deadline = t; !t.IsZero() {
		c.once.Do(func() { close(c.expired) })
	}
	return nil
}

func (c *crossingConn) usable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.closed && c.deadline.IsZero()
}

func TestConnectionWhoseRequestHasBeenReadIsNotClosedAsIdle(t *testing.T) {
	is := is.New(t)
	inner := &crossingConn{expired: make(chan struct{})}
	c := &conn{Conn: inner, limits: Limits{
		Idle:   func() time.Duration { return time.Millisecond },
		Header: func() time.Duration { return 0 },
	}}
	ConnState(c, http.StateIdle)
	n, err := c.Read(make([]byte, 100))
	is.NoErr(err)
	is.True(n > 0)
	is.True(inner.usable())
}

func TestConnectionWhoseHeaderHasBeenReadIsNotClosed(t *testing.T) {
	is := is.New(t)
	inner := &crossingConn{expired: make(chan struct{})}
	c := &conn{Conn: inner, limits: Limits{
		Idle:   func() time.Duration { return 0 },
		Header: func() time.Duration { return time.Millisecond },
	}}
	c.setPhase(readingHeader)
	_, err := c.Read(make([]byte, 100))
	is.NoErr(err)
	ConnState(c, http.StateActive)
	is.True(inner.usable())
}

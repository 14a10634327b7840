package connlimit_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/balsamstall/balsamstall/transport/connlimit"
)

// server is an HTTP server whose limits the test can change.
type server struct {
	idle, header atomic.Int64
	address      string
}

// startServer serves requests. The path of a request is the duration of its handling.
func startServer(t *testing.T, idle, header time.Duration) *server {
	t.Helper()
	s := &server{}
	s.idle.Store(int64(idle))
	s.header.Store(int64(header))
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s.address = lis.Addr().String()
	srv := &http.Server{
		ConnState: connlimit.ConnState,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			pause, _ := time.ParseDuration(r.URL.Path[1:])
			time.Sleep(pause)
			_, _ = io.Copy(w, r.Body)
		}),
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = srv.Serve(connlimit.NewListener(lis, connlimit.Limits{
			Idle:   func() time.Duration { return time.Duration(s.idle.Load()) },
			Header: func() time.Duration { return time.Duration(s.header.Load()) },
		}))
	}()
	t.Cleanup(func() { srv.Close(); <-done })
	return s
}

func (s *server) dial(t *testing.T) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", s.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c, bufio.NewReader(c)
}

// timeUntilClosed returns the time until the server closes the connection, at most 2 s.
func timeUntilClosed(c net.Conn, r *bufio.Reader) time.Duration {
	start := time.Now()
	_ = c.SetReadDeadline(start.Add(2 * time.Second))
	_, _ = r.ReadByte()
	return time.Since(start)
}

func send(t *testing.T, c net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
}

func expectOK(t *testing.T, r *bufio.Reader) {
	t.Helper()
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadAll(resp.Body); err != nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("status %d, error %v", resp.StatusCode, err)
	}
}

// Guards against clients that hold a connection by sending a header byte by byte, in the first
// request or a later one. A limit on each read would not catch them.
func TestSlowHeaderClosesConnection(t *testing.T) {
	for _, reused := range []bool{false, true} {
		s := startServer(t, time.Minute, 200*time.Millisecond)
		c, r := s.dial(t)
		if reused {
			send(t, c, "GET /0s HTTP/1.1\r\nHost: a\r\n\r\n")
			expectOK(t, r)
		}
		start := time.Now()
		go func() {
			for _, b := range []byte("GET /0s HTTP/1.1\r\nHost: a-name-that-does-not-end") {
				if _, err := c.Write([]byte{b}); err != nil {
					return
				}
				time.Sleep(20 * time.Millisecond)
			}
		}()
		timeUntilClosed(c, r)
		if took := time.Since(start); took < 200*time.Millisecond || took > time.Second {
			t.Fatalf("closed after %v, reused connection %v", took, reused)
		}
	}
}

// Guards against a header limit that also covers the body or the handling of a request, and
// against closing a connection whose header takes less than the limit.
func TestHeaderLimitExcludesBodyAndHandling(t *testing.T) {
	s := startServer(t, time.Minute, 200*time.Millisecond)
	c, r := s.dial(t)
	for range 2 {
		send(t, c, "POST /300ms HTTP/1.1\r\n")
		time.Sleep(100 * time.Millisecond)
		send(t, c, "Host: a\r\nContent-Length: 4\r\n\r\nab")
		time.Sleep(300 * time.Millisecond)
		send(t, c, "cd")
		expectOK(t, r)
	}
}

// Guards against connections that stay open without a request, before the first one or after
// it, and against an idle limit that is fixed when the idle phase begins.
func TestIdleConnectionIsClosedAtCurrentLimit(t *testing.T) {
	is := is.New(t)
	s := startServer(t, 200*time.Millisecond, time.Minute)
	c, r := s.dial(t)
	is.True(timeUntilClosed(c, r) < time.Second) // no request yet
	c, r = s.dial(t)
	send(t, c, "GET /300ms HTTP/1.1\r\nHost: a\r\n\r\n")
	expectOK(t, r) // handling does not count as idle
	s.idle.Store(int64(600 * time.Millisecond))
	took := timeUntilClosed(c, r)
	is.True(took > 400*time.Millisecond) // the raised limit applies
	is.True(took < 1500*time.Millisecond)
}

package connlimit_test

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/balsamstall/balsamstall/state/bytebudget"
	"github.com/balsamstall/balsamstall/transport/connlimit"
)

// testTimeout only ends a test that hangs.
const testTimeout = 10 * time.Second

// Guards against connections beyond the bound, against closing one that is being served, and against idle
// connections that keep new ones out.
func TestConnectionBound(t *testing.T) {
	is := is.New(t)
	const bound = 3
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	budget := bytebudget.New(bytebudget.MinBytes, nil)
	release := make(chan struct{})
	srv := &http.Server{ConnState: connlimit.ConnState, Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release })}
	limits := connlimit.Limits{Idle: func() time.Duration { return 0 }, Header: func() time.Duration { return 0 }, MaxConnections: bound, Budget: budget}
	done := make(chan struct{})
	go func() { defer close(done); _ = srv.Serve(connlimit.NewListener(lis, limits)) }()
	t.Cleanup(func() { srv.Close(); <-done })
	dial := func(request string) net.Conn {
		c, err := net.Dial("tcp", lis.Addr().String())
		is.NoErr(err)
		t.Cleanup(func() { c.Close() })
		_ = c.SetDeadline(time.Now().Add(testTimeout))
		_, _ = io.WriteString(c, request)
		return c
	}
	const request = "GET / HTTP/1.1\r\nHost: e\r\n\r\n"
	// read waits for the response, and reports whether it has come or the connection was closed.
	read := func(c net.Conn) (answered, closed bool) {
		n, err := c.Read(make([]byte, 1))
		return n == 1, err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
	}
	isClosed := func(c net.Conn) bool { _, closed := read(c); return closed }
	idle := dial("")
	served := []net.Conn{dial(request), dial(request)}
	is.True(isClosed(dial(request))) // The idle connection is too young to be closed.
	for end := time.Now().Add(testTimeout); budget.GaveWay()["connection_evicted"] == 0; {
		is.True(time.Now().Before(end)) // The idle connection gives way to a new one.
		served = append(served[:2], dial(request))
		time.Sleep(20 * time.Millisecond)
	}
	is.True(isClosed(idle))
	is.True(isClosed(dial(request))) // All others are being served.
	close(release)
	for _, c := range served {
		answered, _ := read(c)
		is.True(answered)
	}
}

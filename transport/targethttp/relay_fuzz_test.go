package targethttp

import (
	"bytes"
	"net"
	"net/http"
	"testing"
	"time"
)

// bytesConn is a connection whose peer sent the given bytes and closed it.
type bytesConn struct {
	net.Conn
	*bytes.Reader
}

func (c bytesConn) Read(b []byte) (int, error) { return c.Reader.Read(b) }

// FuzzRelayedReply guards against replies that crash the reader, and against accepting a reply to
// another request.
func FuzzRelayedReply(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 2\r\n\r\nok"))
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: a\r\n\r\nuntil the end"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nX-Id: b\r\nContent-Length: 1\r\n\r\nxHTTP/1.1 204 No Content\r\nX-Id: a\r\nKeep-Alive: timeout=99999, max\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		x := &exchange{client: New(noMetrics{}), conn: newConn(bytesConn{Reader: bytes.NewReader(data)}, time.Now())}
		reply, err := x.readRelayedReply(&Message{Method: http.MethodGet, MatchesReply: func(h http.Header) bool { return h.Get("X-Id") == "a" }})
		if err == nil && reply.Header.Get("X-Id") != "a" {
			t.Fatalf("accepted a reply with id %q", reply.Header.Get("X-Id"))
		}
	})
}

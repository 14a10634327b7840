package targethttp

import (
	"bufio"
	"io"
	"net"
	"syscall"
	"time"

	"github.com/balsamstall/balsamstall/protocol/status"
)

// readBufferSize is enough for a typical reply of one shard, in bytes.
const readBufferSize = 4 << 10

// conn is a connection to a target. It must be used by one goroutine at a time.
type conn struct {
	net.Conn
	limited limitedReader
	reader  *bufio.Reader
	// opened is the time at which the connection was established.
	opened time.Time
	// lastReply is the time of the last complete reply, zero before the first.
	lastReply time.Time
	// idleDeadline is the time after which the target may close the idle connection, zero if the
	// target sent no idle timeout.
	idleDeadline time.Time
}

// limitedReader returns an error once its limit is used up. Returning io.EOF instead, as
// io.LimitedReader does, would make a reply without a length look complete.
type limitedReader struct {
	src       io.Reader
	remaining int64
}

// Read implements io.Reader.
func (r *limitedReader) Read(p []byte) (int, error) {
	if r.remaining <= 0 {
		return 0, status.New(status.TooLarge, status.Unknown, "the reply exceeds its size limit")
	}
	n, err := r.src.Read(p[:min(int64(len(p)), r.remaining)])
	r.remaining -= int64(n)
	return n, err
}

// newConn wraps a connection that was established at the given time.
func newConn(c net.Conn, now time.Time) *conn {
	cn := &conn{Conn: c, opened: now}
	cn.limited.src = c
	cn.reader = bufio.NewReaderSize(&cn.limited, readBufferSize)
	return cn
}

// setReadLimit sets how many more bytes the reader may read from the connection.
func (c *conn) setReadLimit(n int64) { c.limited.remaining = n }

// alive reports whether an idle connection is still open and has no unread bytes. A target may
// close an idle connection at any time, and a request sent on a closed connection would have an
// unknown outcome.
func (c *conn) alive() bool {
	if c.reader.Buffered() > 0 || !c.idleDeadline.IsZero() && time.Now().After(c.idleDeadline) {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, recvErr := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = recvErr == syscall.EAGAIN || recvErr == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && open
}

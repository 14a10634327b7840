// Package peerrpc carries the protocol between entries (protocol/peerpb) over drpc. Each
// connection starts with mutual challenge-response authentication based on the shared peer key.
// A drpc connection runs one call at a time, so a Pool keeps several connections to each address.
//
// Every error of a Pool is a *status.Error. Its outcome is NotRun only if no byte of the call was
// sent: the dial or the handshake failed, the message was too large, or the context ended while
// the call waited for a connection. Gather describes its own rule.
package peerrpc

import (
	"net"
	"time"

	"github.com/balsamstall/balsamstall/protocol/document"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcstream"
	"storj.io/drpc/drpcwire"
)

// MaxMessageBytes bounds one message in either direction. It leaves room for the largest document, or
// for a part of a journal, with the other fields of the message.
const MaxMessageBytes = document.MaxSize + 64<<10

// frameOverheadBytes is added to the reader's limit for the framing of a message.
const frameOverheadBytes = 64 << 10

// retainedBufferBytes is the size above which a connection drops its buffer after a message, so
// that rare large messages do not raise memory use permanently.
const retainedBufferBytes = 64 << 10

// writeTimeout bounds each write to a connection. A peer that stops reading would otherwise block
// the writer for as long as TCP retransmits.
const writeTimeout = 10 * time.Second

// managerOptions returns the drpc options shared by clients and servers.
func managerOptions(inactivity time.Duration) drpcmanager.Options {
	return drpcmanager.Options{
		Reader:            drpcwire.ReaderOptions{MaximumBufferSize: MaxMessageBytes + frameOverheadBytes},
		Stream:            drpcstream.Options{MaximumBufferSize: retainedBufferBytes},
		InactivityTimeout: inactivity,
	}
}

// writeDeadlineConn sets a deadline on every write.
type writeDeadlineConn struct{ net.Conn }

func (c writeDeadlineConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

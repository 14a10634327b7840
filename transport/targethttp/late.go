package targethttp

import "time"

const (
	// lateReplyTimeout is the time after the cancellation of an attempt for which its reply is read.
	// The reply may have been sent before the target noticed the cancellation.
	lateReplyTimeout = time.Second
	// maxLateReplies limits the number of late replies that are read at the same time.
	maxLateReplies = 64
)

// halfCloser is a connection whose sending side can be closed. *net.TCPConn implements it.
type halfCloser interface{ CloseWrite() error }

// readLate ends a canceled attempt whose message was sent: it closes the sending side of the
// connection, which cancels the work on the target, and reads the reply in the background. It returns
// false, and does nothing, if the reply has begun to arrive or the connection must be closed at once.
func (x *exchange) readLate(m *Message) bool {
	half, ok := x.conn.Conn.(halfCloser)
	if !ok || m.size() > maxInlineWriteBytes || x.conn.limited.remaining != MaxHeaderBytes || x.conn.reader.Buffered() > 0 {
		return false
	}
	if x.client.lateReplies.Add(1) > maxLateReplies {
		x.client.lateReplies.Add(-1)
		return false
	}
	x.pool.forget()
	go func() {
		defer x.client.lateReplies.Add(-1)
		defer x.conn.Close()
		x.conn.SetDeadline(time.Now().Add(lateReplyTimeout))
		if half.CloseWrite() != nil {
			return
		}
		if reply, err := x.readRelayedReply(m); err == nil {
			m.OnLateReply(reply)
		}
	}()
	return true
}

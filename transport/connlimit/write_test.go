package connlimit

import (
	"errors"
	"net"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Guards against a caller that reads slowly and is cut off, and against one that does not read and holds
// its connection. The time is that of the synctest bubble.
func TestWriteEndsWithoutProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		server, client := net.Pipe()
		c := &conn{Conn: server, listener: &listener{}}
		const read = 5
		go func() {
			for range read {
				time.Sleep(writeTimeout - time.Second)
				_, _ = client.Read(make([]byte, 1))
			}
		}()
		n, err := c.Write(make([]byte, read+1))
		is.Equal(n, read)
		is.True(errors.Is(err, os.ErrDeadlineExceeded))
		is.NoErr(c.Close())
		is.NoErr(client.Close())
	})
}

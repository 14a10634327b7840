package targethttp

import (
	"bytes"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/balsamstall/balsamstall/protocol/status"
	"github.com/balsamstall/balsamstall/state/bytebudget"
)

// stallingBody is a body that sends size bytes and then waits for release.
type stallingBody struct {
	size    int
	release chan struct{}
	waiting *sync.WaitGroup
	once    sync.Once
}

func (s *stallingBody) Read(p []byte) (int, error) {
	if s.size == 0 {
		s.once.Do(s.waiting.Done)
		<-s.release
		return 0, bytes.ErrTooLarge
	}
	n := min(len(p), s.size)
	s.size -= n
	return n, nil
}

// Guards against endless bodies from hundreds of targets that exhaust the memory of a small host,
// against a budget that leaks, and against refusing typical replies while it is exhausted.
func TestLargeBodiesShareBudget(t *testing.T) {
	is := is.New(t)
	const readers, size = 200, 900 << 10
	budget := bytebudget.New(bytebudget.MinBytes, nil)
	held := func() int64 { return budget.Held()[bytebudget.Reply.String()] }
	release := make(chan struct{})
	var waiting, ended sync.WaitGroup
	var refused atomic.Int64
	for range readers {
		waiting.Add(1)
		body := &stallingBody{size: size, release: release, waiting: &waiting}
		ended.Go(func() {
			if _, err := readReplyBody(budget, body, -1); status.CodeOf(err) == status.TooLarge {
				refused.Add(1)
				body.once.Do(waiting.Done)
			}
		})
	}
	waiting.Wait()
	maxHeld := int64(bytebudget.MinBytes / size)
	is.True(held() <= bytebudget.MinBytes)
	is.True(refused.Load() >= readers-maxHeld-1)
	rest := budget.Hold(bytebudget.Running)
	rest.Force(bytebudget.MinBytes)
	const typical = bytebudget.SmallBytes
	_, err := readReplyBody(budget, bytes.NewReader(make([]byte, typical)), typical)
	is.NoErr(err) // A typical reply can still be read.
	_, err = readReplyBody(budget, bytes.NewReader(make([]byte, typical)), -1)
	is.NoErr(err)
	rest.Close()
	close(release)
	ended.Wait()
	is.Equal(held(), int64(0))
	_, err = readReplyBody(budget, bytes.NewReader(make([]byte, size)), size)
	is.NoErr(err)
	is.Equal(held(), int64(0))
}

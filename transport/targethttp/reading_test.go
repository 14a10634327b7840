package targethttp

import (
	"bytes"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/balsamstall/balsamstall/protocol/status"
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
// against a budget that leaks, and against counting typical replies against it.
func TestLargeBodiesShareBudget(t *testing.T) {
	is := is.New(t)
	const readers, size = 200, 900 << 10
	var budget readBudget
	release := make(chan struct{})
	var waiting, ended sync.WaitGroup
	var refused atomic.Int64
	for range readers {
		waiting.Add(1)
		body := &stallingBody{size: size, release: release, waiting: &waiting}
		ended.Go(func() {
			if _, err := budget.read(body, -1); status.CodeOf(err) == status.TooLarge {
				refused.Add(1)
				body.once.Do(waiting.Done)
			}
		})
	}
	waiting.Wait()
	maxCounted := int64(maxReadBudgetBytes / (size - uncountedBodyBytes))
	is.True(budget.used.Load() <= maxReadBudgetBytes)
	is.True(refused.Load() >= readers-maxCounted-1)
	_, err := budget.read(bytes.NewReader(make([]byte, uncountedBodyBytes)), uncountedBodyBytes)
	is.NoErr(err) // A typical reply can still be read.
	close(release)
	ended.Wait()
	is.Equal(budget.used.Load(), int64(0))
	_, err = budget.read(bytes.NewReader(make([]byte, size)), size)
	is.NoErr(err)
	is.Equal(budget.used.Load(), int64(0))
}

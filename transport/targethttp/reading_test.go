package targethttp

import (
	"bytes"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/balsamstall/balsamstall/protocol/status"
)

// stalled is a body that sends size bytes and then waits for release.
type stalled struct {
	size    int
	release chan struct{}
	waiting *sync.WaitGroup
	once    sync.Once
}

func (s *stalled) Read(p []byte) (int, error) {
	if s.size == 0 {
		s.once.Do(s.waiting.Done)
		<-s.release
		return 0, bytes.ErrTooLarge
	}
	n := min(len(p), s.size)
	s.size -= n
	return n, nil
}

// Guards against bodies without end at hundreds of targets that fill the memory of a small
// host, and against a budget that leaks or that usual replies use up.
func TestLargeBodiesShareABudget(t *testing.T) {
	is := is.New(t)
	const readers, size = 200, 900 << 10
	var budget readingBudget
	release := make(chan struct{})
	var waiting, ended sync.WaitGroup
	var refused atomic.Int64
	for range readers {
		waiting.Add(1)
		body := &stalled{size: size, release: release, waiting: &waiting}
		ended.Go(func() {
			if _, err := budget.read(body, -1); status.CodeOf(err) == status.TooLarge {
				refused.Add(1)
				body.once.Do(waiting.Done)
			}
		})
	}
	waiting.Wait()
	most := int64(maxReadingBytes / (size - freeReadingBytes))
	is.True(budget.used.Load() <= maxReadingBytes)
	is.True(refused.Load() >= readers-most-1)
	_, err := budget.read(bytes.NewReader(make([]byte, freeReadingBytes)), freeReadingBytes)
	is.NoErr(err) // A usual reply is read all the same.
	close(release)
	ended.Wait()
	is.Equal(budget.used.Load(), int64(0))
	_, err = budget.read(bytes.NewReader(make([]byte, size)), size)
	is.NoErr(err)
	is.Equal(budget.used.Load(), int64(0))
}

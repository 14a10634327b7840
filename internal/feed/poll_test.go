package feed

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/balsamstall/balsamstall/protocol/platformapi"
	"github.com/balsamstall/balsamstall/protocol/published"
	"github.com/balsamstall/balsamstall/protocol/status"
)

// openWatch is a source on which watches that wait stay open until the context ends.
type openWatch struct {
	fakeSource
	waiting chan struct{}
}

func (s *openWatch) Watch(ctx context.Context, after uint64, wait time.Duration) (published.Changes, error) {
	if wait == 0 {
		return s.fakeSource.Watch(ctx, after, wait)
	}
	s.waiting <- struct{}{}
	<-ctx.Done()
	return published.Changes{}, status.New(status.Canceled, "", "watch canceled")
}

// Guards against a read that is due now and waits for the open watch of another document.
func TestCallWithoutWaitDoesNotJoinAnOpenWatch(t *testing.T) {
	for _, key := range []string{platformapi.SheetKey, platformapi.TargetsKey} {
		t.Run(key, func(t *testing.T) {
			is := is.New(t)
			source := &openWatch{fakeSource: fakeSource{stale: stateAt(5, "a")}, waiting: make(chan struct{}, 1)}
			now := time.Now()
			f := New(source, zerolog.Nop(), WithClock(func() time.Time { return now }))
			doc, err := f.Get(t.Context(), platformapi.TargetsKey)
			is.NoErr(err)
			watching, cancel := context.WithCancel(t.Context())
			done := make(chan struct{})
			go func() {
				defer close(done)
				_, _, err := f.Watch(watching, platformapi.TargetsKey, doc.Version, time.Minute)
				is.Equal(status.CodeOf(err), status.Canceled)
			}()
			<-source.waiting
			f.mu.Lock()
			now = now.Add(time.Second) // The last answer is too old to serve the next call.
			f.mu.Unlock()
			answered := make(chan struct{})
			go func() {
				defer close(answered)
				_, _, err := f.Watch(t.Context(), key, doc.Version, 0)
				is.True(err == nil || t.Failed())
			}()
			select {
			case <-answered:
			case <-time.After(5 * time.Second):
				t.Error("the call waits for the watch")
			}
			cancel()
			<-done
			<-answered
		})
	}
}

package platformhttp

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/balsamstall/balsamstall/protocol/platformapi"
	"github.com/balsamstall/balsamstall/protocol/status"
	"github.com/matryer/is"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func newClient(t *testing.T, handler http.HandlerFunc) *Client {
	t.Helper()
	server := httptest.NewServer(handler)
	client, err := New(server.Listener.Addr().String(), "entry-1", Options{})
	is.New(t).NoErr(err)
	t.Cleanup(func() {
		client.Close()
		server.Close()
	})
	return client
}

// Guards against calls that the platform cannot attribute to an entry, and against reporting a
// change when a watch ended without one.
func TestWatchSendsParametersAndReportsChanges(t *testing.T) {
	is := is.New(t)
	client := newClient(t, func(w http.ResponseWriter, r *http.Request) {
		is.Equal(r.Header.Get(EntryHeader), "entry-1")
		is.Equal(r.URL.Path, platformapi.WatchPath+"sheet")
		is.Equal(r.URL.Query().Get("wait_ms"), "1500")
		if r.URL.Query().Get("after") == "7" {
			w.WriteHeader(http.StatusNoContent)
			return
		}
		w.Write([]byte(`{"key":"sheet","version":7,"value":{"revision":3}}`))
	})
	doc, changed, err := client.Watch(context.Background(), "sheet", 6, 1500*time.Millisecond)
	is.NoErr(err)
	is.True(changed)
	is.Equal(doc.Version, uint64(7))
	is.Equal(string(doc.Value), `{"revision":3}`)
	_, changed, err = client.Watch(context.Background(), "sheet", 7, 1500*time.Millisecond)
	is.NoErr(err)
	is.True(!changed)
}

// Guards against a backoff that ignores the platform's retry delay.
func TestErrorsCarryCodeAndRetryAfter(t *testing.T) {
	for _, c := range []struct {
		httpStatus int
		header     string
		code       status.Code
		retryAfter time.Duration
	}{
		{http.StatusTooManyRequests, "3", status.RateLimited, 3 * time.Second},
		{http.StatusServiceUnavailable, "99999", status.Unavailable, maxRetryAfter},
		{http.StatusServiceUnavailable, "soon", status.Unavailable, 0},
		{http.StatusNotFound, "", status.NotFound, 0},
	} {
		is := is.New(t)
		client := newClient(t, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Retry-After", c.header)
			w.WriteHeader(c.httpStatus)
		})
		_, err := client.Get(context.Background(), "sheet")
		is.Equal(status.From(err).Code, c.code)
		is.Equal(status.From(err).RetryAfter, c.retryAfter)
	}
}

// Guards against exhausting memory with a faulty or malicious response.
func TestTooLargeAnswerIsRefused(t *testing.T) {
	is := is.New(t)
	client := newClient(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Write([]byte(`{"value":"` + strings.Repeat("x", MaxValueBytes) + `"}`))
	})
	_, err := client.Get(context.Background(), "sheet")
	is.Equal(status.CodeOf(err), status.TooLarge)
}

// Guards against errors without a code when the platform is down or sends invalid data.
func TestFailuresAreTyped(t *testing.T) {
	is := is.New(t)
	client := newClient(t, func(w http.ResponseWriter, _ *http.Request) { w.Write([]byte(`{`)) })
	_, err := client.Hosts(context.Background())
	is.Equal(status.CodeOf(err), status.Internal)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err = client.Hosts(ctx)
	is.Equal(status.CodeOf(err), status.Canceled)
	unreachable, err := New("127.0.0.1:1", "entry-1", Options{})
	is.NoErr(err)
	_, err = unreachable.Hosts(context.Background())
	is.Equal(status.CodeOf(err), status.ConnectionFailed)
}

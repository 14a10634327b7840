package targethttp

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/balsamstall/balsamstall/protocol/ids"
	"github.com/balsamstall/balsamstall/protocol/requestrate"
	"github.com/balsamstall/balsamstall/protocol/sheet"
	"github.com/balsamstall/balsamstall/protocol/status"
	"github.com/balsamstall/balsamstall/protocol/targetapi"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakeMetrics counts the reported events.
type fakeMetrics struct{ silent, mismatch atomic.Int64 }

func (c *fakeMetrics) SilentConnection() { c.silent.Add(1) }
func (c *fakeMetrics) ReplyMismatch()    { c.mismatch.Add(1) }

// newTestClient returns a client of a server with the handler, known as target-1, and its metrics.
func newTestClient(t *testing.T, handler http.HandlerFunc, connections int) (*Client, *fakeMetrics) {
	t.Helper()
	srv := httptest.NewServer(handler)
	c := &fakeMetrics{}
	client := New(c)
	client.Configure([]sheet.Target{{ID: "target-1", Address: srv.Listener.Addr().String()}}, func(sheet.Target) int { return connections })
	t.Cleanup(func() {
		client.Close()
		srv.CloseClientConnections()
		srv.Close()
	})
	return client, c
}

func testRequest(n int) *targetapi.SearchRequest {
	return &targetapi.SearchRequest{
		Identity: targetapi.Identity{
			RequestID: fmt.Sprintf("r-%d", n), Attempt: 1, Workspace: "asan-toolroom", Service: "quote-desk-1",
			Snapshot: ids.Snapshot{IndexVersion: 1, ShardMapEpoch: 1},
		},
		Query: "clamp",
	}
}

func decode(r *http.Request) targetapi.SearchRequest {
	var req targetapi.SearchRequest
	_ = json.NewDecoder(r.Body).Decode(&req)
	return req
}

// echo replies with the identity of the request and one hit.
func echo(w http.ResponseWriter, r *http.Request) {
	req := decode(r)
	_ = json.NewEncoder(w).Encode(targetapi.SearchReply{Identity: req.Identity, Hits: []targetapi.Hit{{ID: "a"}}})
}

// Guards against accepting a reply to another request, attempt, workspace, shard or snapshot, or a
// hit of another workspace. Each must be counted and its connection closed.
func TestMismatchedRepliesAreDropped(t *testing.T) {
	changes := map[string]func(*targetapi.SearchReply){
		"request":   func(r *targetapi.SearchReply) { r.RequestID = "r-2" },
		"attempt":   func(r *targetapi.SearchReply) { r.Attempt++ },
		"workspace": func(r *targetapi.SearchReply) { r.Workspace = "molina-shop" },
		"shard":     func(r *targetapi.SearchReply) { r.Shard++ },
		"snapshot":  func(r *targetapi.SearchReply) { r.Snapshot.IndexVersion++ },
		"hit":       func(r *targetapi.SearchReply) { r.Hits = []targetapi.Hit{{ID: "x", Workspace: "molina-shop"}} },
	}
	for name, change := range changes {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			client, c := newTestClient(t, func(w http.ResponseWriter, r *http.Request) {
				reply := targetapi.SearchReply{Identity: decode(r).Identity}
				change(&reply)
				_ = json.NewEncoder(w).Encode(reply)
			}, 2)
			_, err := client.Search(context.Background(), "target-1", testRequest(1), Options{})
			is.Equal(status.CodeOf(err), status.ReplyMismatch)
			is.Equal(status.From(err).Outcome, status.Unknown)
			is.Equal(c.mismatch.Load(), int64(1))
			is.Equal(client.Connections("target-1"), 0) // The connection is closed.
		})
	}
}

// Guards against the outcome NotRun for a refusal that belongs to another attempt.
func TestMismatchedRefusalHasUnknownOutcome(t *testing.T) {
	is := is.New(t)
	mismatched := false
	client, _ := newTestClient(t, func(w http.ResponseWriter, r *http.Request) {
		refusal := targetapi.Refusal{Identity: decode(r).Identity, Code: status.Shed, NotRun: true, RetryAfterMS: 20}
		if mismatched {
			refusal.RequestID = "r-2"
		}
		w.WriteHeader(http.StatusServiceUnavailable)
		_ = json.NewEncoder(w).Encode(refusal)
	}, 2)
	_, err := client.Search(context.Background(), "target-1", testRequest(1), Options{})
	is.Equal(status.From(err).Outcome, status.NotRun)
	is.Equal(status.From(err).RetryAfter, 20*time.Millisecond)
	mismatched = true
	_, err = client.Search(context.Background(), "target-1", testRequest(1), Options{})
	is.Equal(status.From(err).Outcome, status.Unknown)
}

// Guards against the outcome Unknown for a request that never left this process, and against NotRun
// for one that was canceled after it was sent.
func TestOutcomeDependsOnFirstByte(t *testing.T) {
	is := is.New(t)
	received := make(chan struct{}, 1)
	client, _ := newTestClient(t, func(_ http.ResponseWriter, r *http.Request) {
		decode(r)
		received <- struct{}{}
		<-r.Context().Done()
	}, 1)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() {
		_, err := client.Search(ctx, "target-1", testRequest(1), Options{})
		done <- err
	}()
	<-received
	waitCtx, cancelWait := context.WithTimeout(context.Background(), 10*time.Millisecond)
	defer cancelWait()
	_, err := client.Search(waitCtx, "target-1", testRequest(2), Options{})
	is.Equal(status.From(err).Outcome, status.NotRun) // The only connection is busy.
	cancel()
	is.Equal(status.From(<-done).Outcome, status.Unknown)

	lis, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := lis.Addr().String()
	lis.Close()
	client.Configure([]sheet.Target{{ID: "target-2", Address: address}}, func(sheet.Target) int { return 1 })
	_, err = client.Search(context.Background(), "target-2", testRequest(3), Options{})
	is.Equal(status.From(err).Outcome, status.NotRun)
}

// Guards against an attempt that is sent although its target was removed while it obtained its connection.
func TestAttemptIsNotSentToATargetRemovedMeanwhile(t *testing.T) {
	is := is.New(t)
	var received atomic.Int64
	client, _ := newTestClient(t, func(w http.ResponseWriter, r *http.Request) {
		received.Add(1)
		echo(w, r)
	}, 1)
	_, err := client.Search(t.Context(), "target-1", testRequest(1), Options{MaySend: func(string) error {
		client.Configure(nil, nil)
		return nil
	}})
	is.True(err != nil)
	is.Equal(status.From(err).Outcome, status.NotRun)
	is.Equal(received.Load(), int64(0))
}

// Guards against more connections than this entry's share, and against a waiter that is never
// woken.
func TestConnectionsStayWithinShare(t *testing.T) {
	is := is.New(t)
	client, _ := newTestClient(t, echo, 3)
	var wg sync.WaitGroup
	var failed atomic.Int64
	var maxOpen atomic.Int64
	for n := range 200 {
		wg.Go(func() {
			opt := Options{FreshConnection: n%5 == 0}
			if _, err := client.Search(context.Background(), "target-1", testRequest(n), opt); err != nil {
				failed.Add(1)
			}
			if open := int64(client.Connections("target-1")); open > maxOpen.Load() {
				maxOpen.Store(open)
			}
		})
	}
	wg.Wait()
	is.Equal(failed.Load(), int64(0))
	is.True(maxOpen.Load() <= 3)
}

// Guards against an attempt that waits on a silent connection although the target still replies on
// other connections. The idle connections that may be silent too are closed.
func TestSilentConnectionIsReplaced(t *testing.T) {
	is := is.New(t)
	client, c := newTestClient(t, func(w http.ResponseWriter, r *http.Request) {
		req := decode(r)
		if req.RequestID == "r-0" {
			<-r.Context().Done() // This connection stays silent.
			return
		}
		_ = json.NewEncoder(w).Encode(targetapi.SearchReply{Identity: req.Identity})
	}, 4)
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	done := make(chan error, 1)
	go func() {
		_, err := client.Search(ctx, "target-1", testRequest(0), Options{SilentAfter: 50 * time.Millisecond})
		done <- err
	}()
	for n := 1; ; n++ {
		select {
		case err := <-done:
			is.Equal(status.CodeOf(err), status.ConnectionSilent)
			is.Equal(status.From(err).Outcome, status.Unknown)
			is.Equal(c.silent.Load(), int64(1))
			return
		default:
			_, err := client.Search(ctx, "target-1", testRequest(n), Options{})
			is.NoErr(err)
		}
	}
}

// Guards against attempts that all wait on silent connections although the target still replies on
// new ones. No attempt gets a reply that would show the connections to be silent.
func TestAllConnectionsSilent(t *testing.T) {
	is := is.New(t)
	client, c := newTestClient(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == targetapi.StatusPath {
			_ = json.NewEncoder(w).Encode(targetapi.Status{})
			return
		}
		decode(r)
		<-r.Context().Done()
	}, 4)
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	_, err := client.Search(ctx, "target-1", testRequest(0), Options{SilentAfter: 20 * time.Millisecond})
	is.Equal(status.CodeOf(err), status.ConnectionSilent)
	is.Equal(c.silent.Load(), int64(1))
}

// Guards against attempts that wait for a dial after a loss of connections: the pool opens spare
// connections up to its recent peak, and none to a target that is not in use.
func TestSparesFollowRecentPeak(t *testing.T) {
	is := is.New(t)
	client, _ := newTestClient(t, echo, 8)
	client.OpenSpares()
	is.Equal(client.Connections("target-1"), 0)
	var wg sync.WaitGroup
	for n := range 3 {
		wg.Go(func() { _, _ = client.Search(context.Background(), "target-1", testRequest(n), Options{}) })
	}
	wg.Wait()
	client.DropIdle()
	client.OpenSpares()
	p := client.pool("target-1")
	idle := func() int {
		p.mu.Lock()
		defer p.mu.Unlock()
		return len(p.idle)
	}
	for end := time.Now().Add(30 * time.Second); idle() < 2 && time.Now().Before(end); time.Sleep(time.Millisecond) {
	}
	is.True(idle() >= 2)
	is.True(client.Connections("target-1") <= 8)
}

// Guards against an unknown outcome that is caused only by sending a request on an idle connection
// that the target had already closed.
func TestConnectionClosedWhileIdleIsNotUsed(t *testing.T) {
	is := is.New(t)
	srv := httptest.NewServer(http.HandlerFunc(echo))
	defer srv.Close()
	client := New(&fakeMetrics{})
	defer client.Close()
	client.Configure([]sheet.Target{{ID: "target-1", Address: srv.Listener.Addr().String()}}, func(sheet.Target) int { return 2 })
	for n := range 20 {
		_, err := client.Search(context.Background(), "target-1", testRequest(n), Options{})
		is.NoErr(err)
		srv.CloseClientConnections()
	}
}

// Guards against closing idle connections because the deadline of their last attempt has passed.
func TestConnectionOutlivesDeadlineOfLastAttempt(t *testing.T) {
	is := is.New(t)
	client, _ := newTestClient(t, echo, 1)
	for n := range 3 {
		ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
		_, err := client.Search(ctx, "target-1", testRequest(n), Options{})
		is.NoErr(err)
		<-ctx.Done()
		cancel()
		p := client.pool("target-1")
		is.Equal(len(p.idle), 1)
		is.True(p.idle[0].alive())
	}
}

// Guards against a reply that exhausts the memory of the entry.
func TestOversizedReplyIsRefused(t *testing.T) {
	is := is.New(t)
	client, _ := newTestClient(t, func(w http.ResponseWriter, r *http.Request) {
		decode(r)
		block := make([]byte, 64<<10)
		for range 2 * MaxReplyBytes / len(block) {
			if _, err := w.Write(block); err != nil {
				return
			}
		}
	}, 2)
	_, err := client.Search(context.Background(), "target-1", testRequest(1), Options{})
	is.True(err != nil)
	is.Equal(status.From(err).Outcome, status.Unknown)
}

// FuzzDecodeReply guards against accepting a reply with another identity, and against errors without
// a code.
func FuzzDecodeReply(f *testing.F) {
	want := testRequest(1).Identity
	valid, _ := json.Marshal(targetapi.SearchReply{Identity: want, Hits: []targetapi.Hit{{ID: "a"}}})
	f.Add(200, valid)
	f.Add(503, []byte(`{"code":"shed","not_run":true}`))
	f.Add(200, []byte(`{"hits":null`))
	f.Fuzz(func(t *testing.T, code int, body []byte) {
		reply, _, err := decodeReply(code, body, want)
		if err == nil && reply.Identity != want {
			t.Fatal("a reply with another identity was accepted")
		}
		if err != nil && status.CodeOf(err) == "" {
			t.Fatal("an error has no code")
		}
	})
}

// BenchmarkSearch measures the CPU time of one attempt, with the test server in the same process.
func BenchmarkSearch(b *testing.B) {
	srv := httptest.NewServer(http.HandlerFunc(echo))
	defer srv.Close()
	client := New(&fakeMetrics{})
	defer client.Close()
	client.Configure([]sheet.Target{{ID: "target-1", Address: srv.Listener.Addr().String()}}, func(sheet.Target) int { return 16 })
	b.ReportAllocs()
	for b.Loop() {
		if _, err := client.Search(context.Background(), "target-1", testRequest(1), Options{}); err != nil {
			b.Fatal(err)
		}
	}
}

// Guards against connections to targets outside an entry's subset that stay open and use up the
// connections of other entries.
func TestTransientConnectionsAreClosedAfterUse(t *testing.T) {
	is := is.New(t)
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok")) })}
	go func() { _ = srv.Serve(lis) }()
	defer srv.Close()
	c := New(noMetrics{})
	defer c.Close()
	target := []sheet.Target{{ID: "t", Address: lis.Addr().String()}}
	message := &Message{Method: http.MethodGet, Head: []byte("GET / HTTP/1.1\r\nHost: t\r\n\r\n")}
	for share, kept := range map[int]int{0: 0, 1: 1} {
		c.Configure(target, func(sheet.Target) int { return share })
		reply, err := c.Exchange(t.Context(), "t", message, Options{})
		is.NoErr(err)
		is.Equal(reply.HTTPStatus, http.StatusOK)
		is.Equal(c.Connections("t"), kept) // share
	}
}

// noMetrics discards all events.
type noMetrics struct{}

func (noMetrics) SilentConnection() {}
func (noMetrics) ReplyMismatch()    {}

// Guards against a waiting attempt that is sent before the reply on its connection was applied.
func TestWaitingAttemptSeesTheReplyOnItsConnection(t *testing.T) {
	replied := make(chan struct{})
	client, _ := newTestClient(t, func(w http.ResponseWriter, r *http.Request) {
		<-replied
		echo(w, r)
	}, 1)
	for name, send := range map[string]func(apply func(), maySend func(string) error) error{
		"search": func(apply func(), maySend func(string) error) error {
			_, err := client.Search(t.Context(), "target-1", testRequest(1), Options{MaySend: maySend, OnSearchEnd: func(*requestrate.Field, error) { apply() }})
			return err
		},
		"exchange": func(apply func(), maySend func(string) error) error {
			m := &Message{Method: http.MethodGet, Head: []byte("GET / HTTP/1.1\r\nHost: t\r\n\r\n"), OnReply: func(*Reply) { apply() }}
			_, err := client.Exchange(t.Context(), "target-1", m, Options{MaySend: maySend})
			return err
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var closed atomic.Bool
			maySend := func(string) error {
				if closed.Load() {
					return status.New(status.NoReplica, status.NotRun, "closed")
				}
				return nil
			}
			apply := func() {
				time.Sleep(20 * time.Millisecond) // Time for the other attempt to be sent.
				closed.Store(true)
			}
			results := make(chan error, 2)
			for range 2 {
				go func() { results <- send(apply, maySend) }()
			}
			time.Sleep(20 * time.Millisecond) // One attempt waits for the connection.
			select {
			case <-replied:
			default:
				close(replied)
			}
			// The waiting attempt may return first: it gets the connection before the other one returns.
			codes := []status.Code{status.CodeOf(<-results), status.CodeOf(<-results)}
			slices.Sort(codes)
			is.Equal(codes, []status.Code{"", status.NoReplica}) // Exactly one attempt is sent.
		})
	}
}

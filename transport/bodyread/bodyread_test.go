package bodyread

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/balsamstall/balsamstall/state/bytebudget"
	"github.com/balsamstall/balsamstall/transport/connlimit"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	maxBody = 1 << 20
	// testTimeout only ends a test that hangs.
	testTimeout = 30 * time.Second
)

// serve starts a server that answers with the size of the body, or with responseBytes if they are not 0.
func serve(t testing.TB, budget *bytebudget.Budget, responseBytes int) string {
	address, _ := serveCounted(t, budget, responseBytes)
	return address
}

// serveCounted is like serve and also returns the number of handlers that have ended.
func serveCounted(t testing.TB, budget *bytebudget.Budget, responseBytes int) (address string, ended *atomic.Int64) {
	ingress := NewIngress(budget)
	ended = new(atomic.Int64)
	srv := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer ended.Add(1)
		incoming := ingress.Body(w, r)
		body, err := incoming.Read(maxBody, testTimeout)
		if err != nil {
			incoming.Refuse()
			w.Header().Set("Connection", "close")
			w.WriteHeader(map[bool]int{true: http.StatusServiceUnavailable, false: http.StatusBadRequest}[err.RetryAfter > 0])
			return
		}
		incoming.Close()
		if responseBytes > 0 {
			w.Header().Set("Content-Length", fmt.Sprint(responseBytes))
			ingress.WriteResponse(w, make([]byte, responseBytes))
			return
		}
		ingress.WriteResponse(w, fmt.Append(nil, len(body)))
	}))
	if responseBytes == 0 { // Otherwise connlimit would also end a response that is not read.
		srv.Listener = connlimit.NewListener(srv.Listener, connlimit.Limits{
			Idle: func() time.Duration { return testTimeout }, Header: func() time.Duration { return testTimeout }})
		srv.Config.ConnState = connlimit.ConnState
	}
	srv.Start()
	t.Cleanup(srv.Close)
	return srv.Listener.Addr().String(), ended
}

// client is a connection with a request that announces size bytes of body.
type client struct {
	net.Conn
	reader *bufio.Reader
}

func dial(t testing.TB, address string, size int) *client {
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	_, _ = fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: e\r\nContent-Length: %d\r\n\r\n", size)
	return &client{Conn: c, reader: bufio.NewReader(c)}
}

func (c *client) send(n int) { _, _ = io.WriteString(c, strings.Repeat("x", n)) }

// answer returns the status of the response, its body and whether the connection closes.
func (c *client) answer(t testing.TB) (status int, body string, closes bool) {
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	data, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data), resp.Close
}

// await waits until the budget holds at least n bytes of arriving bodies.
func await(t testing.TB, b *bytebudget.Budget, n int64) {
	for end := time.Now().Add(testTimeout); b.Held()["arriving"] < n; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d bytes have not arrived: %v", n, b.Held())
		}
	}
}

// Guards against a stalled body that keeps its bytes while others need them, against one that gives way
// without an answer that it has not run, and against bytes that leak.
func TestStalledBodyGivesWay(t *testing.T) {
	is := is.New(t)
	const size = 128 << 10
	budget := bytebudget.New(3*size, nil) // Enough for one body and its copy beside the reserve.
	address := serve(t, budget, 0)
	stalled := dial(t, address, size)
	stalled.send(size - 1)
	await(t, budget, size-1)
	var status int
	for end := time.Now().Add(testTimeout); status != http.StatusOK && time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		// Refused until the first body has been stalled long enough to give way.
		c := dial(t, address, size)
		c.send(size)
		status, _, _ = c.answer(t)
		is.True(status == http.StatusOK || status == http.StatusServiceUnavailable)
	}
	is.Equal(status, http.StatusOK)
	status, _, closes := stalled.answer(t)
	is.Equal(status, http.StatusServiceUnavailable)
	is.True(closes)
	for kind, held := range budget.Held() {
		is.True(held == 0 || kind == "response") // The response is written after the test has read it.
	}
}

// Guards against small requests that are refused beside large ones that make progress, and against large
// ones in the reserve.
func TestSmallRequestsUseReserve(t *testing.T) {
	is := is.New(t)
	budget := bytebudget.New(1<<20, nil)
	address := serve(t, budget, 0)
	crowd := budget.Hold(bytebudget.Running) // It never gives way.
	defer crowd.Close()
	is.True(crowd.Acquire(1<<20 - 1<<20/8))
	small, large := dial(t, address, bytebudget.SmallBytes), dial(t, address, bytebudget.SmallBytes+1)
	small.send(bytebudget.SmallBytes)
	status, body, _ := small.answer(t)
	is.Equal(status, http.StatusOK)
	is.Equal(body, "16384")
	large.send(bytebudget.SmallBytes + 1)
	status, _, closes := large.answer(t)
	is.Equal(status, http.StatusServiceUnavailable)
	is.True(closes)
}

// Guards against an honest client that is ended while the budget has room: it pauses for longer than a
// stalled body may when others need its bytes, and it announces no length.
func TestSlowBodyIsServed(t *testing.T) {
	is := is.New(t)
	c, err := net.Dial("tcp", serve(t, nil, 0))
	is.NoErr(err)
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	_, _ = io.WriteString(c, "POST / HTTP/1.1\r\nHost: e\r\nTransfer-Encoding: chunked\r\n\r\n")
	for range 3 {
		_, _ = io.WriteString(c, "1\r\nx\r\n")
		time.Sleep(bytebudget.MinStall / 2)
	}
	_, _ = io.WriteString(c, "0\r\n\r\n")
	status, body, _ := (&client{Conn: c, reader: bufio.NewReader(c)}).answer(t)
	is.Equal(status, http.StatusOK)
	is.Equal(body, "3")
}

// Guards against responses that are never read and hold their bytes and their connection while others
// are refused, and against a truncated response that looks complete.
func TestUnreadResponseGivesWay(t *testing.T) {
	is := is.New(t)
	const size = 64 << 20 // More than the buffers of the system hold.
	budget := bytebudget.New(1<<20, nil)
	address, ended := serveCounted(t, budget, size)
	unread := dial(t, address, 0)
	end := time.Now().Add(testTimeout)
	for budget.Held()["response"] < size {
		is.True(time.Now().Before(end)) // The response is being written.
		time.Sleep(time.Millisecond)
	}
	time.Sleep(bytebudget.MinStall + bytebudget.MinStall/2)
	holder := budget.Hold(bytebudget.Running)
	defer holder.Close()
	is.True(holder.Acquire(1))
	// The handler ends although nothing is read.
	for ended.Load() == 0 {
		is.True(time.Now().Before(end))
		time.Sleep(time.Millisecond)
	}
	is.Equal(budget.GaveWay()["evicted"], int64(1))
	resp, err := http.ReadResponse(unread.reader, nil)
	is.NoErr(err)
	n, err := io.Copy(io.Discard, resp.Body)
	is.True(err != nil) // An incomplete body is an error.
	is.True(n < size)
}

// BenchmarkHalfSentConnection reports the memory of one connection with an incomplete request of 1 byte,
// without the client's end and the kernel's buffers.
func BenchmarkHalfSentConnection(b *testing.B) {
	const connections = 500
	for b.Loop() {
		budget := bytebudget.New(bytebudget.MinBytes, nil)
		address := serve(b, budget, 0)
		before := liveBytes()
		held := int64(0)
		for range connections {
			dial(b, address, maxBody).send(1)
		}
		await(b, budget, connections*4<<10)
		held = budget.Held()["arriving"]
		b.ReportMetric(float64(liveBytes()-before)/connections, "B/connection")
		b.ReportMetric(float64(held)/connections, "counted-B/connection")
	}
}

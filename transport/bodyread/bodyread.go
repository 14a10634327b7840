// Package bodyread reads the bodies of callers' requests and writes responses within the budget of held
// bytes. It serves both ingress paths.
package bodyread

import (
	"errors"
	"net/http"
	"time"

	"github.com/balsamstall/balsamstall/protocol/status"
	"github.com/balsamstall/balsamstall/state/bytebudget"
)

const (
	// minBytesPerSecond is the rate below which a body is ended once its base time has passed. It is
	// far below that of the slowest links, so that only clients that hold the connection reach it.
	minBytesPerSecond = 1 << 10
	// writePiece is the number of bytes of a response after which progress is recorded.
	writePiece = 32 << 10
	// requestBytes is counted for each request in addition to its body: buffers and parsed header.
	requestBytes = 4 << 10
	// discardTime bounds the time for which the server reads on, at most 256 KiB, after a response that
	// refuses a body. Closing a connection with unread bytes may destroy the response on its way.
	discardTime = 500 * time.Millisecond
	// RetryAfter is the recommended delay after a refusal. Stalled bodies give way after one second.
	RetryAfter = time.Second
)

// past is a deadline that ends reads and writes at once.
var past = time.Unix(1, 0)

// Ingress reads requests and writes responses within a budget. It is safe for concurrent use.
type Ingress struct{ budget *bytebudget.Budget }

// NewIngress returns an ingress with the budget. Nil selects one of the smallest size for this ingress
// alone.
func NewIngress(b *bytebudget.Budget) *Ingress {
	if b == nil {
		b = bytebudget.New(bytebudget.MinBytes, nil)
	}
	return &Ingress{budget: b}
}

// Budget returns the budget.
func (i *Ingress) Budget() *bytebudget.Budget { return i.budget }

// Body is the body of one caller's request. All methods are called by the request's handler.
type Body struct {
	holder     *bytebudget.Holder
	controller *http.ResponseController
	writer     http.ResponseWriter
	request    *http.Request
}

// Body returns the body of a request. The handler must call Close or Refuse.
func (i *Ingress) Body(w http.ResponseWriter, r *http.Request) *Body {
	body := &Body{controller: http.NewResponseController(w), writer: w, request: r}
	body.holder = i.budget.HoldEvictable(bytebudget.Arriving, body.interrupt)
	return body
}

// interrupt ends the current and all later reads. An unsupported deadline means a test writer.
func (b *Body) interrupt() { _ = b.controller.SetReadDeadline(past) }

// Read reads the body. It must arrive within the base time plus one second for each minBytesPerSecond
// received. Every error has the outcome NotRun; with the code Overloaded, the budget is exhausted or the
// body has given way to another one. Afterwards the body counts for the request that runs.
func (b *Body) Read(maxBytes int64, base time.Duration) ([]byte, *status.Error) {
	if !b.holder.Acquire(requestBytes) {
		return nil, exhausted()
	}
	if b.request.ContentLength == 0 {
		return nil, b.run(0)
	}
	start := time.Now()
	extend := func(received int64) {
		// An eviction after the deadline is set interrupts the read; Progress reports an earlier one.
		allowed := base + time.Duration(received)*time.Second/minBytesPerSecond
		_ = b.controller.SetReadDeadline(start.Add(allowed)) // If unsupported, the server's timeouts apply.
		if !b.holder.Progress() {
			b.interrupt()
		}
	}
	extend(0)
	length := b.request.ContentLength
	if length > maxBytes {
		return nil, tooLarge(maxBytes)
	}
	data, err := b.holder.Read(http.MaxBytesReader(b.writer, b.request.Body, maxBytes), length, extend)
	var limit *http.MaxBytesError
	switch {
	case errors.As(err, &limit):
		return nil, tooLarge(maxBytes)
	case errors.Is(err, bytebudget.ErrExhausted):
		return nil, exhausted()
	case err != nil && b.holder.Evicted():
		return nil, exhausted()
	case err != nil:
		return nil, status.Wrap(err, status.InvalidArgument, status.NotRun, "the body did not arrive in full")
	}
	return data, b.run(int64(len(data)))
}

// run ends the arrival. A running request also holds its body as sent to a target or as parsed, so the
// body counts twice.
func (b *Body) run(size int64) *status.Error {
	if !b.holder.Run() || !b.holder.Acquire(size) {
		return exhausted()
	}
	// The idle timeout bounds the wait for the caller's next request.
	_ = b.controller.SetReadDeadline(time.Time{})
	return nil
}

// Close returns the bytes of a request that has ended.
func (b *Body) Close() { b.holder.Close() }

// Refuse returns the bytes of a request that does not run. The response must close the connection.
func (b *Body) Refuse() {
	b.holder.Close()
	if !b.holder.Evicted() {
		_ = b.controller.SetReadDeadline(time.Now().Add(discardTime)) // See interrupt.
	}
}

func exhausted() *status.Error {
	return status.New(status.Overloaded, status.NotRun, "this entry holds too many bytes for callers").WithRetryAfter(RetryAfter)
}

func tooLarge(limit int64) *status.Error {
	return status.New(status.TooLarge, status.NotRun, "the body exceeds %d bytes", limit)
}

// WriteResponse writes the body of a response, which counts toward the budget until the caller has read
// it. If the response gives way, it is truncated: its connection closes before its Content-Length is reached.
func (i *Ingress) WriteResponse(w http.ResponseWriter, body []byte) {
	if len(body) == 0 {
		return
	}
	controller := http.NewResponseController(w)
	h := i.budget.HoldEvictable(bytebudget.Response, func() { _ = controller.SetWriteDeadline(past) })
	h.Force(int64(len(body)))
	var err error // The caller has disconnected or does not read.
	for len(body) > 0 && err == nil && h.Progress() {
		n := min(len(body), writePiece)
		_, err = w.Write(body[:n])
		body = body[n:]
	}
	h.Close()
	if h.Evicted() {
		// The expired deadline must not reach the next response on the connection.
		panic(http.ErrAbortHandler)
	}
}

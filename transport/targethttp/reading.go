package targethttp

import (
	"io"
	"sync/atomic"

	"github.com/balsamstall/balsamstall/protocol/status"
)

const (
	// uncountedBodyBytes is the size up to which a body does not count against the budget. It is
	// many times the size of a typical reply.
	uncountedBodyBytes = 16 << 10
	// maxReadBudgetBytes bounds the sum of the bytes by which the bodies that are being read exceed
	// uncountedBodyBytes, over all targets. Endless bodies from hundreds of targets must not exhaust
	// the memory of a small host. A growing buffer briefly takes twice as much memory.
	maxReadBudgetBytes = 16 << 20
)

// readBudget counts the bytes of large bodies that are being read. It is safe for concurrent use.
type readBudget struct{ used atomic.Int64 }

// tryAcquire adds n bytes to the count and reports whether they are within the budget. Otherwise it
// leaves the count unchanged.
func (b *readBudget) tryAcquire(n int64) bool {
	if b.used.Add(n) > maxReadBudgetBytes {
		b.used.Add(-n)
		return false
	}
	return true
}

// read reads a body of the given length, or up to its end if length is negative. It returns an error
// with the code TooLarge if the budget is used up.
func (b *readBudget) read(body io.Reader, length int64) ([]byte, error) {
	r := budgetedReader{src: body, budget: b}
	defer r.release()
	if length < 0 {
		return io.ReadAll(&r)
	}
	if !r.reserve(length) {
		return nil, readBudgetError()
	}
	data := make([]byte, length)
	_, err := io.ReadFull(body, data)
	return data, err
}

// budgetedReader counts the bytes that it has read against the budget.
type budgetedReader struct {
	src    io.Reader
	budget *readBudget
	// bytesRead counts the bytes read, acquired those counted against the budget.
	bytesRead, acquired int64
}

// reserve acquires the budget for a body of n bytes in total. It reports false if the budget is
// used up.
func (r *budgetedReader) reserve(n int64) bool {
	more := max(n-uncountedBodyBytes, 0) - r.acquired
	if more <= 0 {
		return true
	}
	if !r.budget.tryAcquire(more) {
		return false
	}
	r.acquired += more
	return true
}

// release returns the acquired bytes to the budget.
func (r *budgetedReader) release() { r.budget.used.Add(-r.acquired) }

// Read implements io.Reader.
func (r *budgetedReader) Read(p []byte) (int, error) {
	n, err := r.src.Read(p)
	r.bytesRead += int64(n)
	if !r.reserve(r.bytesRead) {
		return 0, readBudgetError()
	}
	return n, err
}

func readBudgetError() error {
	return status.New(status.TooLarge, status.Unknown, "the replies that are being read exceed %d bytes", int64(maxReadBudgetBytes))
}

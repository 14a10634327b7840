package targethttp

import (
	"io"
	"sync/atomic"

	"github.com/balsamstall/balsamstall/protocol/status"
)

const (
	// freeReadingBytes is the size of a body up to which its reading is not counted. It
	// exceeds a usual reply many times.
	freeReadingBytes = 16 << 10
	// maxReadingBytes bounds what the bodies that are being read hold beyond that, over all
	// targets. Bodies without end at hundreds of targets must not fill the memory of a small
	// host. A buffer that grows holds twice as much for a moment.
	maxReadingBytes = 16 << 20
)

// readingBudget counts the bytes of large bodies that are being read. It is safe for
// concurrent use.
type readingBudget struct{ used atomic.Int64 }

// take reports whether n more bytes may be held, and counts them.
func (b *readingBudget) take(n int64) bool {
	if b.used.Add(n) > maxReadingBytes {
		b.used.Add(-n)
		return false
	}
	return true
}

// read reads a body whose length is known, or up to its end when length is negative.
func (b *readingBudget) read(body io.Reader, length int64) ([]byte, error) {
	r := budgetedReader{from: body, budget: b}
	defer r.release()
	if length < 0 {
		return io.ReadAll(&r)
	}
	if !r.reserve(length) {
		return nil, errReadingTooMuch()
	}
	data := make([]byte, length)
	_, err := io.ReadFull(body, data)
	return data, err
}

// budgetedReader counts what it has read.
type budgetedReader struct {
	from   io.Reader
	budget *readingBudget
	// seen counts the bytes read, taken those that the budget counts.
	seen, taken int64
}

// reserve makes room for a body of n bytes.
func (r *budgetedReader) reserve(n int64) bool {
	more := max(n-freeReadingBytes, 0) - r.taken
	if more <= 0 {
		return true
	}
	if !r.budget.take(more) {
		return false
	}
	r.taken += more
	return true
}

func (r *budgetedReader) release() { r.budget.used.Add(-r.taken) }

// Read implements io.Reader.
func (r *budgetedReader) Read(p []byte) (int, error) {
	n, err := r.from.Read(p)
	r.seen += int64(n)
	if !r.reserve(r.seen) {
		return 0, errReadingTooMuch()
	}
	return n, err
}

func errReadingTooMuch() error {
	return status.New(status.TooLarge, status.Unknown, "the replies that are being read hold %d bytes", int64(maxReadingBytes))
}

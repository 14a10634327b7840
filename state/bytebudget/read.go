package bytebudget

import (
	"errors"
	"io"
)

const (
	// firstBufferBytes is the first buffer for a body of unknown length, knownFirstBytes the largest
	// first one for a body of known length. Few bodies are longer than that.
	firstBufferBytes, knownFirstBytes = 512, 4 << 10
	// maxBufferBytes bounds one buffer, and thereby what a body holds beyond the bytes received.
	maxBufferBytes = 64 << 10
)

// ErrExhausted is returned by Read if the budget has no bytes left, or if the holder was evicted.
var ErrExhausted = errors.New("the budget of held bytes is exhausted")

// Read reads a body of the given length, or up to its end if length is negative. It acquires its buffers
// from the budget as bytes arrive and copies each byte at most once. onRead is called after each read
// with the number of bytes received so far; it may be nil. The holder keeps the bytes of the result.
func (h *Holder) Read(src io.Reader, length int64, onRead func(received int64)) ([]byte, error) {
	if length == 0 {
		return nil, nil
	}
	h.SetSize(length)
	var full [][]byte
	var received int64
	size := int64(firstBufferBytes)
	switch {
	case length >= 0 && h.kind == Reply: // Targets are trusted to send what they announce.
		size = length
	case length >= 0:
		size = min(length, knownFirstBytes)
	}
	for {
		if !h.take(size) {
			return nil, ErrExhausted
		}
		buffer := make([]byte, 0, size)
		for len(buffer) < cap(buffer) {
			n, err := src.Read(buffer[len(buffer):cap(buffer)])
			buffer = buffer[:len(buffer)+n]
			received += int64(n)
			if onRead != nil && n > 0 {
				onRead(received)
			}
			if err == io.EOF {
				h.SetSize(received)
				return h.join(append(full, buffer), received)
			}
			if err != nil {
				return nil, err
			}
		}
		full = append(full, buffer)
		h.SetSize(received)
		size = min(max(2*size, firstBufferBytes), maxBufferBytes)
		if length >= 0 {
			// One byte more than announced shows the end of the body.
			size = min(size, max(length-received, 1))
		}
	}
}

// smallReplyBuffers is what a reply of SmallBytes and unknown length holds: buffers of up to twice its size
// and their copy.
const smallReplyBuffers = 3 * SmallBytes

// take acquires a buffer. A reply of up to SmallBytes gets it in any case, because a refused reply costs
// a request that has run, and typical replies are small.
func (h *Holder) take(n int64) bool {
	if h.kind == Reply && h.bytes+n <= smallReplyBuffers {
		h.Force(n)
		return true
	}
	return h.Acquire(n)
}

// join returns the buffers as one slice and releases the bytes that it does not need.
func (h *Holder) join(buffers [][]byte, received int64) ([]byte, error) {
	last := len(buffers) - 1
	if len(buffers) == 1 || last == 1 && len(buffers[last]) == 0 {
		h.Release(int64(cap(buffers[last])) * int64(last))
		return buffers[0], nil
	}
	if !h.take(received) {
		return nil, ErrExhausted
	}
	body := make([]byte, 0, received)
	for i, b := range buffers {
		body = append(body, b...)
		h.Release(int64(cap(b)))
		buffers[i] = nil
	}
	return body, nil
}

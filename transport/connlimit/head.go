package connlimit

import (
	"bytes"

	"github.com/balsamstall/balsamstall/state/bytebudget"
)

const (
	// fieldBytes is the memory of one header field beside its bytes, as parsed and as forwarded.
	// TestHeadCost measures it.
	fieldBytes = 192
	// uncountedHeadBytes is the cost up to which a head is part of connectionBytes.
	uncountedHeadBytes = 8 << 10
)

// head computes the memory of the head of a request from its bytes.
type head struct {
	bytes int64
	// lineBytes is the number of bytes of the current line, without its end.
	lineBytes int
	// ended is set after the empty line that ends the head.
	ended bool
}

// add adds bytes that were read. It ignores those after the head.
func (h *head) add(data []byte) {
	for len(data) > 0 && !h.ended {
		line, rest, complete := bytes.Cut(data, []byte("\n"))
		h.bytes += int64(len(data) - len(rest))
		h.lineBytes += len(bytes.TrimSuffix(line, []byte("\r")))
		if complete {
			h.ended = h.lineBytes == 0
			h.lineBytes = 0
			h.bytes += fieldBytes
		}
		data = rest
	}
}

// holdHead makes the head of the current request count toward the budget. It reports false if the budget is
// exhausted or the head has given way. It is called by the goroutine that reads.
func (c *conn) holdHead(n int64) bool {
	if n <= uncountedHeadBytes || c.limits.Budget == nil {
		return true
	}
	if c.headHolder == nil {
		c.headHolder = c.limits.Budget.HoldEvictable(bytebudget.Arriving, func() { _ = c.Close() })
	}
	c.headHolder.SetSize(n)
	if !c.headHolder.Acquire(n - c.headHeld) {
		return false
	}
	c.headHeld = n
	return c.headHolder.Progress()
}

// runHead keeps a complete head from giving way.
func (c *conn) runHead() {
	if c.headHolder != nil {
		c.headHolder.Run()
	}
}

// releaseHead returns the bytes of the head of a request that has ended.
func (c *conn) releaseHead() {
	if c.headHolder != nil {
		c.headHolder.Close()
		c.headHolder, c.headHeld = nil, 0
	}
}

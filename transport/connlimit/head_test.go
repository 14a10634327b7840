package connlimit

import (
	"bufio"
	"fmt"
	"net/http"
	"runtime"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Guards against a head whose fields take more memory than the budget counts.
func TestHeadCost(t *testing.T) {
	is := is.New(t)
	const requests = 50
	var request strings.Builder
	request.WriteString("GET / HTTP/1.1\r\nHost: e\r\n")
	for i := 0; request.Len() < 16<<10; i++ {
		fmt.Fprintf(&request, "%x:\r\n", i)
	}
	request.WriteString("\r\n")
	var h head
	h.add([]byte(request.String()))
	heap := func() uint64 {
		runtime.GC()
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		return stats.HeapAlloc
	}
	before := heap()
	var kept []http.Header
	for range requests {
		r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(request.String())))
		is.NoErr(err)
		kept = append(kept, r.Header, r.Header.Clone())
	}
	each := int64(heap()-before) / requests
	t.Logf("%d bytes a head, %d counted", each, h.bytes)
	is.True(each <= h.bytes)
	runtime.KeepAlive(kept)
}

// Guards against a body that counts as fields of the head, however the reads divide the request.
func TestHeadEndsAtEmptyLine(t *testing.T) {
	const request = "POST / HTTP/1.1\r\nHost: e\r\nA: b\n\r\n\n\nbody\r\n"
	rapid.Check(t, func(t *rapid.T) {
		var h head
		for rest := []byte(request); len(rest) > 0; {
			n := rapid.IntRange(1, len(rest)).Draw(t, "read")
			h.add(rest[:n])
			rest = rest[n:]
		}
		if want := int64(strings.Index(request, "\n\nbody")) + 4*fieldBytes; !h.ended || h.bytes != want {
			t.Fatalf("%d bytes instead of %d, ended: %v", h.bytes, want, h.ended)
		}
	})
}

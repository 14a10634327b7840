package audit

import (
	"bytes"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
)

// Guards against unbounded memory use and against events out of order after the ring buffer has
// wrapped around.
func TestTrailKeepsTheLatestEventsInOrder(t *testing.T) {
	is := is.New(t)
	trail := New(zerolog.Nop())
	const extra = 3
	for i := range Capacity + extra {
		trail.Record(time.Unix(int64(i), 0), DocumentAccepted, "platform", strconv.Itoa(i))
	}
	events := trail.Events()
	is.Equal(len(events), Capacity)
	for i, e := range events {
		is.Equal(e.Sequence, uint64(extra+i+1))
		is.Equal(e.Detail, strconv.Itoa(extra+i))
	}
}

// Guards against events missing from the log and against long details, for example from an invalid
// document, that fill memory and the log.
func TestEachEventIsLoggedWithABoundedDetail(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	trail := New(zerolog.New(&out))
	trail.Record(time.Unix(1, 0), DocumentRefused, "peer e2", strings.Repeat("x", 10*maxDetailBytes))
	is.Equal(strings.Count(out.String(), "\n"), 1)
	is.True(strings.Contains(out.String(), `"kind":"document_refused"`))
	is.Equal(len(trail.Events()[0].Detail), maxDetailBytes)
}

func BenchmarkRecord(b *testing.B) {
	trail := New(zerolog.Nop())
	now := time.Unix(1, 0)
	b.ReportAllocs()
	for b.Loop() {
		trail.Record(now, DocumentAccepted, "platform", "sheet revision 7")
	}
}

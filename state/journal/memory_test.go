package journal_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/balsamstall/balsamstall/protocol/status"
	"github.com/balsamstall/balsamstall/state/journal"
)

// BenchmarkRecordMemory reports the live heap memory of one finished permit for answers of several
// sizes.
func BenchmarkRecordMemory(b *testing.B) {
	const permits = 100_000
	for _, body := range []int{0, 1_000} {
		b.Run(fmt.Sprintf("body=%d", body), func(b *testing.B) {
			for b.Loop() {
				before := liveBytes()
				j := journal.New(32)
				for seq := range uint64(permits) {
					j.Begin(seq, 0, time.Hour)
					j.Finish(seq, journal.Record{Outcome: status.Done, HTTPStatus: 200, Body: make([]byte, body)})
				}
				b.ReportMetric(float64(liveBytes()-before)/permits, "live-bytes/permit")
				runtime.KeepAlive(j)
			}
		})
	}
}

func liveBytes() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

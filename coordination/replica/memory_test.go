package replica

import (
	"runtime"
	"testing"
	"time"
)

// BenchmarkStatsMemory reports the live heap memory per Stats.
func BenchmarkStatsMemory(b *testing.B) {
	const targets = 10_000
	s := DefaultSettings()
	for b.Loop() {
		before := liveBytes()
		all := make([]*Stats, targets)
		for i := range all {
			all[i] = NewStats(s, 0)
			all[i].Finish(all[i].Start(0), time.Millisecond, Success)
		}
		b.ReportMetric(float64(liveBytes()-before)/targets, "live-bytes/target")
		runtime.KeepAlive(all)
	}
}

// liveBytes returns the size of the live heap after a garbage collection.
func liveBytes() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

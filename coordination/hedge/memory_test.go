package hedge

import (
	"runtime"
	"testing"
	"time"
)

// BenchmarkTrackerMemory reports the live heap of one Tracker.
func BenchmarkTrackerMemory(b *testing.B) {
	const trackers = 200
	for b.Loop() {
		before := liveBytes()
		all := make([]*Tracker, trackers)
		for i := range all {
			all[i] = New(DefaultSettings(), 0)
			all[i].RecordLatency(time.Second, ms)
		}
		b.ReportMetric(float64(liveBytes()-before)/trackers, "live-bytes/tracker")
		runtime.KeepAlive(all)
	}
}

// liveBytes returns the size of the heap after a garbage collection.
func liveBytes() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

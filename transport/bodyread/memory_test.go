package bodyread

import "runtime"

// liveBytes returns the size of the live heap and of the stacks.
func liveBytes() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}

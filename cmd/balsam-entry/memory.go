package main

import (
	"math"
	"runtime/debug"
)

// The soft memory limit of the Go runtime, near which garbage is collected more often, is 3/4 of the
// process's memory. The rest is for the program's code, and for memory that the runtime has not yet
// returned.
const memoryLimitNumerator, memoryLimitDenominator = 3, 4

// limitMemory sets the soft memory limit of the Go runtime, unless GOMEMLIMIT has set one or the memory of
// the process is not stated (zero).
func limitMemory(memoryMB int64) {
	if memoryMB > 0 && debug.SetMemoryLimit(-1) == math.MaxInt64 {
		debug.SetMemoryLimit(memoryMB << 20 / memoryLimitDenominator * memoryLimitNumerator)
	}
}

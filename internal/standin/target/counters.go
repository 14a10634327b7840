package target

import "sync/atomic"

type counters struct {
	accepted atomic.Int64
	rejected atomic.Int64
}

package targethttp

import (
	"net"
	"runtime"
	"testing"
	"time"
)

// BenchmarkConnectionMemory reports the live heap of one open connection to a target, without the
// kernel's buffers.
func BenchmarkConnectionMemory(b *testing.B) {
	const connections = 200
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer lis.Close()
	for b.Loop() {
		clients, servers := make([]net.Conn, connections), make([]net.Conn, connections)
		before := liveBytes()
		for i := range connections {
			if clients[i], err = net.Dial("tcp", lis.Addr().String()); err != nil {
				b.Fatal(err)
			}
			if servers[i], err = lis.Accept(); err != nil {
				b.Fatal(err)
			}
		}
		// Both ends are in this process and use the same amount of memory.
		socket := float64(liveBytes()-before) / 2
		wrapped := make([]*conn, connections)
		between := liveBytes()
		for i := range connections {
			wrapped[i] = newConn(clients[i], time.Now())
		}
		b.ReportMetric((socket+float64(liveBytes()-between))/connections, "live-bytes/connection")
		for i := range connections {
			wrapped[i].Close()
			servers[i].Close()
		}
	}
}

// liveBytes returns the size of the live heap.
func liveBytes() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

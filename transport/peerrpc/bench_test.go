package peerrpc

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"syscall"
	"testing"

	"github.com/rs/zerolog"

	"github.com/balsamstall/balsamstall/protocol/peerpb"
)

// staticHandler replies to Forward at once with a fixed body.
type staticHandler struct {
	peerpb.DRPCPeerUnimplementedServer
	body []byte
}

func (a *staticHandler) Forward(context.Context, *peerpb.ForwardRequest) (*peerpb.ForwardReply, error) {
	return &peerpb.ForwardReply{HttpStatus: 200, Body: a.body}, nil
}

// BenchmarkForward measures one call between entries. Both ends are in this
// process; cpu-us/op is the CPU time of both.
func BenchmarkForward(b *testing.B) {
	for _, size := range []int{1_000, 16_000} {
		b.Run(fmt.Sprintf("answer=%d", size), func(b *testing.B) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			ctx, cancel := context.WithCancel(context.Background())
			done := make(chan error)
			go func() {
				done <- NewServer(testKey, &staticHandler{body: make([]byte, size)}, zerolog.Nop()).Serve(ctx, listener)
			}()
			pool := NewPool(testKey, Options{})
			request := &peerpb.ForwardRequest{Search: make([]byte, 200)}
			b.ReportAllocs()
			before := cpuMicroseconds(b)
			for b.Loop() {
				if _, err := pool.Forward(context.Background(), listener.Addr().String(), request); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(cpuMicroseconds(b)-before)/float64(b.N), "cpu-us/op")
			pool.Close()
			cancel()
			if err := <-done; err != nil {
				b.Fatal(err)
			}
		})
	}
}

// cpuMicroseconds returns the user and system CPU time of this process.
func cpuMicroseconds(b *testing.B) int64 {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return (u.Utime.Sec+u.Stime.Sec)*1_000_000 + u.Utime.Usec + u.Stime.Usec
}

// BenchmarkConnectionMemory reports the live heap and stacks of one connection between entries,
// both ends together: an entry holds the client end in one direction and the server end in the
// other.
func BenchmarkConnectionMemory(b *testing.B) {
	const peers = 100
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, peers)
	addresses := make([]string, peers)
	for i := range addresses {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		addresses[i] = listener.Addr().String()
		go func() { done <- NewServer(testKey, &staticHandler{}, zerolog.Nop()).Serve(ctx, listener) }()
	}
	for b.Loop() {
		before := liveBytes()
		pool := NewPool(testKey, Options{})
		for _, address := range addresses {
			if _, err := pool.Forward(ctx, address, &peerpb.ForwardRequest{}); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(float64(liveBytes()-before)/peers, "live-bytes/connection")
		pool.Close()
	}
	cancel()
	for range peers {
		if err := <-done; err != nil {
			b.Fatal(err)
		}
	}
}

// liveBytes returns the size of the live heap and of the stacks in use.
func liveBytes() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}

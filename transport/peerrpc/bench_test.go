package peerrpc

import (
	"context"
	"fmt"
	"net"
	"syscall"
	"testing"

	"github.com/rs/zerolog"

	"github.com/balsamstall/balsamstall/protocol/peerpb"
)

// answerer replies to Forward at once.
type answerer struct {
	peerpb.DRPCPeerUnimplementedServer
	body []byte
}

func (a *answerer) Forward(context.Context, *peerpb.ForwardRequest) (*peerpb.ForwardReply, error) {
	return &peerpb.ForwardReply{HttpStatus: 200, Body: a.body}, nil
}

// BenchmarkForward measures one hop between entries. Both ends are in this
// process; cpu-us/op is the processor time of both.
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
				done <- NewServer(testKey, &answerer{body: make([]byte, size)}, zerolog.Nop()).Serve(ctx, listener)
			}()
			pool := NewPool(testKey, Options{})
			request := &peerpb.ForwardRequest{Search: make([]byte, 200)}
			b.ReportAllocs()
			before := processorMicroseconds(b)
			for b.Loop() {
				if _, err := pool.Forward(context.Background(), listener.Addr().String(), request); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(processorMicroseconds(b)-before)/float64(b.N), "cpu-us/op")
			pool.Close()
			cancel()
			if err := <-done; err != nil {
				b.Fatal(err)
			}
		})
	}
}

// processorMicroseconds is the user and system time of this process.
func processorMicroseconds(b *testing.B) int64 {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return (u.Utime.Sec+u.Stime.Sec)*1_000_000 + u.Utime.Usec + u.Stime.Usec
}

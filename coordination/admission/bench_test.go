package admission

import (
	"fmt"
	"testing"
	"time"
)

// newRequestLoop returns a function that offers one request, releases an older one if the new
// one is not admitted, and calls Next until it returns nil.
func newRequestLoop(services int) func() {
	settings := DefaultSettings()
	settings.InitialLimit, settings.MaxLimit = 64, 64
	c, rng, now := New(settings), newRand(), time.Duration(0)
	all := make([]*Service, services)
	for i := range all {
		all[i] = c.SetService(fmt.Sprint(i), ServiceConfig{Priority: i%Lowest + 1, MaxConcurrency: 64, MaxQueue: 64})
	}
	tickets := make([]Ticket, 256)
	n := 0
	running := make([]*Ticket, 0, 256)
	return func() {
		now += 100 * time.Microsecond
		t := &tickets[n%len(tickets)]
		n++
		*t = Ticket{}
		if c.Submit(now, rng, all[n%services], now+time.Second, t).Verdict == Admit {
			running = append(running, t)
		} else {
			c.Release(now, running[0], Finished)
			running = append(running[:0], running[1:]...)
		}
		for next, d := c.Next(now, rng); next != nil; next, d = c.Next(now, rng) {
			if d.Verdict == Admit {
				running = append(running, next)
			}
		}
	}
}

func BenchmarkRequest(b *testing.B) {
	for _, services := range []int{1, 25, 250} {
		b.Run(fmt.Sprintf("services=%d", services), func(b *testing.B) {
			request := newRequestLoop(services)
			b.ReportAllocs()
			for b.Loop() {
				request()
			}
		})
	}
}

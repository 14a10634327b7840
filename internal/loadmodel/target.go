package loadmodel

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/balsamstall/balsamstall/protocol/status"
)

// oneWay is the time between an entry and a target.
const oneWay = 500 * time.Microsecond

// Target is a simulated target with slots, a queue, pauses and spells of slowness by its
// neighbours. The exported fields are set before a load is played.
type Target struct {
	// Slots is the number of requests that run at the same time, Queue that of those that
	// wait. Further ones are refused.
	Slots, Queue int
	// PauseFor and PauseEvery describe regular pauses that begin at Phase.
	PauseFor, PauseEvery, Phase time.Duration
	// Slow multiplies the work; Refuses is the part of the requests that is refused.
	Slow, Refuses float64
	// Down makes the target refuse connections.
	Down bool
	// SilentFrom and SilentTo bound a partition: bytes to the target are lost meanwhile.
	SilentFrom, SilentTo time.Duration

	mu sync.Mutex
	// All fields below are guarded by mu.
	rng     *rand.Rand
	running int
	waiting []chan struct{}
	served  int
	busy    time.Duration
	// unheard counts the attempts that a partition swallowed.
	unheard int
}

// Counts is what a target did.
type Counts struct {
	// Served counts the answered requests, Running those that still run, and Unheard those
	// that a partition swallowed.
	Served, Running, Unheard int
	// Busy is the time for which slots were in use, summed over them.
	Busy time.Duration
}

// Counts returns what the target did so far.
func (t *Target) Counts() Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Counts{Served: t.served, Running: t.running, Unheard: t.unheard, Busy: t.busy}
}

func (t *Target) silent(now time.Duration) bool { return t.SilentFrom <= now && now < t.SilentTo }

// noise is the spell of slowness by neighbours at a time: 15% of the spells of 600 ms.
func (t *Target) noise(at time.Duration) float64 {
	const spell, share, factor = 600 * time.Millisecond, 0.15, 2.5
	x := math.Sin(float64(at/spell)*12.9898+t.Phase.Seconds()*78.233) * 43758.5453
	if x-math.Floor(x) < share {
		return factor
	}
	return 1
}

// length returns how long work takes from now, pauses included.
func (t *Target) length(now, work time.Duration) time.Duration {
	work = time.Duration(float64(work) * t.Slow * t.noise(now))
	end := now + work
	if t.PauseEvery == 0 {
		return work
	}
	for k := (now - t.Phase) / t.PauseEvery; ; k++ {
		from := t.Phase + k*t.PauseEvery
		to := from + t.PauseFor
		if from >= end {
			return end - now
		}
		if to > now {
			end += to - max(from, now)
		}
	}
}

// send plays one attempt.
func (t *Target) send(ctx context.Context, now func() time.Duration, work time.Duration) error {
	time.Sleep(oneWay)
	if t.silent(now()) {
		t.mu.Lock()
		t.unheard++
		t.mu.Unlock()
		<-ctx.Done()
		return ended(ctx)
	}
	t.mu.Lock()
	switch {
	case t.Down:
		t.mu.Unlock()
		time.Sleep(oneWay)
		return status.New(status.ConnectionFailed, status.NotRun, "down")
	case t.rng.Float64() < t.Refuses, t.running >= t.Slots && len(t.waiting) >= t.Queue:
		t.mu.Unlock()
		time.Sleep(oneWay)
		return status.New(status.Shed, status.NotRun, "full")
	}
	if t.running < t.Slots {
		t.running++
		t.mu.Unlock()
	} else {
		turn := make(chan struct{}, 1)
		t.waiting = append(t.waiting, turn)
		t.mu.Unlock()
		select {
		case <-turn:
		case <-ctx.Done():
			t.mu.Lock()
			for i, w := range t.waiting {
				if w == turn {
					t.waiting = append(t.waiting[:i], t.waiting[i+1:]...)
					t.mu.Unlock()
					return ended(ctx)
				}
			}
			t.mu.Unlock()
			t.free()
			return ended(ctx)
		}
	}
	began := now()
	t.mu.Lock()
	length := t.length(began, work)
	t.mu.Unlock()
	timer := time.NewTimer(length)
	defer timer.Stop()
	defer func() {
		t.mu.Lock()
		t.busy += now() - began
		t.mu.Unlock()
		t.free()
	}()
	select {
	case <-timer.C:
		t.mu.Lock()
		t.served++
		t.mu.Unlock()
		time.Sleep(oneWay)
		return nil
	case <-ctx.Done():
		return ended(ctx)
	}
}

func ended(ctx context.Context) error {
	if ctx.Err() == context.DeadlineExceeded {
		return status.New(status.DeadlineExceeded, status.Unknown, "deadline")
	}
	return status.New(status.Canceled, status.Unknown, "canceled")
}

// free passes a slot on.
func (t *Target) free() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.waiting) > 0 {
		t.waiting[0] <- struct{}{}
		t.waiting = t.waiting[1:]
		return
	}
	t.running--
}

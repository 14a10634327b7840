package loadmodel

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/balsamstall/balsamstall/protocol/status"
)

// targetOneWayDelay is the one-way network delay between an entry and a target.
const targetOneWayDelay = 500 * time.Microsecond

// Target is a simulated target with slots, a queue, regular pauses and phases of slowness caused by
// noisy neighbors. The exported fields are set before the simulation starts.
type Target struct {
	// Slots is the number of requests that run concurrently, MaxQueue the number that may wait.
	// Further requests are refused.
	Slots, MaxQueue int
	// PauseDuration and PauseInterval describe regular pauses; one of them begins at PauseOffset.
	// A zero PauseInterval means no pauses.
	PauseDuration, PauseInterval, PauseOffset time.Duration
	// Slowdown multiplies the service time. RefusalProbability is the fraction of the requests
	// that is refused.
	Slowdown, RefusalProbability float64
	// Down makes the target refuse connections.
	Down bool
	// PartitionStart and PartitionEnd bound a partition, during which bytes to the target are lost.
	PartitionStart, PartitionEnd time.Duration

	mu sync.Mutex
	// All fields below are guarded by mu.
	rng     *rand.Rand
	running int
	waiting []chan struct{}
	served  int
	busy    time.Duration
	// lost counts the attempts that were lost in a partition.
	lost int
}

// Counts are the counters of a target.
type Counts struct {
	// Served counts the answered requests, Running those that still run, and Lost those that were
	// lost in a partition.
	Served, Running, Lost int
	// Busy is the total time that slots were in use.
	Busy time.Duration
}

// Counts returns the current counters.
func (t *Target) Counts() Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Counts{Served: t.served, Running: t.running, Lost: t.lost, Busy: t.busy}
}

func (t *Target) partitioned(now time.Duration) bool {
	return t.PartitionStart <= now && now < t.PartitionEnd
}

// neighborSlowdown returns the factor by which noisy neighbors slow the target down at a time.
// It applies to a pseudo-random 15% of the intervals of 600 ms.
func (t *Target) neighborSlowdown(at time.Duration) float64 {
	const interval, fraction, factor = 600 * time.Millisecond, 0.15, 2.5
	x := math.Sin(float64(at/interval)*12.9898+t.PauseOffset.Seconds()*78.233) * 43758.5453
	if x-math.Floor(x) < fraction {
		return factor
	}
	return 1
}

// serviceDuration returns how long a request with the given service time takes from now, including
// slowness and pauses.
func (t *Target) serviceDuration(now, serviceTime time.Duration) time.Duration {
	serviceTime = time.Duration(float64(serviceTime) * t.Slowdown * t.neighborSlowdown(now))
	end := now + serviceTime
	if t.PauseInterval == 0 {
		return serviceTime
	}
	for k := (now - t.PauseOffset) / t.PauseInterval; ; k++ {
		pauseStart := t.PauseOffset + k*t.PauseInterval
		pauseEnd := pauseStart + t.PauseDuration
		if pauseStart >= end {
			return end - now
		}
		if pauseEnd > now {
			end += pauseEnd - max(pauseStart, now)
		}
	}
}

// simulateAttempt simulates one attempt, including the network delay.
func (t *Target) simulateAttempt(ctx context.Context, now func() time.Duration, serviceTime time.Duration) error {
	time.Sleep(targetOneWayDelay)
	if t.partitioned(now()) {
		t.mu.Lock()
		t.lost++
		t.mu.Unlock()
		<-ctx.Done()
		return contextError(ctx)
	}
	t.mu.Lock()
	switch {
	case t.Down:
		t.mu.Unlock()
		time.Sleep(targetOneWayDelay)
		return status.New(status.ConnectionFailed, status.NotRun, "down")
	case t.rng.Float64() < t.RefusalProbability, t.running >= t.Slots && len(t.waiting) >= t.MaxQueue:
		t.mu.Unlock()
		time.Sleep(targetOneWayDelay)
		return status.New(status.Shed, status.NotRun, "full")
	}
	if t.running < t.Slots {
		t.running++
		t.mu.Unlock()
	} else {
		slot := make(chan struct{}, 1)
		t.waiting = append(t.waiting, slot)
		t.mu.Unlock()
		select {
		case <-slot:
		case <-ctx.Done():
			t.mu.Lock()
			for i, waiter := range t.waiting {
				if waiter == slot {
					t.waiting = append(t.waiting[:i], t.waiting[i+1:]...)
					t.mu.Unlock()
					return contextError(ctx)
				}
			}
			t.mu.Unlock()
			t.releaseSlot()
			return contextError(ctx)
		}
	}
	start := now()
	t.mu.Lock()
	duration := t.serviceDuration(start, serviceTime)
	t.mu.Unlock()
	timer := time.NewTimer(duration)
	defer timer.Stop()
	defer func() {
		t.mu.Lock()
		t.busy += now() - start
		t.mu.Unlock()
		t.releaseSlot()
	}()
	select {
	case <-timer.C:
		t.mu.Lock()
		t.served++
		t.mu.Unlock()
		time.Sleep(targetOneWayDelay)
		return nil
	case <-ctx.Done():
		return contextError(ctx)
	}
}

func contextError(ctx context.Context) error {
	if ctx.Err() == context.DeadlineExceeded {
		return status.New(status.DeadlineExceeded, status.Unknown, "deadline")
	}
	return status.New(status.Canceled, status.Unknown, "canceled")
}

// releaseSlot passes the slot to the first waiting request, if any.
func (t *Target) releaseSlot() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.waiting) > 0 {
		t.waiting[0] <- struct{}{}
		t.waiting = t.waiting[1:]
		return
	}
	t.running--
}

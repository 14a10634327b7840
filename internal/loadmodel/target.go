package loadmodel

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/balsamstall/balsamstall/protocol/requestrate"
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
	// RateLimit is the rate limit that the target states in its replies from RateLimitStart on, in
	// requests per second. Zero means none.
	RateLimit      float64
	RateLimitStart time.Duration
	// EndsAt is the time at which the target leaves and refuses connections from then on. Zero means
	// never.
	EndsAt time.Duration
	// StartedAfterBackup is set if the backup of Load.RestoredAt lacks the target.
	StartedAfterBackup bool
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
	// refusedAt holds the times of the attempts that came after the end of the target.
	refusedAt []time.Duration
	// arrivals holds the times at which attempts arrived while the target stated a rate limit.
	arrivals []time.Duration
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

// RefusedAfterEnd returns the number of attempts that a target which has ended refused from the given time
// on.
func (t *Target) RefusedAfterEnd(from time.Duration) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, at := range t.refusedAt {
		if at >= from {
			n++
		}
	}
	return n
}

// MaxArrivals returns the largest number of attempts that arrived within any window that begins after
// the target had stated its rate limit for the grace time.
func (t *Target) MaxArrivals(grace, window time.Duration) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	most, first := 0, 0
	for last, at := range t.arrivals {
		for t.arrivals[first] < max(at-window, t.RateLimitStart+grace) && first < last {
			first++
		}
		if at >= t.RateLimitStart+grace {
			most = max(most, last-first+1)
		}
	}
	return most
}

// statedRate returns the rate limit that a reply at the given time states.
func (t *Target) statedRate(now time.Duration) requestrate.Rate {
	limited := t.RateLimit > 0 && now >= t.RateLimitStart
	if !limited {
		return requestrate.Rate{}
	}
	return requestrate.Rate{Stated: true, PerSecond: t.RateLimit}
}

func (t *Target) isDown(now time.Duration) bool { return t.Down || t.EndsAt > 0 && now >= t.EndsAt }

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
	if t.statedRate(now()).Stated {
		t.arrivals = append(t.arrivals, now())
	}
	switch {
	case t.isDown(now()):
		if t.EndsAt > 0 {
			t.refusedAt = append(t.refusedAt, now())
		}
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

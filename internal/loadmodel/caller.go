package loadmodel

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/balsamstall/balsamstall/coordination/coverage"
	"github.com/balsamstall/balsamstall/internal/engine"
	"github.com/balsamstall/balsamstall/protocol/callerapi"
	"github.com/balsamstall/balsamstall/protocol/ids"
	"github.com/balsamstall/balsamstall/protocol/index"
	"github.com/balsamstall/balsamstall/protocol/status"
)

const (
	// callerOneWayDelay is the one-way network delay between a caller and an entry.
	callerOneWayDelay = 3 * time.Millisecond
	// reserveFraction and minReserve set the time that is kept free before the latency goal for
	// sending the answer. The relay keeps the same reserve.
	reserveFraction = 0.08
	minReserve      = 9 * time.Millisecond
	// returningWait is the time that the callers of Load.ReturningRate have already waited.
	returningWait = time.Second
	// minReportedWait is the wait, as a fraction of the goal, above which the entry is told how
	// long the caller has waited.
	minReportedWait = 0.1
	// maxRetryDelay is the longest retry delay that a caller accepts, as a fraction of the time
	// left until its deadline.
	maxRetryDelay = 1.0 / 3
	// earlyRefusal is the fraction of the goal within which a first call must be refused for the
	// second call to earn credit against its own goal.
	earlyRefusal = 0.25
	// maxRuns limits the number of targets that may run one sub-request.
	maxRuns = 2
	// serviceTimeSigma is the standard deviation of the logarithm of the service time. The
	// fraction tailFraction of the sub-requests takes tailFactor times as long.
	serviceTimeSigma, tailFraction, tailFactor = 0.35, 0.01, 5
)

// simulateReturningCallers starts the callers that arrive in the first second and made their first
// call a second earlier.
func (s *simulation) simulateReturningCallers(rng *rand.Rand) {
	k := s.load.Kinds[0]
	k.Deadline -= returningWait
	var running sync.WaitGroup
	for s.now() < time.Second {
		time.Sleep(time.Duration(rng.ExpFloat64() / s.load.ReturningRate * float64(time.Second)))
		caller := rand.New(rand.NewPCG(rng.Uint64(), 5))
		running.Go(func() { s.simulateCaller(k, returningWait, caller) })
	}
	running.Wait()
}

// simulateCaller simulates one caller that has already waited for the given time. A caller that
// has not waited calls again once after a refusal.
func (s *simulation) simulateCaller(k Kind, waited time.Duration, rng *rand.Rand) {
	firstCall, deadline := time.Now().Add(-waited), time.Now().Add(k.Deadline)
	firstEntry := rng.IntN(len(s.engines))
	sent := time.Now()
	result, err := s.sendSearch(firstEntry, k, firstCall, deadline, rng)
	if !isRefusal(err) || waited > 0 {
		name := k.Name
		if waited > 0 {
			name = ReturningKind
		}
		s.result.count(name, s.outcomeOf(k, result, err, callOutcome{withinGoal: time.Since(firstCall) <= k.Goal}))
		return
	}
	refusedEarly := float64(time.Since(sent)) <= earlyRefusal*float64(k.Goal)
	time.Sleep(min(status.From(err).RetryAfter, time.Duration(maxRetryDelay*float64(time.Until(deadline)))))
	secondEntry := (firstEntry + 1 + rng.IntN(max(len(s.engines)-1, 1))) % len(s.engines)
	sent = time.Now()
	result, err = s.sendSearch(secondEntry, k, firstCall, deadline, rng)
	s.result.count(k.Name, s.outcomeOf(k, result, err, callOutcome{withinGoal: time.Since(firstCall) <= k.Goal, retried: true,
		withinRetryGoal: refusedEarly && time.Since(sent) <= k.Goal}))
}

func isRefusal(err error) bool { return err != nil && status.From(err).Outcome == status.NotRun }

// outcomeOf returns c with the result of the caller's last call added.
func (s *simulation) outcomeOf(k Kind, result *engine.Result, err error, c callOutcome) callOutcome {
	c.refused, c.failed = isRefusal(err), err != nil
	if err == nil {
		c.coverage = float64(result.Answered) / float64(s.load.Shards)
	}
	return c
}

// sendSearch sends one search to an entry and returns when its answer has reached the caller.
func (s *simulation) sendSearch(entry int, k Kind, firstCall, deadline time.Time, rng *rand.Rand) (*engine.Result, error) {
	time.Sleep(callerOneWayDelay)
	defer time.Sleep(callerOneWayDelay)
	entry = s.runningEntry(entry)
	snapshot := s.lists[entry].snapshot.Load()
	req := &engine.Request{
		ID: "model", Service: k.Name, Arrival: time.Now(), Deadline: deadline.Add(-2 * callerOneWayDelay), SkipAdmission: true,
		Contract: engine.Contract{
			Latency:         k.Goal,
			Cutoff:          coverage.Cutoff{Goal: k.Goal, Reserve: max(time.Duration(reserveFraction*float64(k.Goal)), minReserve), MinRatio: k.MinRatio},
			RequireMinRatio: true,
			MaxRuns:         maxRuns,
			MaxFanout:       unlimited,
		},
		Groups: s.groups, GroupTargets: snapshot.Shards,
		Priority: k.Priority,
		Work:     &search{sim: s, kind: k, entry: entry, snapshot: snapshot, rng: rand.New(rand.NewPCG(rng.Uint64(), 6))},
	}
	if waited := time.Since(firstCall) - callerOneWayDelay; !s.load.HideWaited && float64(waited) > minReportedWait*float64(k.Goal) {
		req.Waited = waited
	}
	ctx, cancel := context.WithDeadline(context.Background(), req.Deadline)
	defer cancel()
	return s.engines[entry].Run(ctx, req)
}

// search is one search over the simulated targets. It implements engine.Work.
type search struct {
	sim  *simulation
	kind Kind
	// entry is the number of the entry that runs the search.
	entry    int
	snapshot *index.Snapshot

	mu sync.Mutex
	// rng is guarded by mu.
	rng *rand.Rand
}

// ChooseSnapshot implements engine.Work.
func (s *search) ChooseSnapshot(func(string) bool, func(ids.Snapshot) bool) (*index.Snapshot, int, bool) {
	return s.snapshot, len(s.snapshot.Shards), true
}

// StartMerge implements engine.Work.
func (s *search) StartMerge(*index.Snapshot) {}

// Accept implements engine.Work.
func (s *search) Accept(int, any) {}

// MarkMissing implements engine.Work.
func (s *search) MarkMissing(int, callerapi.Reason) {}

// Send implements engine.Work.
func (s *search) Send(ctx context.Context, a engine.Attempt) (any, error) {
	e := s.sim.engines[s.entry]
	if err := e.MaySend(a.Target); err != nil {
		return nil, err
	}
	sent, target := e.Self().Clock(), s.sim.result.Targets[a.Target]
	if s.sim.cut(s.entry) {
		<-ctx.Done()
		return nil, contextError(ctx)
	}
	if err := target.simulateAttempt(ctx, s.sim.now, s.drawServiceTime()); err != nil {
		return nil, err
	}
	e.RateLimits().RecordReply(a.Target, "", sent, target.statedRate(s.sim.now()), true)
	return struct{}{}, nil
}

// drawServiceTime draws the time that a target needs for one sub-request from a log-normal
// distribution with a heavier tail.
func (s *search) drawServiceTime() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	serviceTime := float64(s.kind.MeanServiceTime) * math.Exp(serviceTimeSigma*s.rng.NormFloat64()-serviceTimeSigma*serviceTimeSigma/2)
	if s.rng.Float64() < tailFraction {
		serviceTime *= tailFactor
	}
	return time.Duration(serviceTime)
}

// connections simulates connections to the targets, which succeed if the target is up and not
// partitioned. It implements engine.Connections.
type connections struct {
	sim *simulation
	// entry is the number of the entry that opens the connections.
	entry int
}

// Reachable implements engine.Connections.
func (c connections) Reachable(ctx context.Context, target string) bool {
	t := c.sim.result.Targets[target]
	if t.partitioned(c.sim.now()) || c.sim.cut(c.entry) {
		<-ctx.Done()
		return false
	}
	time.Sleep(2 * targetOneWayDelay)
	return !t.isDown(c.sim.now())
}

// DropIdle implements engine.Connections.
func (connections) DropIdle() {}

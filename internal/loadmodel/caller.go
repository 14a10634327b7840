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
	// callerWay is the time between a caller and an entry.
	callerWay = 3 * time.Millisecond
	// reservePart and minReserve are kept before the goal, as the relay does.
	reservePart = 0.08
	minReserve  = 9 * time.Millisecond
	// returningWaited is how long the callers of Load.Returning have waited.
	returningWaited = time.Second
	// knownAge is the part of the goal from which an entry knows that a caller has waited.
	knownAge = 0.1
	// patience is the part of the time left up to which a caller keeps a time to return.
	patience = 1.0 / 3
	// early is the part of the goal within which a refusal lets the second call count.
	early = 0.25
	// maxRuns is the number of targets that may run one sub-request.
	maxRuns = 2
	// workSpread is the spread of the work, tailShare the part of it that takes tailFactor
	// times as long.
	workSpread, tailShare, tailFactor = 0.35, 0.01, 5
)

// callAgain plays the callers of the first second who called a second earlier.
func (r *run) callAgain(rng *rand.Rand) {
	k := r.load.Kinds[0]
	k.Deadline -= returningWaited
	var running sync.WaitGroup
	for r.now() < time.Second {
		time.Sleep(time.Duration(rng.ExpFloat64() / r.load.Returning * float64(time.Second)))
		caller := rand.New(rand.NewPCG(rng.Uint64(), 5))
		running.Go(func() { r.call(k, returningWaited, caller) })
	}
	running.Wait()
}

// call plays one caller who has waited for the given time. One who has not waited comes
// back once after a refusal.
func (r *run) call(k Kind, waited time.Duration, rng *rand.Rand) {
	began, deadline := time.Now().Add(-waited), time.Now().Add(k.Deadline)
	first := rng.IntN(len(r.engines))
	sent := time.Now()
	result, err := r.ask(first, k, began, deadline, rng)
	if !isRefusal(err) || waited > 0 {
		name := k.Name
		if waited > 0 {
			name = Returning
		}
		r.result.count(name, r.endOf(k, result, err, end{inAim: time.Since(began) <= k.Goal}))
		return
	}
	heldShort := float64(time.Since(sent)) <= early*float64(k.Goal)
	time.Sleep(min(status.From(err).RetryAfter, time.Duration(patience*float64(time.Until(deadline)))))
	second := (first + 1 + rng.IntN(max(len(r.engines)-1, 1))) % len(r.engines)
	sent = time.Now()
	result, err = r.ask(second, k, began, deadline, rng)
	r.result.count(k.Name, r.endOf(k, result, err, end{inAim: time.Since(began) <= k.Goal, back: true,
		second: heldShort && time.Since(sent) <= k.Goal}))
}

func isRefusal(err error) bool { return err != nil && status.From(err).Outcome == status.NotRun }

// endOf completes how a call ended.
func (r *run) endOf(k Kind, result *engine.Result, err error, e end) end {
	e.refused, e.failed = isRefusal(err), err != nil
	if err == nil {
		e.share = float64(result.Answered) / float64(len(r.snapshot.Shards))
	}
	return e
}

// ask sends one call to an entry and returns when its answer is back.
func (r *run) ask(entry int, k Kind, began, deadline time.Time, rng *rand.Rand) (*engine.Result, error) {
	time.Sleep(callerWay)
	defer time.Sleep(callerWay)
	req := &engine.Request{
		ID: "model", Service: k.Name, Arrival: time.Now(), Deadline: deadline.Add(-2 * callerWay), SkipAdmission: true,
		Contract: engine.Contract{
			Latency:         k.Goal,
			Cutoff:          coverage.Cutoff{Goal: k.Goal, Reserve: max(time.Duration(reservePart*float64(k.Goal)), minReserve), MinRatio: k.Least},
			RequireMinRatio: true,
			MaxRuns:         maxRuns,
			MaxFanout:       noLimit,
		},
		Groups: r.pools, GroupTargets: r.snapshot.Shards,
		Work: &search{run: r, kind: k, rng: rand.New(rand.NewPCG(rng.Uint64(), 6))},
	}
	if age := time.Since(began) - callerWay; !r.load.Blind && float64(age) > knownAge*float64(k.Goal) {
		req.Waited = age
	}
	ctx, cancel := context.WithDeadline(context.Background(), req.Deadline)
	defer cancel()
	return r.engines[entry].Run(ctx, req)
}

// search is one search over the simulated targets. It implements engine.Work.
type search struct {
	run  *run
	kind Kind

	mu sync.Mutex
	// rng is guarded by mu.
	rng *rand.Rand
}

// ChooseSnapshot implements engine.Work.
func (s *search) ChooseSnapshot(func(string) bool, func(ids.Snapshot) bool) (*index.Snapshot, int, bool) {
	return s.run.snapshot, len(s.run.snapshot.Shards), true
}

// StartMerge implements engine.Work.
func (s *search) StartMerge(*index.Snapshot) {}

// Accept implements engine.Work.
func (s *search) Accept(int, any) {}

// Miss implements engine.Work.
func (s *search) Miss(int, callerapi.Reason) {}

// Send implements engine.Work.
func (s *search) Send(ctx context.Context, a engine.Attempt) (any, error) {
	if err := s.run.result.Targets[a.Target].send(ctx, s.run.now, s.work()); err != nil {
		return nil, err
	}
	return struct{}{}, nil
}

// work draws the time that a target takes for one sub-request.
func (s *search) work() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := float64(s.kind.Work) * math.Exp(workSpread*s.rng.NormFloat64()-workSpread*workSpread/2)
	if s.rng.Float64() < tailShare {
		w *= tailFactor
	}
	return time.Duration(w)
}

// connections opens connections to the targets that are up and not cut off. It implements
// engine.Connections.
type connections struct{ run *run }

// Reachable implements engine.Connections.
func (c connections) Reachable(ctx context.Context, target string) bool {
	t := c.run.result.Targets[target]
	if t.silent(c.run.now()) {
		<-ctx.Done()
		return false
	}
	time.Sleep(2 * oneWay)
	return !t.Down
}

// DropIdle implements engine.Connections.
func (connections) DropIdle() {}

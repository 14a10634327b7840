package engine_test

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/balsamstall/balsamstall/coordination/coverage"
	"github.com/balsamstall/balsamstall/coordination/retrybudget"
	"github.com/balsamstall/balsamstall/internal/engine"
	"github.com/balsamstall/balsamstall/protocol/callerapi"
	"github.com/balsamstall/balsamstall/protocol/ids"
	"github.com/balsamstall/balsamstall/protocol/index"
	"github.com/balsamstall/balsamstall/protocol/status"
)

const (
	// oneWay is the time between an entry and a target.
	oneWay = 500 * time.Microsecond
	// callerWay is the time between a caller and an entry.
	callerWay = 3 * time.Millisecond
)

// simTarget plays a target: slots, a queue, pauses, spells of slowness, refusals.
type simTarget struct {
	slots, queue int
	// pauseFor and pauseEvery describe regular pauses that begin at phase.
	pauseFor, pauseEvery, phase time.Duration
	// slow multiplies the work; shed is the part of the requests that is refused.
	slow, shed float64
	down       bool
	// silentFrom and silentTo bound a partition: bytes to the target are lost meanwhile.
	silentFrom, silentTo time.Duration

	mu      sync.Mutex
	rng     *rand.Rand
	running int
	waiting []chan struct{}
	served  int
	busy    time.Duration
	// unheard counts the attempts that a partition swallowed.
	unheard int
}

func (t *simTarget) silent(now time.Duration) bool { return t.silentFrom <= now && now < t.silentTo }

// noise is the spell of slowness by neighbours at a time: 15% of the spells of 600 ms.
func (t *simTarget) noise(at time.Duration) float64 {
	const spell, share, factor = 600 * time.Millisecond, 0.15, 2.5
	x := math.Sin(float64(at/spell)*12.9898+t.phase.Seconds()*78.233) * 43758.5453
	if x-math.Floor(x) < share {
		return factor
	}
	return 1
}

// length returns how long work takes from now, pauses included.
func (t *simTarget) length(now, work time.Duration) time.Duration {
	work = time.Duration(float64(work) * t.slow * t.noise(now))
	end := now + work
	if t.pauseEvery == 0 {
		return work
	}
	for k := (now - t.phase) / t.pauseEvery; ; k++ {
		from := t.phase + k*t.pauseEvery
		to := from + t.pauseFor
		if from >= end {
			return end - now
		}
		if to > now {
			end += to - max(from, now)
		}
	}
}

// send plays one attempt.
func (t *simTarget) send(ctx context.Context, now func() time.Duration, work time.Duration) error {
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
	case t.down:
		t.mu.Unlock()
		time.Sleep(oneWay)
		return status.New(status.ConnectionFailed, status.NotRun, "down")
	case t.rng.Float64() < t.shed, t.running >= t.slots && len(t.waiting) >= t.queue:
		t.mu.Unlock()
		time.Sleep(oneWay)
		return status.New(status.Shed, status.NotRun, "full")
	}
	if t.running < t.slots {
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
func (t *simTarget) free() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.waiting) > 0 {
		t.waiting[0] <- struct{}{}
		t.waiting = t.waiting[1:]
		return
	}
	t.running--
}

// kind is a kind of search that callers ask for.
type kind struct {
	name      string
	perSecond float64
	// work is the mean time that a target takes for it.
	work           time.Duration
	goal, deadline time.Duration
	// least is the least share of the shards in an answer.
	least, worth float64
}

// load is what is played.
type load struct {
	entries  int
	length   time.Duration
	kinds    []kind
	shards   int
	replicas int
	// swing makes the rate a wave of the given period.
	swing  float64
	period time.Duration
	// returning is the number of callers a second who have waited a second already, during
	// the first second.
	returning float64
	// blind hides from the entries how long callers have waited.
	blind bool
	// set changes targets at the start; shard and replica count from 0.
	set func(shard, replica int, t *simTarget)
}

// outcome counts what the callers of one kind got.
type outcome struct {
	asked, inAim, second, late, refused, failed int
	// back counts those of inAim who were refused once.
	back int
	// credit is what the callers of the users' platform count: the squared share of the
	// shards for an answer in aim, a part of it for one in aim of the second call or a late
	// one, and a loss for callers that were told to return and are refused again.
	credit float64
}

// Parts of the credit; see outcome.
const (
	secondCredit = 0.55
	lateCredit   = 0.1
	againLoss    = 0.3
)

// count counts one caller. inAim tells whether the answer came within the goal of its
// first call, second whether within that of the second one.
func (o *outcome) count(refused bool, err error, share float64, inAim, second bool) {
	o.asked++
	switch {
	case refused:
		o.refused++
		o.credit -= againLoss
	case err != nil:
		o.failed++
	case inAim:
		o.inAim++
		o.credit += share * share
	case second:
		o.second++
		o.credit += secondCredit * share * share
	default:
		o.late++
		o.credit += lateCredit * share * share
	}
}

// add joins the counts of two runs.
func (o *outcome) add(p *outcome) {
	o.asked, o.inAim, o.second = o.asked+p.asked, o.inAim+p.inAim, o.second+p.second
	o.late, o.refused, o.failed = o.late+p.late, o.refused+p.refused, o.failed+p.failed
	o.back += p.back
	o.credit += p.credit
}

// board collects the outcomes.
type board struct {
	mu   sync.Mutex
	by   map[string]*outcome
	site map[string]*simTarget
}

// simWork is one search over the simulated targets.
type simWork struct {
	board    *board
	snapshot *index.Snapshot
	now      func() time.Duration
	draw     func() time.Duration
}

func (w *simWork) Choose(func(string) bool, func(ids.Snapshot) bool) (*index.Snapshot, int, bool) {
	return w.snapshot, len(w.snapshot.Shards), true
}
func (w *simWork) Start(*index.Snapshot)      {}
func (w *simWork) Accept(int, any)            {}
func (w *simWork) Miss(int, callerapi.Reason) {}
func (w *simWork) Send(ctx context.Context, a engine.Attempt) (any, error) {
	if err := w.board.site[a.Target].send(ctx, w.now, w.draw()); err != nil {
		return nil, err
	}
	return struct{}{}, nil
}

// simConnections opens connections to the targets that are up and not cut off.
type simConnections struct {
	board *board
	now   func() time.Duration
}

func (c simConnections) Reachable(ctx context.Context, target string) bool {
	t := c.board.site[target]
	if t.silent(c.now()) {
		<-ctx.Done()
		return false
	}
	time.Sleep(2 * oneWay)
	return !t.down
}

func (simConnections) DropIdle() {}

// play runs a load against entries with all policies, in simulated time. It must be
// called in a bubble of synctest.
func (l *load) play(seed uint64) *board {
	rng := rand.New(rand.NewPCG(seed, 1))
	start := time.Now()
	now := func() time.Duration { return time.Since(start) }
	b := &board{by: make(map[string]*outcome), site: make(map[string]*simTarget)}
	snapshot := &index.Snapshot{Snapshot: ids.Snapshot{IndexVersion: 1, ShardMapEpoch: 1}}
	catalogue := &engine.Catalogue{Entries: l.entries, Runners: l.entries, Repeats: retrybudget.FleetSettings{Ratio: 0.2, Minimum: 52, Window: 10 * time.Second}}
	var pools []string
	for s := range l.shards {
		var shard []string
		pool := fmt.Sprintf("g%d", s)
		pools = append(pools, pool)
		catalogue.Pools = append(catalogue.Pools, engine.CataloguePool{Name: pool, RepeatPart: 1 / float64(l.entries), Slots: 3 * l.replicas})
		for r := range l.replicas {
			id := fmt.Sprintf("t%d-%d", s, r)
			const pauseEvery = 4500 * time.Millisecond
			t := &simTarget{slots: 3, queue: 18, slow: 1, pauseFor: 200 * time.Millisecond, pauseEvery: pauseEvery,
				phase: time.Duration(rng.Int64N(int64(pauseEvery))) - pauseEvery, rng: rand.New(rand.NewPCG(seed, uint64(s*10+r)))}
			if l.set != nil {
				l.set(s, r, t)
			}
			b.site[id] = t
			shard = append(shard, id)
			catalogue.Targets = append(catalogue.Targets, engine.CatalogueTarget{ID: id, Zone: fmt.Sprint(r), Slots: t.slots})
		}
		snapshot.Shards = append(snapshot.Shards, shard)
	}
	for _, k := range l.kinds {
		catalogue.Services = append(catalogue.Services, engine.CatalogueService{Name: k.name, Priority: 1, MaxConcurrency: 10_000, MaxQueue: 10_000, Shards: l.shards})
		b.by[k.name] = &outcome{}
	}
	engines := make([]*engine.Engine, l.entries)
	for i := range engines {
		self := engine.Identity{Entry: fmt.Sprintf("e%d", i), Zone: fmt.Sprint(i % 4), Incarnation: ids.NewIncarnation(), Start: start.Add(-time.Hour)}
		engines[i] = engine.New(engine.Config{Self: self, Log: zerolog.Nop(), Targets: simConnections{b, now}, GuardKey: []byte("k"), PolicyOn: true, Metrics: &engine.Metrics{}})
		engines[i].SetCatalogue(catalogue)
	}
	var running sync.WaitGroup
	if l.returning > 0 {
		b.by["returning"] = &outcome{}
		running.Go(func() { l.callAgain(b, engines, snapshot, pools, now, rand.New(rand.NewPCG(seed, 4))) })
	}
	for now() < l.length {
		k, gap := l.next(now(), rng)
		time.Sleep(gap)
		callerRng := rand.New(rand.NewPCG(rng.Uint64(), 3))
		running.Go(func() { l.call(b, engines, k, 0, snapshot, pools, now, callerRng) })
	}
	running.Wait()
	time.Sleep(2 * oneWay) // Ends of connections travel to the targets.
	return b
}

// next draws the kind of the next call and the time until it comes.
func (l *load) next(now time.Duration, rng *rand.Rand) (k kind, gap time.Duration) {
	sum := 0.0
	for _, each := range l.kinds {
		sum += each.perSecond
	}
	rate := sum
	if l.period > 0 {
		rate *= 1 + l.swing*math.Sin(2*math.Pi*now.Seconds()/l.period.Seconds())
	}
	x := rng.Float64() * sum
	for _, k = range l.kinds {
		if x -= k.perSecond; x < 0 {
			break
		}
	}
	return k, time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
}

// callAgain plays the callers of the first second who called a second earlier.
func (l *load) callAgain(b *board, engines []*engine.Engine, snapshot *index.Snapshot, pools []string, now func() time.Duration, rng *rand.Rand) {
	const waited = time.Second
	k := l.kinds[0]
	k.name, k.deadline = "returning", k.deadline-waited
	var running sync.WaitGroup
	for now() < time.Second {
		time.Sleep(time.Duration(rng.ExpFloat64() / l.returning * float64(time.Second)))
		callerRng := rand.New(rand.NewPCG(rng.Uint64(), 5))
		running.Go(func() { l.call(b, engines, k, waited, snapshot, pools, now, callerRng) })
	}
	running.Wait()
}

// call plays one caller, who comes back once after a refusal unless it has called before.
func (l *load) call(b *board, engines []*engine.Engine, k kind, waited time.Duration, snapshot *index.Snapshot, pools []string, now func() time.Duration, rng *rand.Rand) {
	began := time.Now().Add(-waited)
	deadline := time.Now().Add(k.deadline)
	var drawMu sync.Mutex
	draw := func() time.Duration {
		drawMu.Lock()
		defer drawMu.Unlock()
		w := float64(k.work) * math.Exp(0.35*rng.NormFloat64()-0.06)
		if rng.Float64() < 0.01 {
			w *= 5
		}
		return time.Duration(w)
	}
	previous, heldShort := -1, false
	for try := 0; ; try++ {
		sent := time.Now()
		time.Sleep(callerWay)
		e := rng.IntN(len(engines))
		if e == previous && len(engines) > 1 {
			e = (e + 1) % len(engines)
		}
		previous = e
		req := &engine.Request{
			ID: "r", Service: l.kinds[0].name, Arrival: time.Now(), Deadline: deadline.Add(-2 * callerWay), Unlimited: true,
			Contract: engine.Contract{Latency: k.goal, Cutoff: coverage.Cutoff{Goal: k.goal, Reserve: max(time.Duration(0.08*float64(k.goal)), 9*time.Millisecond), MinRatio: k.least},
				Complete: true, MaxRuns: 2, MaxFanout: 10_000},
			Pools: pools, Others: snapshot.Shards,
			Work: &simWork{board: b, snapshot: snapshot, now: now, draw: draw},
		}
		if k.name != "returning" {
			req.Service = k.name
		}
		if age := time.Since(began) - callerWay; !l.blind && age > k.goal/10 {
			req.Waited = age
		}
		ctx, cancel := context.WithDeadline(context.Background(), req.Deadline)
		result, err := engines[e].Run(ctx, req)
		cancel()
		time.Sleep(callerWay)
		refused := err != nil && status.From(err).Outcome == status.NotRun
		if refused && try == 0 && waited == 0 {
			wait := min(status.From(err).RetryAfter, time.Until(deadline)/3)
			heldShort = time.Since(sent) <= k.goal/4
			time.Sleep(wait)
			continue
		}
		share := 0.0
		if err == nil {
			share = float64(result.Answered) / float64(len(snapshot.Shards))
		}
		b.mu.Lock()
		defer b.mu.Unlock()
		o := b.by[k.name]
		o.count(refused, err, share, time.Since(began) <= k.goal, try > 0 && heldShort && time.Since(sent) <= k.goal)
		if try > 0 && err == nil && time.Since(began) <= k.goal {
			o.back++
		}
		return
	}
}

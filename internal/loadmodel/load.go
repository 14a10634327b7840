// Package loadmodel plays loads of searches against simulated targets, through the request
// engine with all its decisions. Targets have slots, queues, pauses, spells of slowness,
// refusals and partitions; callers come in waves, return after refusals and count what they
// get. Tests play in simulated time (testing/synctest), balsam-load model in real time.
//
// A seed fixes the callers, the targets and their work. The engine draws its own random
// numbers, so that two runs of a seed differ a little.
package loadmodel

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/balsamstall/balsamstall/coordination/retrybudget"
	"github.com/balsamstall/balsamstall/internal/engine"
	"github.com/balsamstall/balsamstall/protocol/ids"
	"github.com/balsamstall/balsamstall/protocol/index"
)

// Shape of the users' deployments.
const (
	slots, queue = 3, 18
	pauseFor     = 200 * time.Millisecond
	pauseEvery   = 4500 * time.Millisecond
	// zones is the number of zones that the entries are in. A replica is in the zone of its
	// number.
	zones = 4
	// noLimit stands for limits that play no part.
	noLimit = 10_000
)

// repeats is the bound on the repeats of the fleet at each shard.
var repeats = retrybudget.FleetSettings{Ratio: 0.2, Minimum: 52, Window: 10 * time.Second}

// Returning is the kind of the callers of Load.Returning.
const Returning = "returning"

// Kind is a kind of search.
type Kind struct {
	Name string
	// PerSecond is the mean number of callers a second.
	PerSecond float64
	// Work is the mean time that a target takes for it.
	Work time.Duration
	// Goal is the latency goal, Deadline the time for which a caller waits.
	Goal, Deadline time.Duration
	// Least is the least share of the shards in an answer.
	Least float64
	// Worth weighs the kinds in a summary.
	Worth float64
}

// Load is what is played.
type Load struct {
	// Entries is the number of entries, whose callers choose one at random.
	Entries int
	// Length is the time in which callers come.
	Length time.Duration
	Kinds  []Kind
	// Shards and Replicas set the number of targets.
	Shards, Replicas int
	// Swing makes the rate a wave of the given period, from 1-Swing to 1+Swing.
	Swing  float64
	Period time.Duration
	// Returning is the number of callers a second of the first kind, during the first
	// second, who called a second earlier.
	Returning float64
	// Blind hides from the entries how long callers have waited.
	Blind bool
	// Set changes a target before the start; shard and replica count from 0.
	Set func(shard, replica int, t *Target)
}

// run is a load that is being played.
type run struct {
	load     *Load
	result   *Result
	start    time.Time
	snapshot *index.Snapshot
	pools    []string
	engines  []*engine.Engine
}

func (r *run) now() time.Duration { return time.Since(r.start) }

// Play plays the load and returns when the last caller has an answer.
func (l *Load) Play(seed uint64) *Result {
	rng := rand.New(rand.NewPCG(seed, 1))
	r := &run{load: l, start: time.Now(), result: &Result{Targets: make(map[string]*Target), kinds: make(map[string]*Outcome)}}
	r.wire(seed, rng)
	var running sync.WaitGroup
	if l.Returning > 0 {
		running.Go(func() { r.callAgain(rand.New(rand.NewPCG(seed, 2))) })
	}
	for r.now() < l.Length {
		k, gap := l.next(r.now(), rng)
		time.Sleep(gap)
		caller := rand.New(rand.NewPCG(rng.Uint64(), 3))
		running.Go(func() { r.call(k, 0, caller) })
	}
	running.Wait()
	time.Sleep(2 * oneWay) // Ends of connections travel to the targets.
	return r.result
}

// wire makes the targets and the entries.
func (r *run) wire(seed uint64, rng *rand.Rand) {
	l := r.load
	catalogue := &engine.Catalogue{Entries: l.Entries, GatherEntries: l.Entries, Repeats: repeats}
	r.snapshot = &index.Snapshot{Snapshot: ids.Snapshot{IndexVersion: 1, ShardMapEpoch: 1}}
	for shard := range l.Shards {
		pool := fmt.Sprintf("shard-%d", shard)
		var names []string
		for replica := range l.Replicas {
			name := TargetName(shard, replica)
			t := &Target{Slots: slots, Queue: queue, Slow: 1, PauseFor: pauseFor, PauseEvery: pauseEvery,
				Phase: time.Duration(rng.Int64N(int64(pauseEvery))) - pauseEvery,
				rng:   rand.New(rand.NewPCG(seed, uint64(shard*l.Replicas+replica)))}
			if l.Set != nil {
				l.Set(shard, replica, t)
			}
			r.result.Targets[name] = t
			names = append(names, name)
			catalogue.Targets = append(catalogue.Targets, engine.CatalogueTarget{ID: name, Zone: fmt.Sprint(replica), Slots: t.Slots})
		}
		r.pools = append(r.pools, pool)
		r.snapshot.Shards = append(r.snapshot.Shards, names)
		catalogue.Groups = append(catalogue.Groups, engine.CatalogueGroup{Name: pool, RepeatPart: 1 / float64(l.Entries), Slots: slots * l.Replicas})
	}
	for _, k := range l.Kinds {
		catalogue.Services = append(catalogue.Services, engine.CatalogueService{Name: k.Name, Priority: 1, MaxConcurrency: noLimit, MaxQueue: noLimit, Shards: l.Shards})
		r.result.kinds[k.Name] = &Outcome{}
	}
	r.result.kinds[Returning] = &Outcome{}
	for i := range l.Entries {
		self := engine.Identity{Entry: fmt.Sprintf("entry-%d", i), Zone: fmt.Sprint(i % zones), Incarnation: ids.NewIncarnation(), Start: r.start.Add(-time.Hour)}
		e := engine.New(engine.Config{Self: self, Log: zerolog.Nop(), Targets: connections{r}, FingerprintKey: []byte("model"), PolicyOn: true, Metrics: &engine.Metrics{}})
		e.SetCatalogue(catalogue)
		r.engines = append(r.engines, e)
	}
}

// TargetName names the replica of a shard, both counted from 0.
func TargetName(shard, replica int) string { return fmt.Sprintf("%d-%d", shard, replica) }

// next draws the kind of the next call and the time until it comes.
func (l *Load) next(now time.Duration, rng *rand.Rand) (k Kind, gap time.Duration) {
	sum := 0.0
	for _, each := range l.Kinds {
		sum += each.PerSecond
	}
	rate := sum
	if l.Period > 0 {
		rate *= 1 + l.Swing*math.Sin(2*math.Pi*now.Seconds()/l.Period.Seconds())
	}
	x := rng.Float64() * sum
	for _, k = range l.Kinds {
		if x -= k.PerSecond; x < 0 {
			break
		}
	}
	return k, time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
}

// Summary describes the outcomes of the kinds of a load in one line, the credit weighted by
// what each kind is worth first.
func (l *Load) Summary(name string, kinds map[string]*Outcome) string {
	credit, worth, text := 0.0, 0.0, ""
	for _, k := range l.Kinds {
		o := kinds[k.Name]
		credit += o.Credit * k.Worth
		worth += float64(o.Asked) * k.Worth
		text += fmt.Sprintf("; %s: %v", k.Name, o)
	}
	return fmt.Sprintf("%s, %d entries: credit %.3f%s", name, l.Entries, credit/max(worth, 1), text)
}

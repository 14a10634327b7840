// Package loadmodel simulates search load on simulated targets. The requests pass through the real
// request engine with all its decisions. Targets have slots, queues, pauses, phases of slowness,
// refusals and partitions. The rate of callers can vary as a sine wave; callers retry after a
// refusal, and their outcomes are counted. Tests run in simulated time (testing/synctest),
// balsam-load model runs in real time.
//
// A seed determines the callers, the targets and the service times. The engine draws its own
// random numbers, so two runs with the same seed differ slightly.
package loadmodel

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/balsamstall/balsamstall/coordination/ratelimit"
	"github.com/balsamstall/balsamstall/coordination/restore"
	"github.com/balsamstall/balsamstall/coordination/retrybudget"
	"github.com/balsamstall/balsamstall/internal/engine"
	"github.com/balsamstall/balsamstall/internal/targetrate"
	"github.com/balsamstall/balsamstall/protocol/ids"
	"github.com/balsamstall/balsamstall/protocol/peerpb"
	"github.com/balsamstall/balsamstall/protocol/status"
	"github.com/balsamstall/balsamstall/protocol/targetlist"
)

// Parameters of the simulated deployment, which resembles those of the users.
const (
	targetSlots, targetMaxQueue = 3, 18
	pauseDuration               = 200 * time.Millisecond
	pauseInterval               = 4500 * time.Millisecond
	// zones is the number of zones that the entries are spread over. Replica i is in zone i.
	zones = 4
	// unlimited is a limit that is never reached.
	unlimited = 10_000
)

// fleetRepeats limits the repeats (retries and hedges) of the fleet at each shard.
var fleetRepeats = retrybudget.FleetSettings{Ratio: 0.2, Minimum: 52, Window: 10 * time.Second}

// ReturningKind is the name under which the callers of Load.ReturningRate are counted.
const ReturningKind = "returning"

// Kind is a kind of search.
type Kind struct {
	Name string
	// Rate is the mean number of callers per second.
	Rate float64
	// MeanServiceTime is the mean time that a target needs for one sub-request.
	MeanServiceTime time.Duration
	// Goal is the latency goal, Deadline the time that a caller waits.
	Goal, Deadline time.Duration
	// MinRatio is the minimum fraction of the shards in an answer.
	MinRatio float64
	// Weight is the weight of the kind in a summary.
	Weight float64
	// Priority ranks the kinds, 1 being the most urgent.
	Priority int
	// BurstFactor multiplies the rate between BurstStart and BurstEnd. Zero means no burst.
	BurstFactor          float64
	BurstStart, BurstEnd time.Duration
}

// rateAt returns the mean number of callers per second at a time, without the sine wave of the load.
func (k *Kind) rateAt(now time.Duration) float64 {
	if k.BurstFactor > 0 && k.BurstStart <= now && now < k.BurstEnd {
		return k.Rate * k.BurstFactor
	}
	return k.Rate
}

// Load describes a load to simulate.
type Load struct {
	// Entries is the number of entries. Each caller chooses one at random.
	Entries int
	// Duration is the time during which callers arrive.
	Duration time.Duration
	Kinds    []Kind
	// Shards is the number of shards, Replicas the number of targets of each.
	Shards, Replicas int
	// Amplitude and Period make the rate a sine wave between 1-Amplitude and 1+Amplitude times
	// its mean. With a zero Period the rate is constant.
	Amplitude float64
	Period    time.Duration
	// ReturningRate is the number of additional callers per second that arrive during the first
	// second and made their first call a second earlier. They are of the first kind.
	ReturningRate float64
	// HideWaited hides from the entries how long callers have waited.
	HideWaited bool
	// Detached is the number of entries, the first ones, that are partitioned from all targets between
	// DetachedStart and DetachedEnd. NoDetour keeps peers from serving their requests.
	Detached                   int
	DetachedStart, DetachedEnd time.Duration
	NoDetour                   bool
	// RestoredAt is the time at which the list of targets is restored from a backup. Zero means
	// never. NoReconciliation makes the entries use the restored list as it is.
	RestoredAt       time.Duration
	NoReconciliation bool
	// UrgentFirst makes the entries keep free slots of contended shards for urgent requests.
	UrgentFirst bool
	// SetupTarget, if set, adjusts a target before the start. Shards and replicas count from 0.
	SetupTarget func(shard, replica int, t *Target)
}

// simulation is the state of one run of a load.
type simulation struct {
	load   *Load
	result *Result
	start  time.Time
	groups []string
	// targets lists all targets.
	targets []targetlist.Target
	// engines and metrics hold those of each entry.
	engines []*engine.Engine
	metrics []*engine.Metrics
	// lists holds the list of targets of each entry.
	lists []*entryList
}

func (s *simulation) now() time.Duration { return time.Since(s.start) }

// Run simulates the load and returns when the last caller has an answer.
func (l *Load) Run(seed uint64) *Result {
	rng := rand.New(rand.NewPCG(seed, 1))
	s := &simulation{load: l, start: time.Now(), result: &Result{Targets: make(map[string]*Target), kinds: make(map[string]*Outcome)}}
	s.createFleet(seed, rng)
	var running sync.WaitGroup
	if l.ReturningRate > 0 {
		running.Go(func() { s.simulateReturningCallers(rand.New(rand.NewPCG(seed, 2))) })
	}
	if l.RestoredAt > 0 {
		running.Go(s.simulateRestore)
	}
	for s.now() < l.Duration {
		k, gap := l.nextCall(s.now(), rng)
		time.Sleep(gap)
		caller := rand.New(rand.NewPCG(rng.Uint64(), 3))
		running.Go(func() { s.simulateCaller(k, 0, caller) })
	}
	running.Wait()
	time.Sleep(2 * targetOneWayDelay) // Closed connections reach the targets.
	for _, m := range s.metrics {
		s.result.ShardsLeftOut += m.ShardsLeftOut.Value()
	}
	return s.result
}

// createFleet creates the targets and the entries.
func (s *simulation) createFleet(seed uint64, rng *rand.Rand) {
	l := s.load
	for shard := range l.Shards {
		group := fmt.Sprintf("shard-%d", shard)
		for replica := range l.Replicas {
			name := TargetName(shard, replica)
			t := &Target{Slots: targetSlots, MaxQueue: targetMaxQueue, Slowdown: 1, PauseDuration: pauseDuration, PauseInterval: pauseInterval,
				PauseOffset: time.Duration(rng.Int64N(int64(pauseInterval))) - pauseInterval,
				rng:         rand.New(rand.NewPCG(seed, uint64(shard*l.Replicas+replica)))}
			if l.SetupTarget != nil {
				l.SetupTarget(shard, replica, t)
			}
			s.result.Targets[name] = t
			s.targets = append(s.targets, targetlist.Target{ID: name, Started: 1, Group: group, Zone: fmt.Sprint(replica), Slots: t.Slots})
		}
		s.groups = append(s.groups, group)
	}
	for _, k := range l.Kinds {
		s.result.kinds[k.Name] = &Outcome{}
	}
	s.result.kinds[ReturningKind] = &Outcome{}
	var fleet targetrate.Fleet
	for i := range l.Entries {
		self := engine.Identity{Entry: fmt.Sprintf("entry-%d", i), Zone: fmt.Sprint(i % zones), Incarnation: ids.NewIncarnation(), Start: s.start.Add(-time.Hour)}
		metrics := &engine.Metrics{}
		e := engine.New(engine.Config{Self: self, Log: zerolog.Nop(), Targets: connections{s, i}, FingerprintKey: []byte("model"), PolicyOn: true, UrgentFirst: s.load.UrgentFirst, Metrics: metrics, Tokens: s.callPeer,
			ReachedTargets: func(context.Context) []string { return s.reachedByPeers(i) }})
		s.engines, s.metrics, s.lists = append(s.engines, e), append(s.metrics, metrics), append(s.lists, &entryList{reconciler: restore.New(restore.DefaultSettings())})
		s.setList(i, 1, s.targets)
		fleet.Entries = append(fleet.Entries, ratelimit.Entry{ID: self.Entry, Zone: self.Zone, Address: fmt.Sprint(i)})
	}
	for _, e := range s.engines {
		e.RateLimits().SetFleet(fleet)
	}
}

// callPeer simulates a call of an entry to another one, whose address is its number.
func (s *simulation) callPeer(_ context.Context, address string, in *peerpb.TokensRequest) (*peerpb.TokensReply, error) {
	time.Sleep(2 * targetOneWayDelay)
	i, err := strconv.Atoi(address)
	if err != nil {
		return nil, status.Wrap(err, status.InvalidArgument, status.NotRun, "address of an entry")
	}
	return s.engines[i].RateLimits().HandleRequest(in), nil
}

// TargetName returns the name of a replica of a shard. Both count from 0.
func TargetName(shard, replica int) string { return fmt.Sprintf("%d-%d", shard, replica) }

// nextCall draws the kind of the next caller and the time until it arrives.
func (l *Load) nextCall(now time.Duration, rng *rand.Rand) (k Kind, gap time.Duration) {
	totalRate := 0.0
	for _, kind := range l.Kinds {
		totalRate += kind.rateAt(now)
	}
	rate := totalRate
	if l.Period > 0 {
		rate *= 1 + l.Amplitude*math.Sin(2*math.Pi*now.Seconds()/l.Period.Seconds())
	}
	x := rng.Float64() * totalRate
	for _, k = range l.Kinds {
		if x -= k.rateAt(now); x < 0 {
			break
		}
	}
	return k, time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
}

// Summary describes the outcomes of the kinds in one line, which begins with the credit per caller,
// weighted by Kind.Weight.
func (l *Load) Summary(name string, kinds map[string]*Outcome) string {
	credit, totalWeight, text := 0.0, 0.0, ""
	for _, k := range l.Kinds {
		o := kinds[k.Name]
		credit += o.Credit * k.Weight
		totalWeight += float64(o.Callers) * k.Weight
		text += fmt.Sprintf("; %s: %v", k.Name, o)
	}
	return fmt.Sprintf("%s, %d entries: credit %.3f%s", name, l.Entries, credit/max(totalWeight, 1), text)
}

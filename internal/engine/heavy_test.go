package engine_test

import (
	"flag"
	"testing"
	"testing/synctest"
	"time"

	"github.com/balsamstall/balsamstall/internal/loadmodel"
)

var (
	seedsFlag   = flag.Uint64("play.seeds", 1, "number of seeds to simulate each load with")
	entriesFlag = flag.Int("play.entries", 6, "number of entries")
)

// wavePeriod is the period of the load wave.
const wavePeriod = 13 * time.Second

// simulate runs a load in simulated time.
func simulate(t *testing.T, l *loadmodel.Load, seed uint64) (r *loadmodel.Result) {
	t.Helper()
	synctest.Test(t, func(*testing.T) { r = l.Run(seed) })
	return r
}

// Simulates each load and logs a summary of what callers get, for work on the load decisions.
// Guards against a load under which no caller is answered within the latency goal.
func TestPlayedLoads(t *testing.T) {
	for _, name := range loadmodel.Names {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l := loadmodel.Named(name, *entriesFlag)
			l.Duration = min(l.Duration, wavePeriod)
			sum := map[string]*loadmodel.Outcome{}
			for seed := range *seedsFlag {
				r := simulate(t, l, seed+1)
				for _, k := range l.Kinds {
					if sum[k.Name] == nil {
						sum[k.Name] = &loadmodel.Outcome{}
					}
					sum[k.Name].Add(r.Kind(k.Name))
				}
			}
			t.Log(l.Summary(name, sum))
			for kind, o := range sum {
				if o.WithinGoal == 0 {
					t.Errorf("no %s search was answered within the latency goal", kind)
				}
			}
		})
	}
}

// Guards against attempts that outlive their search, such as losers of hedges, and hold target slots
// that other requests need.
func TestAttemptsEndWithTheirSearch(t *testing.T) {
	for range 10 { // The first attempt goes to either target.
		l := loadmodel.Load{Entries: 1, Duration: 50 * time.Millisecond, Shards: 1, Replicas: 2, Kinds: loadmodel.SearchKinds(0.1),
			SetupTarget: func(_, replica int, target *loadmodel.Target) {
				target.PauseDuration = 0
				if replica == 0 {
					target.Slowdown = 1000
				}
			}}
		for name, target := range simulate(t, &l, 1).Targets {
			if n := target.Counts().Running; n > 0 {
				t.Errorf("%s still runs %d attempts after the last answer", name, n)
			}
		}
	}
}

// Simulates a partition: the targets of one of three zones, one for each shard, do not answer for
// 5 s. Guards against searches that each discover the partition anew, and against a zone that stays
// unused after it has recovered.
func TestPartitionCostsAFewAttempts(t *testing.T) {
	l := loadmodel.Named("partition", 4)
	r := simulate(t, l, 1)
	lost, served := 0, 0
	for shard := range l.Shards {
		c := r.Targets[loadmodel.TargetName(shard, 0)].Counts()
		lost, served = lost+c.Lost, served+c.Served
	}
	// Each entry sends about 13 attempts to the zone in the 100 ms until it detects the partition.
	if limit := 40 * l.Entries; lost > limit {
		t.Errorf("%d attempts were sent into the partition, at most %d are expected", lost, limit)
	}
	all := loadmodel.Outcome{}
	for _, k := range l.Kinds {
		all.Add(r.Kind(k.Name))
	}
	if part := float64(all.WithinGoal) / float64(all.Callers); part < 0.95 {
		t.Errorf("%.3f of the searches were answered within the latency goal", part)
	}
	if served < 50*l.Shards {
		t.Errorf("the zone served %d sub-requests before and after the partition", served)
	}
	t.Logf("%d attempts into the partition; %v", lost, &all)
}

// Simulates a load peak at which one caller in four is refused at first. Guards against a retry delay
// so long that the answer to the second call is late as well.
func TestRefusedCallersCanRetryWithinGoal(t *testing.T) {
	wide := simulate(t, loadmodel.Named("crest", 6), 1).Kind("wide")
	t.Logf("answered at the second call: %d within the goal of the first, %d later", wide.RetriedWithinGoal, wide.WithinRetryGoal)
	if wide.RetriedWithinGoal <= wide.WithinRetryGoal {
		t.Error("most callers who are answered at their second call get a late answer")
	}
}

// Simulates the second after an outage: the callers of the outage return in addition to the usual
// ones, and together they exceed the capacity of the targets. Guards against callers whose latency
// goal has passed that displace callers who can be answered in time, and against late callers that
// are refused although capacity becomes free.
func TestLateCallersGetSpareCapacity(t *testing.T) {
	simulateOutage := func(hideWaited bool) (withinGoal, lateServed float64) {
		l := loadmodel.Named("outage", 6)
		l.HideWaited = hideWaited
		r := simulate(t, l, 1)
		wide, late := r.Kind("wide"), r.Kind(loadmodel.ReturningKind)
		return float64(wide.WithinGoal) / float64(wide.Callers), 1 - float64(late.Refused+late.Failed)/float64(late.Callers)
	}
	withinGoalHidden, _ := simulateOutage(true)
	withinGoal, lateServed := simulateOutage(false)
	t.Logf("within the goal %.3f, %.3f while the entries do not know who is late; late callers answered %.3f", withinGoal, withinGoalHidden, lateServed)
	if withinGoal < 0.9 || lateServed < 0.5 {
		t.Errorf("%.3f of the callers are answered within the goal and %.3f of those who are late", withinGoal, lateServed)
	}
	if withinGoalHidden >= withinGoal {
		t.Errorf("knowing who is late does not improve the result: %.3f and %.3f", withinGoalHidden, withinGoal)
	}
}

// Simulates a shard that is down while the others are busy. Guards against callers that are told to
// retry when the shard may be up again, although the other shards suffice: the answer to their
// second call would be late.
func TestDownShardDoesNotDelayRetries(t *testing.T) {
	wide := simulate(t, loadmodel.Named("lost", 6), 1).Kind("wide")
	t.Logf("%v", wide)
	if wide.Late > wide.WithinGoal/2 {
		t.Errorf("%d late answers and %d within the goal", wide.Late, wide.WithinGoal)
	}
}

// Simulates targets that refuse 60% of their attempts and run the rest at once, next to one good
// target for each shard. Guards against refusing targets that stay idle while the good ones are
// overloaded and repeats are left to retry the refused attempts.
func TestRefusingTargetsCarryLoad(t *testing.T) {
	refusing, all := 0, 0
	for _, target := range simulate(t, loadmodel.Named("shed", 6), 1).Targets {
		served := target.Counts().Served
		all += served
		if target.RefusalProbability > 0 {
			refusing += served
		}
	}
	share := float64(refusing) / float64(all)
	t.Logf("targets that refuse serve %.3f of the sub-requests", share)
	// The bound on repeats allows 0.18 refused attempts per request, 0.12 served ones.
	if share < 0.08 {
		t.Errorf("targets that refuse serve %.3f of the sub-requests", share)
	}
}

package load

import (
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/balsamstall/balsamstall/protocol/status"
)

// Scenario names a situation of the bench.
type Scenario string

// Scenarios.
const (
	// ScenarioSteady has no fault.
	ScenarioSteady Scenario = "steady"
	// ScenarioSlowdown makes a tenth of the targets ten times slower for
	// moments of 0.5 to 3 s. Load reports show it late.
	ScenarioSlowdown Scenario = "slowdown"
	// ScenarioCrest raises demand to three times the capacity within a second.
	ScenarioCrest Scenario = "crest"
	// ScenarioReplicaLoss crashes a tenth of the targets, which come back cold.
	ScenarioReplicaLoss Scenario = "replica-loss"
	// ScenarioSilent makes half of all open connections silent at once.
	ScenarioSilent Scenario = "silent-connections"
	// ScenarioDrain makes a fifth of the targets leave, all of one zone, so that
	// a shard keeps its replicas in the other zones.
	ScenarioDrain Scenario = "drain"
	// ScenarioZoneCut makes every target of one zone stop replying for a while.
	ScenarioZoneCut Scenario = "zone-cut"
)

// Scenarios lists all scenarios in the order of the bench. The drain is last,
// because the fleet must recover after it.
var Scenarios = []Scenario{
	ScenarioSteady, ScenarioSlowdown, ScenarioCrest, ScenarioReplicaLoss,
	ScenarioSilent, ScenarioZoneCut, ScenarioDrain,
}

// drainRecovery is the pause of a fleet after a drain. Entries give a leaving
// target no work for 30 s after the last evidence, and load reports are 3 s
// late; a run within this time would find the drained targets unused.
const drainRecovery = 35 * time.Second

// Demand and faults of the scenarios.
const (
	// baseDemand is the demand outside a crest as a part of the capacity.
	baseDemand = 0.4
	// crestDemand is the demand at the crest as a multiple of the capacity.
	crestDemand = 3
	// crestTail is the time after a crest in which service must recover.
	crestTail = 2 * time.Second

	slowShare   = 0.1
	slowFactor  = 10
	slowLeast   = 500 * time.Millisecond
	slowMost    = 3 * time.Second
	lossShare   = 0.1
	silentShare = 0.5
	drainShare  = 0.2
)

// Moments of the faults as parts of the run.
const (
	faultStart = 0.25
	faultEnd   = 0.75
)

// fault is a command that is sent at a time since the start of a run.
type fault struct {
	at      time.Duration
	control string
	command Command
}

// profile returns the demand of a scenario.
func (s *Settings) profile(scenario Scenario, duration, hold time.Duration) Profile {
	p := Profile{Shape: ShapeSteady, Base: baseDemand * s.CapacityPerSecond, Duration: duration, Label: string(scenario)}
	if scenario == ScenarioCrest {
		p.Shape, p.Peak, p.Hold = ShapeCrest, crestDemand*s.CapacityPerSecond, hold
		p.Duration = crestLead + 2*crestRamp + hold + crestTail
	}
	return p
}

// faults returns the commands of a scenario, ordered by time. The same
// settings, duration and seed give the same commands.
func (s *Settings) faults(scenario Scenario, duration time.Duration, seed uint64) []fault {
	rng := rand.New(rand.NewPCG(seed, uint64(len(scenario))))
	part := func(f float64) time.Duration { return time.Duration(f * float64(duration)) }
	start, length := part(faultStart), part(faultEnd-faultStart)
	var out []fault
	add := func(at time.Duration, targets []Target, command Command) {
		for _, t := range targets {
			command.Target = t.ID
			out = append(out, fault{at: at, control: t.Control, command: command})
		}
	}
	switch scenario {
	case ScenarioSlowdown:
		// The moments follow each other without a gap; each hits other targets.
		for at := part(0.1); at < part(0.9); {
			moment := slowLeast + time.Duration(rng.Int64N(int64(slowMost-slowLeast)))
			add(at, pick(rng, s.Targets, s.share(slowShare)), Command{Fault: controlSlow, Factor: slowFactor, DurationMS: moment.Milliseconds()})
			at += moment
		}
	case ScenarioReplicaLoss:
		add(start, pick(rng, s.Targets, s.share(lossShare)), Command{Fault: controlCrash, RestartMS: length.Milliseconds()})
	case ScenarioSilent:
		add(start, s.Targets, Command{Fault: controlSilent, Fraction: silentShare})
	case ScenarioDrain:
		zone := s.zone(s.Targets[rng.IntN(len(s.Targets))].Zone)
		add(start, pick(rng, zone, s.share(drainShare)), Command{Fault: controlDrain, DurationMS: length.Milliseconds()})
	case ScenarioZoneCut:
		add(start, s.zone(s.Targets[rng.IntN(len(s.Targets))].Zone), Command{Fault: controlNeverReply, DurationMS: length.Milliseconds()})
	}
	return out
}

// zone returns the targets of a zone.
func (s *Settings) zone(name string) []Target {
	return slices.DeleteFunc(slices.Clone(s.Targets), func(t Target) bool { return t.Zone != name })
}

// share returns the number of targets that are a part of all, at least one.
func (s *Settings) share(part float64) int {
	return max(1, int(math.Round(part*float64(len(s.Targets)))))
}

// pick draws n of the targets, or all when there are fewer.
func pick(rng *rand.Rand, targets []Target, n int) []Target {
	var out []Target
	for _, i := range rng.Perm(len(targets))[:min(n, len(targets))] {
		out = append(out, targets[i])
	}
	return out
}

// inject sends the faults at their times after start. It returns the first
// error, or nil when ctx ends earlier.
func (c *controlClient) inject(ctx context.Context, start time.Time, faults []fault) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for _, f := range faults {
		timer.Reset(time.Until(start.Add(f.at)))
		select {
		case <-timer.C:
		case <-ctx.Done():
			return nil
		}
		if err := c.command(ctx, f.control, f.command); err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return err
		}
	}
	return nil
}

// clear removes every fault from the targets.
func (c *controlClient) clear(ctx context.Context, addresses []string) error {
	for _, address := range addresses {
		if err := c.command(ctx, address, Command{Target: allTargets, Fault: controlClear}); err != nil {
			return status.Wrap(err, status.Unavailable, "", "clear the faults")
		}
	}
	return nil
}

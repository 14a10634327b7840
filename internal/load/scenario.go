package load

import (
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/balsamstall/balsamstall/protocol/status"
)

// Scenario is the name of a scenario of the bench.
type Scenario string

// Scenarios.
const (
	// ScenarioSteady has no fault.
	ScenarioSteady Scenario = "steady"
	// ScenarioSlowdown makes a tenth of the targets ten times slower for episodes of 0.5 to 3 s.
	// Load reports show the slowdown with a delay.
	ScenarioSlowdown Scenario = "slowdown"
	// ScenarioCrest raises the demand to three times the capacity within a second.
	ScenarioCrest Scenario = "crest"
	// ScenarioReplicaLoss crashes a tenth of the targets, which restart cold.
	ScenarioReplicaLoss Scenario = "replica-loss"
	// ScenarioSilent makes half of all open connections silent at the same time.
	ScenarioSilent Scenario = "silent-connections"
	// ScenarioDrain drains a fifth of the targets, all in one zone, so that each shard keeps its
	// replicas in the other zones.
	ScenarioDrain Scenario = "drain"
	// ScenarioZoneCut makes every target of one zone stop replying for half of the run.
	ScenarioZoneCut Scenario = "zone-cut"
)

// Scenarios lists all scenarios in the order of the bench. The drain is last because the fleet must
// recover after it.
var Scenarios = []Scenario{
	ScenarioSteady, ScenarioSlowdown, ScenarioCrest, ScenarioReplicaLoss,
	ScenarioSilent, ScenarioZoneCut, ScenarioDrain,
}

// drainRecovery is the time that a fleet needs after a drain. Entries send no work to a draining
// target until 30 s after the last sign of the drain, and load reports are 3 s late. In a run within
// this time the drained targets would be unused.
const drainRecovery = 35 * time.Second

// Demand and faults of the scenarios.
const (
	// baseDemand is the demand outside a crest as a fraction of the capacity.
	baseDemand = 0.4
	// crestDemand is the demand at the crest as a multiple of the capacity.
	crestDemand = 3
	// crestTail is the time after a crest in which the service must recover.
	crestTail = 2 * time.Second

	slowFraction    = 0.1
	slowFactor      = 10
	minSlowDuration = 500 * time.Millisecond
	maxSlowDuration = 3 * time.Second
	lossFraction    = 0.1
	silentFraction  = 0.5
	drainFraction   = 0.2
)

// Start and end of the faults as fractions of the run.
const (
	faultStartFraction = 0.25
	faultEndFraction   = 0.75
)

// fault is a control command that is sent at a time since the start of a run.
type fault struct {
	at      time.Duration
	control string
	command Command
}

// profile returns the demand profile of a scenario.
func (s *Settings) profile(scenario Scenario, duration, hold time.Duration) Profile {
	p := Profile{Shape: ShapeSteady, Base: baseDemand * s.CapacityPerSecond, Duration: duration, Label: string(scenario)}
	if scenario == ScenarioCrest {
		p.Shape, p.Peak, p.Hold = ShapeCrest, crestDemand*s.CapacityPerSecond, hold
		p.Duration = crestLead + 2*crestRamp + hold + crestTail
	}
	return p
}

// faults returns the faults of a scenario, ordered by time. The same settings, duration and seed
// give the same faults.
func (s *Settings) faults(scenario Scenario, duration time.Duration, seed uint64) []fault {
	rng := rand.New(rand.NewPCG(seed, uint64(len(scenario))))
	fractionOf := func(f float64) time.Duration { return time.Duration(f * float64(duration)) }
	start, length := fractionOf(faultStartFraction), fractionOf(faultEndFraction-faultStartFraction)
	var out []fault
	add := func(at time.Duration, targets []Target, command Command) {
		for _, t := range targets {
			command.Target = t.ID
			out = append(out, fault{at: at, control: t.Control, command: command})
		}
	}
	switch scenario {
	case ScenarioSlowdown:
		// The episodes follow each other without a gap; each affects newly drawn targets.
		for at := fractionOf(0.1); at < fractionOf(0.9); {
			episode := minSlowDuration + time.Duration(rng.Int64N(int64(maxSlowDuration-minSlowDuration)))
			add(at, pickTargets(rng, s.Targets, s.targetCount(slowFraction)), Command{Fault: faultSlow, Factor: slowFactor, DurationMS: episode.Milliseconds()})
			at += episode
		}
	case ScenarioReplicaLoss:
		add(start, pickTargets(rng, s.Targets, s.targetCount(lossFraction)), Command{Fault: faultCrash, RestartMS: length.Milliseconds()})
	case ScenarioSilent:
		add(start, s.Targets, Command{Fault: faultSilent, Fraction: silentFraction})
	case ScenarioDrain:
		zone := s.targetsInZone(s.Targets[rng.IntN(len(s.Targets))].Zone)
		add(start, pickTargets(rng, zone, s.targetCount(drainFraction)), Command{Fault: faultDrain, DurationMS: length.Milliseconds()})
	case ScenarioZoneCut:
		add(start, s.targetsInZone(s.Targets[rng.IntN(len(s.Targets))].Zone), Command{Fault: faultNeverReply, DurationMS: length.Milliseconds()})
	}
	return out
}

// targetsInZone returns the targets of a zone.
func (s *Settings) targetsInZone(name string) []Target {
	return slices.DeleteFunc(slices.Clone(s.Targets), func(t Target) bool { return t.Zone != name })
}

// targetCount returns the number of targets in a fraction of all targets, at least one.
func (s *Settings) targetCount(fraction float64) int {
	return max(1, int(math.Round(fraction*float64(len(s.Targets)))))
}

// pickTargets draws n of the targets, or all if there are fewer.
func pickTargets(rng *rand.Rand, targets []Target, n int) []Target {
	var out []Target
	for _, i := range rng.Perm(len(targets))[:min(n, len(targets))] {
		out = append(out, targets[i])
	}
	return out
}

// injectFaults sends each fault at its time after start. It returns the first error, or nil if ctx
// is done earlier.
func (c *controlClient) injectFaults(ctx context.Context, start time.Time, faults []fault) error {
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

// clear removes all faults from the targets.
func (c *controlClient) clear(ctx context.Context, addresses []string) error {
	for _, address := range addresses {
		if err := c.command(ctx, address, Command{Target: allTargets, Fault: faultClear}); err != nil {
			return status.Wrap(err, status.Unavailable, "", "clear the faults")
		}
	}
	return nil
}

package load

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
)

func testSettings() *Settings {
	return &Settings{
		Entries: []Entry{{ID: "entry-1"}, {ID: "entry-2"}, {ID: "entry-3"}},
		Callers: []Caller{{Name: "asan-buyer", Workspace: "asan-toolroom"}},
		Workload: []Workload{
			{Service: "quote-desk-1", Callers: []string{"asan-buyer"}, Weight: 3, DeadlineMS: 2_000, ContractMS: 2_000, MinRatio: 1},
			{Service: "drawing-vault", Callers: []string{"asan-buyer"}, Weight: 1, DeadlineMS: 2_000, ContractMS: 2_000, MinRatio: 1, AtMostOnce: true},
		},
		Targets: []Target{
			{ID: "t-1", Zone: "az-1", Control: "127.0.0.1:1"}, {ID: "t-2", Zone: "az-2", Control: "127.0.0.1:1"},
			{ID: "t-3", Zone: "az-1", Control: "127.0.0.1:2"}, {ID: "t-4", Zone: "az-2", Control: "127.0.0.1:2"},
		},
		CapacityPerSecond: 100,
	}
}

// Guards against a bench that compares policies under different demand or faults.
func TestScheduleAndFaultsDependOnTheSeedOnly(t *testing.T) {
	is := is.New(t)
	s := testSettings()
	p := s.profile(ScenarioCrest, time.Second, 10*time.Second)
	is.Equal(s.Schedule(p, 7, 1_000_000), s.Schedule(p, 7, 1_000_000))
	is.True(s.Schedule(p, 7, 1)[0].At != s.Schedule(p, 8, 1)[0].At)
	is.Equal(len(s.Schedule(p, 7, 5)), 5)
	for _, scenario := range Scenarios {
		is.Equal(s.faults(scenario, 5*time.Second, 7), s.faults(scenario, 5*time.Second, 7))
	}
}

// Guards against a demand that does not follow its shape.
func TestScheduleFollowsTheShape(t *testing.T) {
	s := testSettings()
	crest := s.profile(ScenarioCrest, 0, 10*time.Second)
	for name, c := range map[string]struct {
		profile  Profile
		from, to time.Duration
		rate     float64
	}{
		"steady":       {s.profile(ScenarioSteady, 20*time.Second, 0), 0, 20 * time.Second, 40},
		"before crest": {crest, 0, 2 * time.Second, 40},
		"crest":        {crest, 3 * time.Second, 13 * time.Second, 300},
		"climb":        {crest, 2 * time.Second, 3 * time.Second, 170},
		"after crest":  {crest, 14 * time.Second, 16 * time.Second, 40},
		"swing":        {Profile{Shape: ShapeSwing, Base: 50, Peak: 150, Duration: 20 * time.Second}, 0, 20 * time.Second, 100},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			n := 0
			for _, a := range s.Schedule(c.profile, 3, 1_000_000) {
				if a.At >= c.from && a.At < c.to {
					n++
				}
			}
			want := c.rate * (c.to - c.from).Seconds()
			// Five standard deviations of a Poisson count; the seed is fixed.
			is.True(math.Abs(float64(n)-want) <= 5*math.Sqrt(want))
		})
	}
}

// Guards against scenarios that affect more or fewer targets than documented.
func TestFaultsHitTheDocumentedShare(t *testing.T) {
	is := is.New(t)
	s := testSettings()
	hit := func(scenario Scenario) map[string]bool {
		out := map[string]bool{}
		for _, f := range s.faults(scenario, 5*time.Second, 1) {
			out[f.command.Target] = true
		}
		return out
	}
	is.Equal(len(hit(ScenarioSteady)), 0)
	is.Equal(len(hit(ScenarioReplicaLoss)), 1)
	is.Equal(len(hit(ScenarioDrain)), 1)
	is.Equal(len(hit(ScenarioSilent)), 4)
	is.Equal(len(hit(ScenarioZoneCut)), 2)
}

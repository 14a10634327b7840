package load

import (
	"bufio"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/balsamstall/balsamstall/protocol/callerapi"
	"github.com/balsamstall/balsamstall/protocol/ids"
	"github.com/balsamstall/balsamstall/protocol/status"
	"github.com/balsamstall/balsamstall/protocol/targetapi"
)

// runOnFakeFleet sends a schedule of 60 requests to a fake fleet.
func runOnFakeFleet(t *testing.T, change func(*callerapi.SearchResponse)) (*Summary, []*Observation) {
	t.Helper()
	f := newFakeFleet(t, 3)
	f.alterAnswer = change
	f.settings.Workload = testSettings().Workload
	arrivals := f.settings.Schedule(Profile{Shape: ShapeSteady, Base: 2_000, Duration: time.Second}, 1, 60)
	observations := Run(context.Background(), &f.settings, arrivals)
	return summarizeRun(observations, nil, time.Second, false), observations
}

// Guards against violations reported for correct answers, and against requests that are missing
// from the totals.
func TestRunAcceptsCorrectAnswers(t *testing.T) {
	is := is.New(t)
	s, observations := runOnFakeFleet(t, nil)
	is.Equal(s.Violations, []Violation{})
	is.Equal(s.Requests, 60)
	is.Equal(s.Answered, 60)
	is.Equal(s.Coverage, 1.0)
	repeats := 0
	for _, o := range observations {
		is.True(o.SentUS >= o.IntendedUS || o.Step != stepSearch) // Latency is measured from the intended time.
		if o.Step == stepRepeat {
			repeats++
		}
	}
	is.True(repeats > 0)

	path := filepath.Join(t.TempDir(), "history.jsonl")
	is.NoErr(WriteHistory(path, observations))
	file, err := os.Open(path)
	is.NoErr(err)
	defer file.Close()
	lines := 0
	for scan := bufio.NewScanner(file); scan.Scan(); lines++ {
		var o Observation
		is.NoErr(json.Unmarshal(scan.Bytes(), &o))
	}
	is.Equal(lines, len(observations))
}

// Guards against wrong answers that are not detected.
func TestRunFindsWrongAnswers(t *testing.T) {
	for name, change := range map[string]func(*callerapi.SearchResponse){
		"result of another workspace": func(r *callerapi.SearchResponse) { r.Results[2].ID = hitID(r, 0, "molina-shop", 2, "item 0 of run  1") },
		"result of another request":   func(r *callerapi.SearchResponse) { r.Results[0].ID = hitID(r, 0, "", 0, "another query") },
		"result of another snapshot":  func(r *callerapi.SearchResponse) { r.Snapshot.IndexVersion++ },
		"result missing":              func(r *callerapi.SearchResponse) { r.Results = r.Results[1:] },
		"result twice":                func(r *callerapi.SearchResponse) { r.Results = append(r.Results, r.Results[0]) },
		"shard unaccounted for":       func(r *callerapi.SearchResponse) { r.Coverage.Searched = []int{0, 2} },
		"contract overstated": func(r *callerapi.SearchResponse) {
			r.Coverage.NotSearched = []callerapi.NotSearched{{Shard: 2, Reason: callerapi.ReasonDeadline}}
			r.Coverage.Ratio = 2.0 / 3
		},
		"request id of another request": func(r *callerapi.SearchResponse) { r.RequestID = "always-the-same" },
		"other service":                 func(r *callerapi.SearchResponse) { r.Service = "bodega-1" },
		"outcome unknown":               func(r *callerapi.SearchResponse) { r.Outcome = status.Unknown },
		"repeat ran again":              func(r *callerapi.SearchResponse) { r.Replayed = false },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s, _ := runOnFakeFleet(t, change)
			is.True(s.ViolationCount > 0)
		})
	}
}

// Guards against lost requests that are missing from the totals, and against goroutines that
// outlive a run.
func TestRunCountsLostRequests(t *testing.T) {
	defer goleak.VerifyNone(t)
	is := is.New(t)
	s := testSettings()
	for i := range s.Entries {
		s.Entries[i].Address = "127.0.0.1:1"
	}
	observations := Run(context.Background(), s, s.Schedule(Profile{Base: 1_000, Duration: time.Second}, 1, 10))
	summary := summarizeRun(observations, nil, time.Second, false)
	is.Equal(summary.Requests, 10)
	is.Equal(summary.Lost, 10)
	is.Equal(summary.ViolationCount, 10)
	is.Equal(summarizeRun(Run(context.Background(), s, nil), nil, time.Second, true).Requests, 0)
}

// Guards against outcomes that contradict the targets' records and are not detected.
func TestTruthContradictsFalseOutcomes(t *testing.T) {
	is := is.New(t)
	snapshot := ids.Snapshot{IndexVersion: 1, ShardMapEpoch: 1}
	newAttempt := func(id string, shard int, end string) attempt {
		return attempt{Identity: targetapi.Identity{RequestID: id, Service: "drawing-vault", Shard: shard, Snapshot: snapshot}, Query: "q", AtMostOnce: true, End: end}
	}
	records := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		json.NewEncoder(w).Encode(map[string][]targetRecord{"records": {
			{Target: "t-1", Started: 6, Attempts: []attempt{newAttempt("old", 0, endCompleted), newAttempt("r-1", 0, endCompleted), newAttempt("r-1", 1, "canceled")}},
		}})
	}))
	defer records.Close()
	addresses := []string{strings.TrimPrefix(records.URL, "http://")}
	truth, err := newControlClient().attemptsSince(context.Background(), addresses, baseline{"t-1": 4})
	is.NoErr(err)
	is.True(truth.complete)
	is.Equal(truth.started, uint64(2))

	answered := func(shards ...int) *Observation {
		return &Observation{RequestID: "r-1", Outcome: status.Done, response: &callerapi.SearchResponse{
			Snapshot: snapshot, Coverage: callerapi.Coverage{Searched: shards}}}
	}
	is.Equal(len(truth.contradictions(answered(0))), 0)
	is.Equal(len(truth.contradictions(answered(0, 1))), 1)                                          // The attempt at shard 1 was canceled.
	is.Equal(len(truth.contradictions(&Observation{RequestID: "r-1", Outcome: status.NotRun})), 1)  // It was run.
	is.Equal(len(truth.contradictions(&Observation{RequestID: "r-1", Outcome: status.Unknown})), 0) // Nothing is claimed.
	is.Equal(len(truth.contradictions(&Observation{RequestID: "old", Outcome: status.NotRun})), 0)  // It belongs to an earlier run.
	ranTwice := &Observation{Final: true, AtMostOnce: true, Service: "drawing-vault", Query: "q", Outcome: status.Unknown}
	is.Equal(len(truth.contradictions(ranTwice)), 1)

	short, err := newControlClient().attemptsSince(context.Background(), addresses, baseline{"t-1": 1})
	is.NoErr(err)
	is.True(!short.complete) // Five attempts started, but only three are listed.
}

// Guards against ratios between runs with different seeds.
func TestBenchRatiosPairTheSeeds(t *testing.T) {
	is := is.New(t)
	rows := []BenchRow{
		{Policy: "off", Scenario: ScenarioCrest, Seed: 1, P99MS: 100}, {Policy: "on", Scenario: ScenarioCrest, Seed: 2, P99MS: 40},
		{Policy: "on", Scenario: ScenarioCrest, Seed: 1, P99MS: 50}, {Policy: "off", Scenario: ScenarioCrest, Seed: 2, P99MS: 10},
		{Policy: "on", Scenario: ScenarioSteady, Seed: 1, P99MS: 1},
	}
	_, _, ratios := compareRows(rows, ScenarioCrest, metrics[1])
	is.Equal(ratios, []float64{4, 0.5})
	is.Equal(median(ratios), 2.25)
}

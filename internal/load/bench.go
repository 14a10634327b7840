package load

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"os"
	"path/filepath"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/balsamstall/balsamstall/internal/settings"
	"github.com/balsamstall/balsamstall/protocol/status"
)

// BenchPlan describes the runs of a bench.
type BenchPlan struct {
	// Off and On are the settings of two fleets of the same shape, with the policies off and on.
	Off, On   *Settings
	Scenarios []Scenario
	Seeds     []uint64
	// Duration is the length of every run except those of the crest scenario.
	Duration time.Duration
	// CrestHold is the time at the peak rate of the crest scenario.
	CrestHold time.Duration
	// Warmup is the length of a steady run on each fleet whose result is discarded, so that no
	// measured run starts with cold targets and new connections.
	Warmup time.Duration
	// Settle is the pause before each run.
	Settle time.Duration
	// MaxRequests bounds the requests of one run.
	MaxRequests int
	// HistoryDir is the directory for one history file per run. Empty means none.
	HistoryDir string
	// Progress receives one line per run. It may be nil.
	Progress io.Writer
}

// BenchRow is the result of one run.
type BenchRow struct {
	// Policy is settings.PolicyOn or settings.PolicyOff.
	Policy    string   `json:"policy"`
	Scenario  Scenario `json:"scenario"`
	Seed      uint64   `json:"seed"`
	Requests  int      `json:"requests"`
	Answered  int      `json:"answered"`
	Refused   int      `json:"refused"`
	P50MS     float64  `json:"p50_ms"`
	P99MS     float64  `json:"p99_ms"`
	P999MS    float64  `json:"p999_ms"`
	Coverage  float64  `json:"coverage"`
	ExtraLoad float64  `json:"extra_load"`
	// Goodput is in requests per second.
	Goodput    float64 `json:"goodput"`
	Violations int     `json:"violations"`
}

// fleet is one of the two fleets of a bench.
type fleet struct {
	policy   string
	settings *Settings
	// notBefore is the earliest start of the next run.
	notBefore time.Time
}

// Bench runs every scenario and seed on both fleets. The fleets take turns, and the one that goes
// first alternates, so that disturbances on the host affect both alike.
func Bench(ctx context.Context, plan *BenchPlan) ([]BenchRow, []*Summary, error) {
	fleets := []*fleet{{policy: settings.PolicyOff, settings: plan.Off}, {policy: settings.PolicyOn, settings: plan.On}}
	for _, fleet := range fleets {
		if err := plan.warmUp(ctx, fleet.settings); err != nil {
			return nil, nil, err
		}
	}
	var (
		rows      []BenchRow
		summaries []*Summary
	)
	for i, seed := range plan.Seeds {
		for j, scenario := range plan.Scenarios {
			for k := range fleets {
				fleet := fleets[(i+j+k)%len(fleets)]
				if err := sleep(ctx, time.Until(fleet.notBefore)); err != nil {
					return rows, summaries, err
				}
				summary, observations, err := plan.run(ctx, fleet.settings, scenario, seed)
				if err != nil {
					return rows, summaries, err
				}
				if scenario == ScenarioDrain {
					fleet.notBefore = time.Now().Add(drainRecovery)
				}
				if err := plan.writeHistory(fleet.policy, scenario, seed, observations); err != nil {
					return rows, summaries, err
				}
				row := benchRow(fleet.policy, scenario, summary)
				rows, summaries = append(rows, row), append(summaries, summary)
				plan.printProgress(row, summary)
			}
		}
	}
	return rows, summaries, nil
}

// warmupSeed differs from the seeds of the measured runs.
const warmupSeed = 0

func (p *BenchPlan) warmUp(ctx context.Context, s *Settings) error {
	if p.Warmup == 0 {
		return nil
	}
	Run(ctx, s, s.Schedule(s.profile(ScenarioSteady, p.Warmup, 0), warmupSeed, p.MaxRequests))
	return sleep(ctx, p.Settle)
}

func (p *BenchPlan) run(ctx context.Context, s *Settings, scenario Scenario, seed uint64) (*Summary, []*Observation, error) {
	profile := s.profile(scenario, p.Duration, p.CrestHold)
	control := newControlClient()
	addresses := s.controlAddresses()
	if err := control.clear(ctx, addresses); err != nil {
		return nil, nil, err
	}
	if err := sleep(ctx, p.Settle); err != nil {
		return nil, nil, err
	}
	if err := control.clearRecords(ctx, addresses); err != nil {
		return nil, nil, err
	}
	injected := make(chan error, 1)
	runCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		injected <- control.injectFaults(runCtx, time.Now(), s.faults(scenario, profile.Duration, seed))
	}()
	observations := Run(ctx, s, s.Schedule(profile, seed, p.MaxRequests))
	cancel()
	if err := <-injected; err != nil {
		return nil, nil, err
	}
	if ctx.Err() != nil {
		return nil, nil, status.Wrap(ctx.Err(), status.Canceled, "", "the bench was stopped")
	}
	if err := control.clear(ctx, addresses); err != nil {
		return nil, nil, err
	}
	truth, err := control.attemptsSince(ctx, addresses, baseline{})
	if err != nil {
		return nil, nil, err
	}
	summary := summarizeRun(observations, truth, profile.Duration, false)
	summary.Seed = seed
	return summary, observations, nil
}

// writeHistory writes the observations of a run if HistoryDir is set.
func (p *BenchPlan) writeHistory(policy string, scenario Scenario, seed uint64, observations []*Observation) error {
	if p.HistoryDir == "" {
		return nil
	}
	return WriteHistory(filepath.Join(p.HistoryDir, fmt.Sprintf("%s-%d-%s.jsonl", scenario, seed, policy)), observations)
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return status.Wrap(ctx.Err(), status.Canceled, "", "the bench was stopped")
	}
}

func benchRow(policy string, scenario Scenario, s *Summary) BenchRow {
	return BenchRow{
		Policy: policy, Scenario: scenario, Seed: s.Seed,
		Requests: s.Requests, Answered: s.Answered, Refused: s.Refused,
		P50MS: s.Latency.P50, P99MS: s.Latency.P99, P999MS: s.Latency.P999,
		Coverage: s.Coverage, ExtraLoad: s.ExtraLoad, Goodput: s.Goodput, Violations: s.ViolationCount,
	}
}

func (p *BenchPlan) printProgress(r BenchRow, s *Summary) {
	if p.Progress == nil {
		return
	}
	fmt.Fprintf(p.Progress, "seed %d %-18s policy %-3s  requests %d answered %d refused %d lost %d  p50 %.1f p99 %.1f p99.9 %.1f ms  coverage %.4f  load %.3f  goodput %.1f/s  violations %d\n",
		r.Seed, r.Scenario, r.Policy, r.Requests, r.Answered, r.Refused, s.Lost, r.P50MS, r.P99MS, r.P999MS, r.Coverage, r.ExtraLoad, r.Goodput, r.Violations)
	for _, v := range s.Violations {
		fmt.Fprintf(p.Progress, "  request %d, %s, id %s: %s\n", v.Sequence, v.Step, orDash(v.RequestID), v.Detail)
	}
}

// WriteBench writes the rows as a JSON list. It creates the directory of the file if needed.
func WriteBench(path string, rows []BenchRow) error {
	data, err := json.MarshalIndent(rows, "", "  ")
	if err != nil {
		return status.Wrap(err, status.Internal, "", "encode the results")
	}
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return status.Wrap(err, status.Unavailable, "", "create the directory of the results")
	}
	if err := os.WriteFile(path, append(data, '\n'), 0o644); err != nil {
		return status.Wrap(err, status.Unavailable, "", "write the results")
	}
	return nil
}

// metric is a value of a row that the bench table compares.
type metric struct {
	name  string
	value func(BenchRow) float64
}

var metrics = []metric{
	{"p50 ms", func(r BenchRow) float64 { return r.P50MS }},
	{"p99 ms", func(r BenchRow) float64 { return r.P99MS }},
	{"p99.9 ms", func(r BenchRow) float64 { return r.P999MS }},
	{"coverage", func(r BenchRow) float64 { return r.Coverage }},
	{"target load", func(r BenchRow) float64 { return r.ExtraLoad }},
	{"goodput /s", func(r BenchRow) float64 { return r.Goodput }},
	{"refused %", func(r BenchRow) float64 { return 100 * float64(r.Refused) / math.Max(1, float64(r.Requests)) }},
}

// WriteBenchTable prints, for each scenario and metric, the medians over the seeds with the
// policies off and on, and the median and range of the ratio on/off.
func WriteBenchTable(w io.Writer, rows []BenchRow) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "SCENARIO\tMEASURE\tOFF (MEDIAN)\tON (MEDIAN)\tON/OFF (MEDIAN)\tON/OFF (LEAST TO MOST)\tSEEDS")
	for _, scenario := range Scenarios {
		for _, m := range metrics {
			off, on, ratios := compareRows(rows, scenario, m)
			if len(off) == 0 {
				continue
			}
			ratio, spread := "-", "-"
			if len(ratios) > 0 {
				ratio = fmt.Sprintf("%.3f", median(ratios))
				spread = fmt.Sprintf("%.3f to %.3f", slices.Min(ratios), slices.Max(ratios))
			}
			fmt.Fprintf(t, "%s\t%s\t%.3f\t%.3f\t%s\t%s\t%d\n", scenario, m.name, median(off), median(on), ratio, spread, len(off))
		}
	}
	return t.Flush()
}

// compareRows returns the values of a metric with the policies off and on, and the ratios on/off of
// the seeds that have both values and a value above 0 for off.
func compareRows(rows []BenchRow, scenario Scenario, m metric) (off, on, ratios []float64) {
	offBySeed := map[uint64]float64{}
	for _, r := range rows {
		if r.Scenario == scenario && r.Policy == settings.PolicyOff {
			offBySeed[r.Seed] = m.value(r)
			off = append(off, m.value(r))
		}
	}
	for _, r := range rows {
		if r.Scenario != scenario || r.Policy != settings.PolicyOn {
			continue
		}
		on = append(on, m.value(r))
		if base, ok := offBySeed[r.Seed]; ok && base > 0 {
			ratios = append(ratios, m.value(r)/base)
		}
	}
	return off, on, ratios
}

// median returns the median of the values, or NaN if there are none.
func median(values []float64) float64 {
	if len(values) == 0 {
		return math.NaN()
	}
	sorted := slices.Sorted(slices.Values(values))
	middle := len(sorted) / 2
	if len(sorted)%2 == 1 {
		return sorted[middle]
	}
	return (sorted[middle-1] + sorted[middle]) / 2
}

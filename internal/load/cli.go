package load

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/balsamstall/balsamstall/internal/cli"
	"github.com/balsamstall/balsamstall/protocol/status"
)

// Commands is the command line of balsam-load.
type Commands struct {
	Demo   DemoCommand   `cmd:"" help:"Send the demo queries through three entries and check the answers."`
	Run    RunCommand    `cmd:"" help:"Send open-loop load and check every answer."`
	Bench  BenchCommand  `cmd:"" help:"Compare two fleets, with the policies off and on, through the scenarios."`
	Report ReportCommand `cmd:"" help:"Draw latency, coverage, load and outcomes over time."`
	Model  ModelCommand  `cmd:"" help:"Simulate loads on simulated targets and show the outcomes of the callers."`
}

// DemoCommand is the command "balsam-load demo".
type DemoCommand struct {
	Settings string `help:"Settings file with the entries and callers." default:"examples/demo/load.json"`
	JSON     bool   `help:"Print JSON." name:"json"`
}

// Help implements kong.HelpProvider.
func (*DemoCommand) Help() string {
	return "Example:\n\n  balsam-load demo --settings examples/demo/load.json\n\n" +
		"Exit codes: 0 all answers are as expected, 1 some are not, 2 bad usage or faulty settings."
}

// Run runs the command.
func (c *DemoCommand) Run(ctx context.Context, out cli.Output) error {
	s, err := LoadSettings(c.Settings)
	if err != nil {
		return err
	}
	steps, err := RunDemo(ctx, s)
	var failure *DemoFailure
	if err != nil && !errors.As(err, &failure) {
		return err
	}
	if c.JSON {
		return errors.Join(err, out.JSON(steps))
	}
	return errors.Join(err, WriteDemo(out, steps))
}

// RunCommand is the command "balsam-load run".
type RunCommand struct {
	Settings    string        `help:"Settings file with entries, callers and workload." required:"" placeholder:"FILE"`
	Shape       Shape         `help:"Shape of the demand: ${enum}." enum:"steady,crest,swing" default:"steady"`
	Rate        float64       `help:"Base rate in requests per second." default:"50"`
	Peak        float64       `help:"Peak rate of crest and swing in requests per second. The default is three times the base rate." placeholder:"N"`
	Hold        time.Duration `help:"Time at the peak rate of a crest." default:"10s"`
	Duration    time.Duration `help:"Length of the run." default:"10s"`
	Seed        uint64        `help:"Seed of the arrivals and their contents." default:"1"`
	MaxRequests int           `help:"Largest number of requests." default:"200000"`
	History     string        `help:"File that gets one JSON line per send." placeholder:"FILE"`
	AllowLost   bool          `help:"Do not count requests without an answer as violations, for runs in which entries are stopped."`
	JSON        bool          `help:"Print JSON." name:"json"`
}

// Help implements kong.HelpProvider.
func (*RunCommand) Help() string {
	return "Examples:\n\n  balsam-load run --settings load.json --rate 100 --duration 30s --seed 7\n\n" +
		"  balsam-load run --settings load.json --shape crest --rate 50 --peak 400 --duration 20s --history out/history.jsonl\n\n" +
		"Latency counts from the intended send time. Exit codes: 0 no violation, 1 violations or a failure, 2 bad usage or faulty settings."
}

// maxDuration is the maximum length of a run.
const maxDuration = time.Hour

func (c *RunCommand) validate(s *Settings) error {
	switch {
	case len(s.Workload) == 0:
		return &cli.UsageError{Message: c.Settings + ": a run needs a workload"}
	case !(c.Rate > 0) || c.Peak < 0:
		return &cli.UsageError{Message: fmt.Sprintf("--rate %g must be above 0 and --peak %g must not be negative", c.Rate, c.Peak)}
	case c.Duration <= 0 || c.Duration > maxDuration:
		return &cli.UsageError{Message: fmt.Sprintf("--duration %s must be above 0 and at most %s", c.Duration, maxDuration)}
	case c.Hold < 0 || c.MaxRequests < 1:
		return &cli.UsageError{Message: fmt.Sprintf("--hold %s must not be negative and --max-requests %d must be at least 1", c.Hold, c.MaxRequests)}
	}
	return nil
}

// Run runs the command.
func (c *RunCommand) Run(ctx context.Context, out cli.Output) error {
	s, err := LoadSettings(c.Settings)
	if err != nil {
		return err
	}
	if err := c.validate(s); err != nil {
		return err
	}
	if c.Peak == 0 {
		c.Peak = crestDemand * c.Rate
	}
	profile := Profile{Shape: c.Shape, Base: c.Rate, Peak: c.Peak, Hold: c.Hold, Duration: c.Duration, Label: "load"}
	summary, observations, err := c.runLoad(ctx, s, profile)
	if err != nil {
		return err
	}
	if c.History != "" {
		if err := WriteHistory(c.History, observations); err != nil {
			return err
		}
	}
	if c.JSON {
		err = out.JSON(summary)
	} else {
		err = WriteSummary(out, summary)
	}
	if summary.ViolationCount > 0 {
		return errors.Join(&ViolationError{Count: summary.ViolationCount}, err)
	}
	return err
}

func (c *RunCommand) runLoad(ctx context.Context, s *Settings, p Profile) (*Summary, []*Observation, error) {
	control := newControlClient()
	addresses := s.controlAddresses()
	before, err := control.startedAttempts(ctx, addresses)
	if err != nil {
		return nil, nil, err
	}
	observations := Run(ctx, s, s.Schedule(p, c.Seed, c.MaxRequests))
	var truth *groundTruth
	if len(addresses) > 0 {
		// Read the records even if a signal ended the run early.
		if truth, err = control.attemptsSince(context.WithoutCancel(ctx), addresses, before); err != nil {
			return nil, nil, err
		}
	}
	summary := summarizeRun(observations, truth, p.Duration, c.AllowLost || ctx.Err() != nil)
	summary.Seed = c.Seed
	return summary, observations, nil
}

// BenchCommand is the command "balsam-load bench".
type BenchCommand struct {
	Off         string        `help:"Settings file of the fleet with the policies off." required:"" placeholder:"FILE"`
	On          string        `help:"Settings file of the fleet with the policies on." required:"" placeholder:"FILE"`
	Out         string        `help:"Result file." default:"out/bench.json"`
	Seeds       int           `help:"Number of seeds; the seeds are 1 to N." default:"5"`
	Scenarios   []Scenario    `help:"Scenarios, separated by commas. The default is all." placeholder:"NAME"`
	Duration    time.Duration `help:"Length of every run but those of the crest." default:"5s"`
	CrestHold   time.Duration `help:"Time at the crest." default:"10s"`
	Warmup      time.Duration `help:"Length of a steady run on each fleet whose result is dropped." default:"3s"`
	Settle      time.Duration `help:"Pause before each run." default:"500ms"`
	MaxRequests int           `help:"Largest number of requests of one run." default:"50000"`
	History     string        `help:"Existing directory that gets one history file per run." placeholder:"DIR"`
	JSON        bool          `help:"Print the results as JSON." name:"json"`
}

// Help implements kong.HelpProvider.
func (*BenchCommand) Help() string {
	return "Example of a short run:\n\n  balsam-load bench --off off.json --on on.json --seeds 1 --scenarios steady,slowdown --duration 3s\n\n" +
		"scripts/bench.sh starts the fleets and runs it. Exit codes: 0 no violation, 1 violations or a failure, 2 bad usage or faulty settings."
}

// maxSeeds is the maximum number of seeds of a bench.
const maxSeeds = 100

func (c *BenchCommand) plan() (*BenchPlan, error) {
	off, err := loadBenchSettings(c.Off)
	if err != nil {
		return nil, err
	}
	on, err := loadBenchSettings(c.On)
	if err != nil {
		return nil, err
	}
	p := &BenchPlan{
		Off: off, On: on, Scenarios: Scenarios, Duration: c.Duration, CrestHold: c.CrestHold,
		Warmup: c.Warmup, Settle: c.Settle, MaxRequests: c.MaxRequests, HistoryDir: c.History, Progress: os.Stderr,
	}
	if len(c.Scenarios) > 0 {
		p.Scenarios = c.Scenarios
	}
	for _, name := range p.Scenarios {
		if !isScenario(name) {
			return nil, &cli.UsageError{Message: fmt.Sprintf("scenario %q is not one of %q", name, Scenarios)}
		}
	}
	if c.Seeds < 1 || c.Seeds > maxSeeds {
		return nil, &cli.UsageError{Message: fmt.Sprintf("--seeds %d must be from 1 to %d", c.Seeds, maxSeeds)}
	}
	if c.Duration <= 0 || c.Duration > maxDuration || c.CrestHold < 0 || c.CrestHold > maxDuration || c.Settle < 0 || c.Warmup < 0 || c.Warmup > maxDuration || c.MaxRequests < 1 {
		return nil, &cli.UsageError{Message: fmt.Sprintf("times must be from 0 to %s, --duration and --max-requests above 0", maxDuration)}
	}
	for seed := range c.Seeds {
		p.Seeds = append(p.Seeds, uint64(seed)+1)
	}
	return p, nil
}

func isScenario(name Scenario) bool {
	for _, s := range Scenarios {
		if s == name {
			return true
		}
	}
	return false
}

func loadBenchSettings(path string) (*Settings, error) {
	s, err := LoadSettings(path)
	if err != nil {
		return nil, err
	}
	if len(s.Targets) == 0 || len(s.Workload) == 0 || s.CapacityPerSecond <= 0 {
		return nil, &cli.UsageError{Message: path + ": a bench needs targets, workload and capacity_per_second"}
	}
	return s, nil
}

// Run runs the command. If the bench fails, the results of the runs before the failure are written.
func (c *BenchCommand) Run(ctx context.Context, out cli.Output) error {
	plan, err := c.plan()
	if err != nil {
		return err
	}
	rows, summaries, err := Bench(ctx, plan)
	if rows == nil {
		rows = []BenchRow{}
	}
	err = errors.Join(err, WriteBench(c.Out, rows))
	if c.JSON {
		err = errors.Join(err, out.JSON(rows))
	} else {
		err = errors.Join(err, WriteBenchTable(out, rows))
	}
	violations := 0
	for _, s := range summaries {
		violations += s.ViolationCount
	}
	if violations > 0 {
		err = errors.Join(&ViolationError{Count: violations}, err)
	}
	return err
}

// ReportCommand is the command "balsam-load report".
type ReportCommand struct {
	Histories []string      `arg:"" help:"History files of runs, drawn as one run." name:"history"`
	Out       string        `help:"SVG file to write." default:"out/report.svg"`
	Interval  time.Duration `help:"Length of the interval of one point." default:"1s"`
}

// Help implements kong.HelpProvider.
func (*ReportCommand) Help() string {
	return "Example:\n\n  balsam-load run --settings load.json --history out/history.jsonl\n" +
		"  balsam-load report out/history.jsonl --out out/report.svg --interval 500ms\n\n" +
		"Times of several histories count from the start of each run. Exit codes: 0 written, 1 a failure, 2 bad usage or a faulty history."
}

// Run runs the command.
func (c *ReportCommand) Run(_ context.Context, out cli.Output) error {
	var all []*Observation
	for _, path := range c.Histories {
		observations, err := ReadHistory(path)
		if err != nil {
			return &cli.UsageError{Message: err.Error()}
		}
		all = append(all, observations...)
	}
	if len(all) == 0 {
		return &cli.UsageError{Message: "the histories contain no sends"}
	}
	points, err := Timeline(all, c.Interval)
	if err != nil {
		return &cli.UsageError{Message: err.Error()}
	}
	file, err := os.Create(c.Out)
	if err != nil {
		return status.Wrap(err, status.Unavailable, "", "create the report")
	}
	if err := errors.Join(WritePlots(file, points, c.Interval), file.Close()); err != nil {
		return err
	}
	_, err = fmt.Fprintf(out, "%s: %d sends in %d intervals of %s\n", c.Out, len(all), len(points), c.Interval)
	return err
}

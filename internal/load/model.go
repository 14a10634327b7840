package load

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/balsamstall/balsamstall/internal/cli"
	"github.com/balsamstall/balsamstall/internal/loadmodel"
	"github.com/balsamstall/balsamstall/protocol/status"
)

// ModelCommand is the command "balsam-load model".
type ModelCommand struct {
	Loads   []string      `arg:"" optional:"" help:"Loads to simulate: calm, slow, crest, lost, shed, partition, outage, limited, detached, restored, contended, burst or ranked. The default is all of them."`
	Entries int           `help:"Number of entries." default:"6"`
	Seeds   uint64        `help:"Number of seeds; each load is simulated once with each seed." default:"1"`
	Length  time.Duration `help:"Longest time during which callers arrive. The default is that of the load." placeholder:"TIME"`
	JSON    bool          `help:"Print JSON." name:"json"`
}

// Help implements kong.HelpProvider.
func (*ModelCommand) Help() string {
	return "Example:\n\n  balsam-load model crest shed --entries 6 --seeds 3\n\n" +
		"Simulates loads of searches on simulated targets through the request engine, in real time, and prints the outcomes of the callers. " +
		"The loads run one after the other, the seeds of one load at the same time. Tests run the same loads in simulated time: " +
		"go test -v -run TestPlayedLoads ./internal/engine -args -play.seeds=3.\n\n" +
		"Exit codes: 0 success, 1 a failure, 2 bad usage."
}

// Limits of the model command.
const (
	maxModelEntries = 200
	maxModelSeeds   = 20
)

// modelResult is the result of one load in the JSON output.
type modelResult struct {
	Load    string                        `json:"load"`
	Entries int                           `json:"entries"`
	Seeds   uint64                        `json:"seeds"`
	Kinds   map[string]*loadmodel.Outcome `json:"kinds"`
}

// Run runs the command.
func (c *ModelCommand) Run(ctx context.Context, out cli.Output) error {
	names := c.Loads
	if len(names) == 0 {
		names = loadmodel.Names
	}
	for _, name := range names {
		if !slices.Contains(loadmodel.Names, name) {
			return &cli.UsageError{Message: fmt.Sprintf("load %q is not one of %s", name, strings.Join(loadmodel.Names, ", "))}
		}
	}
	if c.Entries < 1 || c.Entries > maxModelEntries || c.Seeds < 1 || c.Seeds > maxModelSeeds || c.Length < 0 {
		return &cli.UsageError{Message: fmt.Sprintf("--entries must be from 1 to %d, --seeds from 1 to %d and --length not negative", maxModelEntries, maxModelSeeds)}
	}
	var results []modelResult
	for _, name := range names {
		if ctx.Err() != nil {
			return status.Wrap(ctx.Err(), status.Canceled, "", "simulate the loads")
		}
		kinds, summary := c.simulate(name)
		if !c.JSON {
			fmt.Fprintln(out, summary)
		}
		results = append(results, modelResult{Load: name, Entries: c.Entries, Seeds: c.Seeds, Kinds: kinds})
	}
	if c.JSON {
		return out.JSON(map[string][]modelResult{"loads": results})
	}
	return nil
}

// simulate simulates a load with all seeds and returns the sums of the outcomes.
func (c *ModelCommand) simulate(name string) (kinds map[string]*loadmodel.Outcome, summary string) {
	l := loadmodel.Named(name, c.Entries)
	if c.Length > 0 {
		l.Duration = min(l.Duration, c.Length)
	}
	results := make([]*loadmodel.Result, c.Seeds)
	var running sync.WaitGroup
	for seed := range c.Seeds {
		running.Go(func() { results[seed] = l.Run(seed + 1) })
	}
	running.Wait()
	kinds = make(map[string]*loadmodel.Outcome)
	for _, k := range l.Kinds {
		kinds[k.Name] = &loadmodel.Outcome{}
		for _, r := range results {
			kinds[k.Name].Add(r.Kind(k.Name))
		}
	}
	return kinds, l.Summary(name, kinds)
}

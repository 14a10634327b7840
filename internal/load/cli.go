package load

import (
	"context"
	"errors"

	"github.com/balsamstall/balsamstall/internal/cli"
)

// Commands is the command line of balsam-load.
type Commands struct {
	Demo DemoCommand `cmd:"" help:"Send the demo queries through three entries and check the answers."`
}

// DemoCommand is "balsam-load demo".
type DemoCommand struct {
	Settings string `help:"Settings file with the entries and callers." default:"examples/demo/load.json"`
	JSON     bool   `help:"Print the steps as JSON." name:"json"`
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

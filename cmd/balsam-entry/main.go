// Command balsam-entry serves callers: it scatters searches to targets and
// merges the answers. See docs/programs/balsam-entry.md.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"
	"github.com/rs/zerolog"

	"github.com/balsamstall/balsamstall/internal/entry"
	"github.com/balsamstall/balsamstall/internal/settings"
)

// Exit statuses.
const (
	exitFailed = 1
	exitUsage  = 2
)

type arguments struct {
	Config string `required:"" help:"Settings file (JSON)." type:"path"`
	Check  bool   `help:"Check the settings file and exit."`
}

const description = `Serves callers of the query tier.

Examples:
  balsam-entry --config entry-1.json --check   # check the settings
  balsam-entry --config entry-1.json           # serve until SIGTERM`

func main() {
	var args arguments
	parser := kong.Must(&args, kong.Name("balsam-entry"), kong.Description(description))
	if _, err := parser.Parse(os.Args[1:]); err != nil {
		fail(exitUsage, err)
	}
	set := settings.NewEntry()
	if err := settings.Load(args.Config, set); err != nil {
		fail(exitUsage, err)
	}
	if args.Check {
		fmt.Printf("%s: valid\n", args.Config)
		return
	}
	level, err := zerolog.ParseLevel(set.LogLevel)
	if err != nil {
		fail(exitUsage, err)
	}
	log := zerolog.New(os.Stderr).Level(level).With().Timestamp().Logger()
	entry.UseKratosLogger(log)
	daemon, err := entry.NewDaemon(set, log)
	if err != nil {
		fail(exitFailed, err)
	}
	if err := daemon.Run(); err != nil {
		fail(exitFailed, err)
	}
}

func fail(code int, err error) {
	fmt.Fprintln(os.Stderr, "balsam-entry:", err)
	os.Exit(code)
}

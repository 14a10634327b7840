// Command balsam-entry serves callers: it scatters searches to targets and
// merges the answers. See docs/programs/balsam-entry.md.
package main

import (
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kong"
	"github.com/rs/zerolog"

	"github.com/balsamstall/balsamstall/internal/entry"
	"github.com/balsamstall/balsamstall/internal/settings"
)

// Exit statuses.
// logTimeFormat has milliseconds: the lines of one request come within one second.
const logTimeFormat = "2006-01-02T15:04:05.000Z07:00"

const (
	exitFailed = 1
	exitUsage  = 2
)

type arguments struct {
	Config   string `required:"" help:"Settings file (JSON)." type:"path" env:"BALSAMSTALL_NODE_FILE"`
	Platform bool   `help:"Relay the requests of the users' platform. The settings are those of a relay."`
	Check    bool   `help:"Check the settings file and exit."`
}

const description = `Serves callers of the query tier.

Examples:
  balsam-entry --config entry-1.json --check   # check the settings
  balsam-entry --config entry-1.json           # serve until SIGTERM
  balsam-entry --config relay.json --platform  # relay the platform's requests`

func main() {
	var args arguments
	parser := kong.Must(&args, kong.Name("balsam-entry"), kong.Description(description))
	if _, err := parser.Parse(os.Args[1:]); err != nil {
		fail(exitUsage, err)
	}
	if args.Platform {
		set := settings.NewRelay()
		out := newLogWriter(os.Stdout)
		log := start(args, set, &set.LogLevel, out)
		err := relayPlatform(args.Config, set, log)
		out.Close()
		if err != nil {
			fail(exitFailed, err)
		}
		return
	}
	set := settings.NewEntry()
	log := start(args, set, &set.LogLevel, os.Stderr)
	daemon, err := entry.NewDaemon(set, log)
	if err != nil {
		fail(exitFailed, err)
	}
	if err := daemon.Run(); err != nil {
		fail(exitFailed, err)
	}
}

// start loads the settings and returns the logger. With --check it exits.
func start(args arguments, set settings.Checker, level *string, out io.Writer) zerolog.Logger {
	if err := settings.Load(args.Config, set); err != nil {
		fail(exitUsage, err)
	}
	if args.Check {
		fmt.Printf("%s: valid\n", args.Config)
		os.Exit(0)
	}
	l, err := zerolog.ParseLevel(*level)
	if err != nil {
		fail(exitUsage, err)
	}
	zerolog.TimeFieldFormat = logTimeFormat
	log := zerolog.New(out).Level(l).With().Timestamp().Logger()
	entry.UseKratosLogger(log)
	return log
}

func fail(code int, err error) {
	fmt.Fprintln(os.Stderr, "balsam-entry:", err)
	os.Exit(code)
}

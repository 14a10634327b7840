// Command balsam-entry serves callers: it scatters each search to targets and merges the answers.
// See docs/programs/balsam-entry.md.
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

// logTimeFormat is the format of times in the log. It has milliseconds because the lines of one
// request follow each other within a second.
const logTimeFormat = "2006-01-02T15:04:05.000Z07:00"

// Exit codes.
const (
	exitFailed = 1
	exitUsage  = 2
)

// arguments are the command-line arguments.
type arguments struct {
	Config   string `required:"" help:"Settings file (JSON)." type:"path" env:"BALSAMSTALL_NODE_FILE"`
	Platform bool   `help:"Relay the requests of the users' platform. The settings are those of a relay."`
	// Set is separated by repetition, because values may contain commas.
	Set   []string `help:"Replace a setting; may be repeated." placeholder:"FIELD=JSON" sep:"none"`
	Check bool     `help:"Check the settings file and exit."`
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
		exitWith(exitUsage, err)
	}
	if args.Platform {
		set := settings.NewRelay()
		out := newLogWriter(os.Stdout)
		log := loadSettings(args, set, &set.LogLevel, out)
		err := relayPlatform(args, set, log)
		out.Close()
		if err != nil {
			exitWith(exitFailed, err)
		}
		return
	}
	set := settings.NewEntry()
	log := loadSettings(args, set, &set.LogLevel, os.Stderr)
	limitMemory(set.MemoryMB)
	daemon, err := entry.NewDaemon(set, log)
	if err != nil {
		exitWith(exitFailed, err)
	}
	if err := daemon.Run(); err != nil {
		exitWith(exitFailed, err)
	}
}

// loadSettings loads the settings into set and returns the logger. With --check, and if the settings
// are invalid, it exits.
func loadSettings(args arguments, set settings.Checker, level *string, out io.Writer) zerolog.Logger {
	if err := settings.Load(args.Config, set, args.Set...); err != nil {
		exitWith(exitUsage, err)
	}
	if args.Check {
		fmt.Printf("%s: valid\n", args.Config)
		os.Exit(0)
	}
	l, err := zerolog.ParseLevel(*level)
	if err != nil {
		exitWith(exitUsage, err)
	}
	zerolog.TimeFieldFormat = logTimeFormat
	log := zerolog.New(out).Level(l).With().Timestamp().Logger()
	entry.UseKratosLogger(log)
	return log
}

// exitWith prints err and exits with code.
func exitWith(code int, err error) {
	fmt.Fprintln(os.Stderr, "balsam-entry:", err)
	os.Exit(code)
}

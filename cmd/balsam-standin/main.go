// Command balsam-standin runs stand-ins for the targets and the platform.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/rs/zerolog"

	"github.com/balsamstall/balsamstall/internal/settings"
	"github.com/balsamstall/balsamstall/internal/standin/platform"
	"github.com/balsamstall/balsamstall/internal/standin/target"
)

// Exit statuses.
const (
	exitOK      = 0
	exitFailure = 1
	// exitUsage reports faulty arguments or settings.
	exitUsage = 2
)

// shutdownTimeout bounds the wait for running work after a SIGTERM.
const shutdownTimeout = 10 * time.Second

const description = `Runs stand-ins for the targets and the platform.

Examples:
  balsam-standin target --config targets.json --check
  balsam-standin target --config targets.json
  balsam-standin platform --config platform.json
  curl -X PUT --data @sheet.json http://127.0.0.1:7001/control/config/sheet

docs/programs/balsam-standin.md describes the settings, docs/PROTOCOLS.md the
protocols and the faults.
SIGTERM and SIGINT stop the program after the running work.`

type options struct {
	Target   command `cmd:"" help:"Serve targets. Example: balsam-standin target --config targets.json"`
	Platform command `cmd:"" help:"Serve the platform. Example: balsam-standin platform --config platform.json"`
}

type command struct {
	Config string `required:"" placeholder:"FILE" help:"Settings file in JSON."`
	Check  bool   `help:"Check the settings and exit."`
}

// service is a stand-in that can start and stop.
type service interface {
	Start() error
	Shutdown(ctx context.Context) error
}

func main() {
	var opts options
	parser := kong.Must(&opts, kong.Name("balsam-standin"), kong.Description(description))
	ctx, err := parser.Parse(os.Args[1:])
	if err != nil {
		parser.Errorf("%s; see balsam-standin --help", err)
		os.Exit(exitUsage)
	}
	if ctx.Command() == "target" {
		os.Exit(runTarget(opts.Target))
	}
	os.Exit(runPlatform(opts.Platform))
}

func runTarget(cmd command) int {
	s := target.NewSettings()
	if err := settings.Load(cmd.Config, s); err != nil {
		return settingsFailure(err)
	}
	if cmd.Check {
		return settingsOK(cmd.Config)
	}
	log := newLog(s.LogLevel)
	return serve(target.NewFleet(s, log), log)
}

func runPlatform(cmd command) int {
	s := platform.NewSettings(filepath.Dir(cmd.Config))
	if err := settings.Load(cmd.Config, s); err != nil {
		return settingsFailure(err)
	}
	if cmd.Check {
		return settingsOK(cmd.Config)
	}
	log := newLog(s.LogLevel)
	p, err := platform.New(s, log)
	if err != nil {
		log.Error().Err(err).Msg("cannot start")
		return exitFailure
	}
	return serve(platformService{p}, log)
}

// platformService starts a platform on its configured address.
type platformService struct{ *platform.Platform }

// Start implements service.
func (p platformService) Start() error { return p.Listen() }

func serve(s service, log zerolog.Logger) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := s.Start(); err != nil {
		log.Error().Err(err).Msg("cannot start")
		return exitFailure
	}
	log.Info().Msg("serving")
	<-ctx.Done()
	stop() // A second signal ends the program at once.
	log.Info().Msg("stopping")
	limit, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if err := s.Shutdown(limit); err != nil {
		log.Error().Err(err).Msg("stopped with work still running")
		return exitFailure
	}
	log.Info().Msg("stopped")
	return exitOK
}

func newLog(level string) zerolog.Logger {
	parsed, err := zerolog.ParseLevel(level)
	if err != nil {
		parsed = zerolog.InfoLevel // Check has refused unknown levels.
	}
	return zerolog.New(os.Stderr).Level(parsed).With().Timestamp().Str("program", "balsam-standin").Logger()
}

func settingsFailure(err error) int {
	fmt.Fprintln(os.Stderr, err)
	var faulty *settings.Error
	if errors.As(err, &faulty) {
		return exitUsage
	}
	return exitFailure
}

func settingsOK(file string) int {
	fmt.Printf("%s: ok\n", file)
	return exitOK
}

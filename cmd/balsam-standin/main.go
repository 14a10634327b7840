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

// Exit codes.
const (
	exitOK     = 0
	exitFailed = 1
	// exitUsage means invalid arguments or settings.
	exitUsage = 2
)

// shutdownTimeout limits the wait for running work after a stop signal.
const shutdownTimeout = 10 * time.Second

const description = `Runs stand-ins for the targets and the platform.

Examples:
  balsam-standin target --config targets.json --check
  balsam-standin target --config targets.json
  balsam-standin platform --config platform.json
  curl -X PUT --data @sheet.json http://127.0.0.1:7001/control/config/sheet

docs/programs/balsam-standin.md describes the settings, docs/PROTOCOLS.md the
protocols and the faults.
On SIGTERM or SIGINT the program finishes the running work and exits.`

type options struct {
	Target   command `cmd:"" help:"Serve targets. Example: balsam-standin target --config targets.json"`
	Platform command `cmd:"" help:"Serve the platform. Example: balsam-standin platform --config platform.json"`
}

type command struct {
	Config string `required:"" placeholder:"FILE" help:"Settings file in JSON."`
	Check  bool   `help:"Check the settings and exit."`
}

// service is a stand-in that can be started and stopped.
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
		return reportSettingsError(err)
	}
	if cmd.Check {
		return reportSettingsValid(cmd.Config)
	}
	log := newLogger(s.LogLevel)
	return serve(target.NewFleet(s, log), log)
}

func runPlatform(cmd command) int {
	s := platform.NewSettings(filepath.Dir(cmd.Config))
	if err := settings.Load(cmd.Config, s); err != nil {
		return reportSettingsError(err)
	}
	if cmd.Check {
		return reportSettingsValid(cmd.Config)
	}
	log := newLogger(s.LogLevel)
	p, err := platform.New(s, log)
	if err != nil {
		log.Error().Err(err).Msg("cannot start")
		return exitFailed
	}
	return serve(platformService{p}, log)
}

// platformService adapts a platform to the service interface. It listens on the configured address.
type platformService struct{ *platform.Platform }

// Start implements service.
func (p platformService) Start() error { return p.Listen() }

// serve runs s until a stop signal and returns the exit code.
func serve(s service, log zerolog.Logger) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := s.Start(); err != nil {
		log.Error().Err(err).Msg("cannot start")
		return exitFailed
	}
	log.Info().Msg("serving")
	<-ctx.Done()
	stop() // A second signal terminates the program immediately.
	log.Info().Msg("stopping")
	shutdownCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if err := s.Shutdown(shutdownCtx); err != nil {
		log.Error().Err(err).Msg("shutdown failed; work may still be running")
		return exitFailed
	}
	log.Info().Msg("stopped")
	return exitOK
}

func newLogger(level string) zerolog.Logger {
	parsed, err := zerolog.ParseLevel(level)
	if err != nil {
		parsed = zerolog.InfoLevel // Not reached: Check rejects unknown levels.
	}
	return zerolog.New(os.Stderr).Level(parsed).With().Timestamp().Str("program", "balsam-standin").Logger()
}

// reportSettingsError prints an error of loading settings and returns the exit code.
func reportSettingsError(err error) int {
	fmt.Fprintln(os.Stderr, err)
	var settingsErr *settings.Error
	if errors.As(err, &settingsErr) {
		return exitUsage
	}
	return exitFailed
}

// reportSettingsValid prints that a settings file is valid and returns the exit code.
func reportSettingsValid(file string) int {
	fmt.Printf("%s: ok\n", file)
	return exitOK
}

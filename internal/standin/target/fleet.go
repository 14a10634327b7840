package target

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"

	"github.com/rs/zerolog"

	"github.com/balsamstall/balsamstall/protocol/status"
)

// Fleet is a set of targets in one process.
type Fleet struct {
	targets []*Target
	// controlServer serves the control interface on controlAddress if that is set.
	controlServer  *http.Server
	controlAddress string
	serving        sync.WaitGroup
	log            zerolog.Logger
}

// NewFleet returns a fleet with the targets of the settings.
func NewFleet(s *Settings, log zerolog.Logger) *Fleet {
	mux := http.NewServeMux()
	f := &Fleet{controlServer: &http.Server{Handler: mux}, controlAddress: s.ControlAddress, log: log}
	controlAPI{allTargets: f.Targets}.register(mux)
	for _, cfg := range s.Targets {
		t := New(cfg, s.Services, log)
		t.allTargets = f.Targets
		f.targets = append(f.targets, t)
	}
	return f
}

// Start makes every target listen on its address, and serves the control interface if it has an
// address. If any of them fails, Start closes the fleet.
func (f *Fleet) Start() error {
	for _, t := range f.targets {
		if err := t.Listen(); err != nil {
			f.Close()
			return err
		}
	}
	if f.controlAddress == "" {
		return nil
	}
	ln, err := net.Listen("tcp", f.controlAddress)
	if err != nil {
		f.Close()
		return status.Wrap(err, status.Unavailable, "", "the control interface cannot listen on %s", f.controlAddress)
	}
	f.serving.Go(func() {
		if err := f.controlServer.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			f.log.Error().Err(err).Msg("control listener failed")
		}
	})
	return nil
}

// Targets returns all targets.
func (f *Fleet) Targets() []*Target { return f.targets }

// Target returns the target with the given id, or nil.
func (f *Fleet) Target(id string) *Target {
	for _, t := range f.targets {
		if t.ID() == id {
			return t
		}
	}
	return nil
}

// Shutdown stops all targets and waits for running attempts until ctx ends.
func (f *Fleet) Shutdown(ctx context.Context) error {
	errs := make(chan error, len(f.targets))
	for _, t := range f.targets {
		go func() { errs <- t.Shutdown(ctx) }()
	}
	var firstErr error
	for range f.targets {
		if err := <-errs; err != nil && firstErr == nil {
			firstErr = err
		}
	}
	f.closeControl()
	return firstErr
}

// Close stops all targets immediately.
func (f *Fleet) Close() {
	for _, t := range f.targets {
		t.Close()
	}
	f.closeControl()
}

func (f *Fleet) closeControl() {
	f.controlServer.Close() // It only returns the error of closing the listener.
	f.serving.Wait()
}

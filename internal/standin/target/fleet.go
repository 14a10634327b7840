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
	// control serves the control interface on controlAddress, if set.
	control        *http.Server
	controlAddress string
	serving        sync.WaitGroup
	log            zerolog.Logger
}

// NewFleet returns the targets of the settings.
func NewFleet(s *Settings, log zerolog.Logger) *Fleet {
	mux := http.NewServeMux()
	f := &Fleet{control: &http.Server{Handler: mux}, controlAddress: s.ControlAddress, log: log}
	control{all: f.Targets}.register(mux)
	for _, cfg := range s.Targets {
		t := New(cfg, s.Services, log)
		t.peers = f.Targets
		f.targets = append(f.targets, t)
	}
	return f
}

// Start makes every target listen on its address. When one fails, the others
// are closed.
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
		if err := f.control.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
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
	var first error
	for range f.targets {
		if err := <-errs; err != nil && first == nil {
			first = err
		}
	}
	f.closeControl()
	return first
}

// Close stops all targets at once.
func (f *Fleet) Close() {
	for _, t := range f.targets {
		t.Close()
	}
	f.closeControl()
}

func (f *Fleet) closeControl() {
	f.control.Close() // Only the listener's close can fail, and it is gone either way.
	f.serving.Wait()
}

package target

import (
	"context"

	"github.com/rs/zerolog"
)

// Fleet is a set of targets in one process.
type Fleet struct {
	targets []*Target
}

// NewFleet returns the targets of the settings.
func NewFleet(s *Settings, log zerolog.Logger) *Fleet {
	f := &Fleet{}
	for _, cfg := range s.Targets {
		f.targets = append(f.targets, New(cfg, s.Services, log))
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
	return first
}

// Close stops all targets at once.
func (f *Fleet) Close() {
	for _, t := range f.targets {
		t.Close()
	}
}

// Package feed keeps a copy of what a platform publishes under one revision and
// serves it as the documents that configsync reads. One read and one watch serve
// all documents, because each call has a price.
package feed

import (
	"cmp"
	"context"
	"encoding/json"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/singleflight"

	"github.com/balsamstall/balsamstall/protocol/platformapi"
	"github.com/balsamstall/balsamstall/protocol/published"
	"github.com/balsamstall/balsamstall/protocol/status"
	"github.com/balsamstall/balsamstall/protocol/targetlist"
)

// changeGap is the least time from one watch that returned changes to the next, so
// that changes in quick succession take one call.
const changeGap = 250 * time.Millisecond

// loadGap is the time for which one read of everything serves all documents.
const loadGap = time.Second

// Source is a client of the platform's store. Its errors are of type *status.Error.
type Source interface {
	// Read returns what is published. stale permits an older state at a lower price.
	// The parts are not read at one revision; State.At is the first of theirs.
	Read(ctx context.Context, stale bool) (published.State, error)
	// Watch returns what changed after a revision as soon as anything did, and empty
	// changes after wait. It fails with RevisionTooOld when the store no longer has
	// the changes since then.
	Watch(ctx context.Context, after uint64, wait time.Duration) (published.Changes, error)
}

// Feed implements configsync.Platform over a Source. It may be used by many
// goroutines.
type Feed struct {
	source Source
	log    zerolog.Logger
	// calls joins concurrent reads.
	calls singleflight.Group

	mu sync.Mutex
	// state is what the source held at its last answer. Guarded by mu.
	state published.State
	// loaded is when everything was read last. Guarded by mu.
	loaded time.Time
	// changed is when a watch last returned changes. Guarded by mu.
	changed time.Time
}

// New returns a feed that has read nothing yet.
func New(source Source, log zerolog.Logger) *Feed { return &Feed{source: source, log: log} }

// Hosts implements configsync.Platform. The source lists no entries.
func (f *Feed) Hosts(context.Context) ([]platformapi.Host, error) { return nil, nil }

// Get implements configsync.Platform.
func (f *Feed) Get(ctx context.Context, key string) (platformapi.Document, error) {
	f.mu.Lock()
	fresh := time.Since(f.loaded) < loadGap
	f.mu.Unlock()
	if !fresh {
		if err := f.join("load", func() error { return f.load(ctx) }); err != nil {
			return platformapi.Document{}, err
		}
	}
	return f.document(key)
}

// Watch implements configsync.Platform.
func (f *Feed) Watch(ctx context.Context, key string, after uint64, wait time.Duration) (platformapi.Document, bool, error) {
	end := time.Now().Add(wait)
	called := false
	for {
		if f.version(key) > after {
			doc, err := f.document(key)
			return doc, err == nil, err
		}
		if called && !time.Now().Before(end) {
			return platformapi.Document{}, false, nil
		}
		// Each call waits in full, so that the watches of all documents stay joined.
		if err := f.join("watch", func() error { return f.follow(ctx, wait) }); err != nil {
			return platformapi.Document{}, false, err
		}
		called = true
	}
}

// join runs one call for all goroutines that ask for it at the same time.
func (f *Feed) join(name string, call func() error) error {
	_, err, _ := f.calls.Do(name, func() (any, error) { return nil, call() })
	return err
}

// version returns the revision of a document's last change.
func (f *Feed) version(key string) uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if key == platformapi.SheetKey {
		return f.state.Sheet.Revision
	}
	return f.state.TargetsRevision
}

// document returns the present state of a document.
func (f *Feed) document(key string) (platformapi.Document, error) {
	f.mu.Lock()
	st := f.state
	f.mu.Unlock()
	if key == platformapi.SheetKey {
		return platformapi.Document{Key: key, Version: st.Sheet.Revision, Value: st.Sheet.Value}, st.Sheet.Err
	}
	value, err := json.Marshal(listOf(st.TargetsRevision, st.Targets))
	if err != nil {
		return platformapi.Document{}, status.Wrap(err, status.Internal, "", "encoding the list of targets")
	}
	return platformapi.Document{Key: key, Version: st.TargetsRevision, Value: value}, nil
}

// listOf returns the list of the given targets at a revision.
func listOf(revision uint64, targets map[string]targetlist.Target) targetlist.Document {
	d := targetlist.Document{Revision: revision, Targets: make([]targetlist.Target, 0, len(targets))}
	for _, t := range targets {
		d.Targets = append(d.Targets, t)
	}
	slices.SortFunc(d.Targets, func(a, b targetlist.Target) int { return cmp.Compare(a.ID, b.ID) })
	return d
}

// load reads everything. Stale reads cost a tenth; the watch after them brings what
// they lack. A source that forgot the history since then is read without them.
func (f *Feed) load(ctx context.Context) error {
	err := f.read(ctx, true)
	if status.CodeOf(err) == status.RevisionTooOld {
		err = f.read(ctx, false)
	}
	return err
}

// read reads everything and the changes since.
func (f *Feed) read(ctx context.Context, stale bool) error {
	next, err := f.source.Read(ctx, stale)
	if err != nil {
		return err
	}
	changes, err := f.source.Watch(ctx, next.ResumeRevision, 0)
	if err != nil {
		return err
	}
	apply(&next, changes)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.loaded = time.Now()
	if next.ResumeRevision < f.state.ResumeRevision {
		return nil // A watch has seen more meanwhile.
	}
	if maps.Equal(next.Targets, f.state.Targets) {
		next.TargetsRevision = f.state.TargetsRevision
	}
	f.state = next
	return nil
}

// follow waits for the next changes.
func (f *Feed) follow(ctx context.Context, wait time.Duration) error {
	f.mu.Lock()
	at, pause := f.state.ResumeRevision, time.Until(f.changed.Add(changeGap))
	f.mu.Unlock()
	sleep(ctx, pause)
	changes, err := f.source.Watch(ctx, at, wait)
	if status.CodeOf(err) == status.RevisionTooOld {
		f.log.Info().Uint64("at", at).Msg("the store no longer has the history; reading everything again")
		return f.load(ctx)
	}
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.state.ResumeRevision != at {
		return nil // A load has replaced the state meanwhile.
	}
	if changes.Changed {
		f.changed = time.Now()
	}
	next := f.state
	next.Targets = maps.Clone(next.Targets)
	apply(&next, changes)
	f.state = next
	return nil
}

// apply takes changes into a state whose targets are not shared.
func apply(st *published.State, changes published.Changes) {
	if changes.Sheet != nil && changes.Sheet.Revision > st.Sheet.Revision {
		st.Sheet = *changes.Sheet
	}
	before := maps.Clone(st.Targets)
	for _, c := range changes.Targets {
		if c.Target == nil {
			delete(st.Targets, c.ID)
			continue
		}
		st.Targets[c.ID] = *c.Target
	}
	st.ResumeRevision = max(st.ResumeRevision, changes.ResumeRevision)
	if !maps.Equal(before, st.Targets) {
		st.TargetsRevision = max(st.ResumeRevision, st.TargetsRevision)
	}
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

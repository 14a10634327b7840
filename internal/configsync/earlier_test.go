package configsync

import (
	"cmp"
	"context"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/balsamstall/balsamstall/protocol/platformapi"
	"github.com/balsamstall/balsamstall/protocol/published"
	"github.com/balsamstall/balsamstall/protocol/status"
	"github.com/balsamstall/balsamstall/protocol/targetlist"
)

// earlierFeed is a platform with the rules of 1bf871e, which dates a list by the newest of its pages. It is
// used by one goroutine.
type earlierFeed struct {
	source          *modelSource
	state           published.State
	targetsRevision uint64
	version, era    uint64
}

func (f *earlierFeed) Hosts(context.Context) ([]platformapi.Host, error) { return nil, nil }

func (f *earlierFeed) Get(ctx context.Context, _ string) (platformapi.Document, error) {
	if err := f.load(ctx); err != nil {
		return platformapi.Document{}, err
	}
	return f.document(), nil
}

func (f *earlierFeed) Watch(ctx context.Context, _ string, after uint64, wait time.Duration) (platformapi.Document, bool, error) {
	if err := f.awaitChanges(ctx, wait); err != nil {
		return platformapi.Document{}, false, err
	}
	return f.document(), f.version > after, nil
}

func (f *earlierFeed) document() platformapi.Document {
	list := targetlist.Document{Era: f.state.Era, Revision: f.targetsRevision, Targets: []targetlist.Target{}}
	for _, t := range f.state.Targets {
		list.Targets = append(list.Targets, t)
	}
	slices.SortFunc(list.Targets, func(a, b targetlist.Target) int { return cmp.Compare(a.ID, b.ID) })
	value, _ := json.Marshal(list) // A list can always be encoded.
	return platformapi.Document{Key: platformapi.TargetsKey, Version: f.version, Value: value}
}

func (f *earlierFeed) replace(next published.State, revision uint64) {
	if next.Era != f.state.Era || revision != f.targetsRevision {
		f.version++
	}
	f.state, f.targetsRevision = next, revision
}

func (f *earlierFeed) load(ctx context.Context) (err error) {
	stale := f.state.Era == f.era
	for range 3 {
		if err = f.loadState(ctx, stale); status.CodeOf(err) != status.RevisionTooOld {
			return err
		}
		stale = false
	}
	return err
}

func (f *earlierFeed) loadState(ctx context.Context, stale bool) error {
	next, err := f.source.Read(ctx, stale)
	f.era = max(f.era, next.Era)
	if err != nil {
		return err
	}
	changes, err := f.source.Watch(ctx, next.ResumeRevision, 0)
	f.era = max(f.era, changes.Era)
	if err != nil {
		return err
	}
	if next.Era != changes.Era || next.Era < f.era {
		return status.New(status.RevisionTooOld, "", "restored")
	}
	var revision uint64
	for _, p := range next.Pages {
		revision = max(revision, p.Revision)
	}
	next, revision = applyEarlier(next, revision, changes)
	if next.Era == f.state.Era {
		if next.ResumeRevision < f.state.ResumeRevision {
			return nil
		}
		if maps.Equal(next.Targets, f.state.Targets) {
			revision = f.targetsRevision
		}
	}
	f.replace(next, revision)
	return nil
}

func (f *earlierFeed) awaitChanges(ctx context.Context, wait time.Duration) error {
	if f.state.Era != f.era {
		return f.load(ctx)
	}
	changes, err := f.source.Watch(ctx, f.state.ResumeRevision, wait)
	f.era = max(f.era, changes.Era)
	if status.CodeOf(err) == status.RevisionTooOld || err == nil && changes.Era > f.state.Era {
		return f.load(ctx)
	}
	if err == nil {
		f.replace(applyEarlier(f.state, f.targetsRevision, changes))
	}
	return err
}

func applyEarlier(st published.State, revision uint64, changes published.Changes) (published.State, uint64) {
	before := st.Targets
	st.Targets = maps.Clone(before)
	for _, c := range changes.Targets {
		if c.Target == nil {
			delete(st.Targets, c.ID)
		} else {
			st.Targets[c.ID] = *c.Target
		}
	}
	st.ResumeRevision = max(st.ResumeRevision, changes.ResumeRevision)
	if !maps.Equal(before, st.Targets) {
		revision = max(st.ResumeRevision, revision)
	}
	return st, revision
}

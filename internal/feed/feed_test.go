package feed

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/balsamstall/balsamstall/protocol/platformapi"
	"github.com/balsamstall/balsamstall/protocol/published"
	"github.com/balsamstall/balsamstall/protocol/status"
	"github.com/balsamstall/balsamstall/protocol/targetlist"
)

// fakeSource returns fixed states. It is used by one goroutine.
type fakeSource struct {
	// stale and exact are the results of the two kinds of reads.
	stale, exact published.State
	// oldest is the first revision that a watch may continue from.
	oldest uint64
	// changes is the result of a watch from a revision before its ResumeRevision.
	changes published.Changes
	// reads records the stale argument of each read.
	reads []bool
}

func (s *fakeSource) Read(_ context.Context, stale bool) (published.State, error) {
	s.reads = append(s.reads, stale)
	if stale {
		return s.stale, nil
	}
	return s.exact, nil
}

func (s *fakeSource) Watch(_ context.Context, after uint64, _ time.Duration) (published.Changes, error) {
	if after < s.oldest {
		return published.Changes{}, status.New(status.RevisionTooOld, "", "revision %d", after)
	}
	if s.changes.ResumeRevision > after {
		return s.changes, nil
	}
	return published.Changes{ResumeRevision: after}, nil
}

func stateAt(revision uint64, ids ...string) published.State {
	st := published.State{ResumeRevision: revision, Sheet: published.Sheet{Revision: revision, Value: []byte(`{}`)},
		Targets: make(map[string]targetlist.Target), Pages: []published.Page{{Revision: revision}}}
	for _, id := range ids {
		st.Targets[id] = targetlist.Target{ID: id}
	}
	return st
}

// Guards against a startup that fails or uses an outdated state because the source no longer has
// the changes since a stale read.
func TestStaleReadFallsBackToExactRead(t *testing.T) {
	is := is.New(t)
	source := &fakeSource{stale: stateAt(3, "a"), exact: stateAt(9, "a"), oldest: 5}
	f := New(source, zerolog.Nop())
	doc, err := f.Get(t.Context(), platformapi.TargetsKey)
	is.NoErr(err)
	var list targetlist.Document
	is.NoErr(json.Unmarshal(doc.Value, &list))
	is.Equal(list.Revision, uint64(9))
	is.Equal(source.reads, []bool{true, false})
}

// Guards against a separate read of the full state for each document.
func TestOneReadServesAllDocuments(t *testing.T) {
	is := is.New(t)
	source := &fakeSource{stale: stateAt(3)}
	f := New(source, zerolog.Nop())
	for _, key := range []string{platformapi.SheetKey, platformapi.TargetsKey} {
		_, err := f.Get(t.Context(), key)
		is.NoErr(err)
	}
	is.Equal(len(source.reads), 1)
}

// Guards against a removed or unusable registration that remains in the list, and against a sheet
// that reverts to an earlier revision.
func TestChangesAreAppliedInOrder(t *testing.T) {
	is := is.New(t)
	st := newSnapshot(stateAt(5, "a", "b"), time.Time{})
	st.apply(published.Changes{
		ResumeRevision: 8,
		Sheet:          &published.Sheet{Revision: 4},
		Targets: []published.TargetChange{
			{ID: "a", Revision: 6},
			{ID: "c", Revision: 7, Target: &targetlist.Target{ID: "c"}},
			{ID: "c", Revision: 8, Target: &targetlist.Target{ID: "c", Leaving: true}},
		},
	}, time.Time{})
	is.Equal(st.sheet.Revision, uint64(5))
	is.Equal(st.targets, map[string]targetlist.Target{"b": {ID: "b"}, "c": {ID: "c", Leaving: true}})
	is.Equal(st.targetsRevision, uint64(8))
}

// Guards against a list that keeps its revision when its changes cancel each other out, and so stays behind
// the list that a peer has published between them.
func TestChangesThatCancelOutAdvanceTheRevision(t *testing.T) {
	is := is.New(t)
	st := newSnapshot(stateAt(5, "a"), time.Time{})
	st.apply(published.Changes{ResumeRevision: 7, Targets: []published.TargetChange{
		{ID: "b", Revision: 6, Target: &targetlist.Target{ID: "b"}}, {ID: "b", Revision: 7}}}, time.Time{})
	is.Equal(st.targetsRevision, uint64(7))
	st.apply(published.Changes{ResumeRevision: 9, Targets: []published.TargetChange{
		{ID: "a", Revision: 8, Target: &targetlist.Target{ID: "a"}}, {ID: "b", Revision: 9}}}, time.Time{})
	is.Equal(st.targetsRevision, uint64(7)) // Nothing has changed.
}

// Guards against a target list that counts as changed when only the sheet has changed: every entry
// would fetch it.
func TestSheetChangeKeepsTargetsVersion(t *testing.T) {
	is := is.New(t)
	st := newSnapshot(stateAt(5, "a"), time.Time{})
	st.apply(published.Changes{ResumeRevision: 8, Sheet: &published.Sheet{Revision: 8}, Changed: true}, time.Time{})
	is.Equal(st.targetsRevision, uint64(5))
	is.Equal(st.sheet.Revision, uint64(8))
}

// Guards against a faulty sheet that makes the target list unavailable.
func TestInvalidSheetDoesNotHideTargets(t *testing.T) {
	is := is.New(t)
	st := stateAt(5, "a")
	st.Sheet = published.Sheet{Fault: status.New(status.InvalidArgument, "", "no sheet")}
	f := New(&fakeSource{stale: st}, zerolog.Nop())
	doc, err := f.Get(t.Context(), platformapi.SheetKey)
	is.NoErr(err)
	is.Equal(len(doc.Value), 0)
	is.Equal(status.CodeOf(doc.Fault), status.InvalidArgument)
	_, err = f.Get(t.Context(), platformapi.TargetsKey)
	is.NoErr(err)
}

// eraSource is a source that is restored from a backup once it was read.
type eraSource struct {
	fakeSource
	// restored is the state after the restore. It is nil before.
	restored *published.State
}

func (s *eraSource) Read(ctx context.Context, stale bool) (published.State, error) {
	if s.restored != nil && !stale {
		return *s.restored, nil
	}
	return s.fakeSource.Read(ctx, stale)
}

func (s *eraSource) Watch(ctx context.Context, after uint64, wait time.Duration) (published.Changes, error) {
	changes, err := s.fakeSource.Watch(ctx, after, wait)
	changes.Era = 1
	if s.restored != nil {
		changes.Era = s.restored.Era
	}
	return changes, err
}

// Guards against a restore that is noticed only by an error: the response that fails the watch states
// the era, and the watch after it would succeed from the old revision.
func TestEraOfAFailedCallIsRecorded(t *testing.T) {
	is := is.New(t)
	first, restored := stateAt(9, "a", "b"), stateAt(4, "a")
	first.Era, restored.Era = 1, 2
	source := &eraSource{fakeSource: fakeSource{stale: first}}
	f := New(source, zerolog.Nop())
	_, err := f.Get(t.Context(), platformapi.TargetsKey)
	is.NoErr(err)
	source.restored = &restored
	f.recordEra(2)
	doc, changed, err := f.Watch(t.Context(), platformapi.TargetsKey, 1, time.Millisecond)
	is.NoErr(err)
	is.True(changed)
	var list targetlist.Document
	is.NoErr(json.Unmarshal(doc.Value, &list))
	is.Equal(list.Era, uint64(2))
	is.Equal(len(list.Targets), 1)
	is.Equal(source.reads, []bool{true}) // Only exact reads follow a restore.
}

// mixedState returns a state whose first page is as of revision 113 and whose second one, of the ids above
// b, is as of 115.
func mixedState() published.State {
	st := stateAt(113, "a", "b")
	st.Pages = append(st.Pages, published.Page{After: "b", Revision: 115})
	return st
}

// Guards against serving a state whose pages differ in age, also if an exact read and the changes do not
// make up for it, and against a watch that continues from nothing.
func TestIncompleteStateIsNotServed(t *testing.T) {
	is := is.New(t)
	source := &fakeSource{stale: mixedState(), exact: mixedState()}
	f := New(source, zerolog.Nop())
	_, err := f.Get(t.Context(), platformapi.TargetsKey)
	is.Equal(status.CodeOf(err), status.RevisionTooOld)
	is.Equal(source.reads, []bool{true, false, false})
	leaving := published.TargetChange{ID: "a", Revision: 114, Target: &targetlist.Target{ID: "a", Leaving: true}}
	source.changes = published.Changes{ResumeRevision: 114, Targets: []published.TargetChange{leaving}}
	_, _, err = f.Watch(t.Context(), platformapi.TargetsKey, 0, 0)
	is.Equal(status.CodeOf(err), status.RevisionTooOld)
	source.changes.ResumeRevision = 115
	doc, changed, err := f.Watch(t.Context(), platformapi.TargetsKey, 0, 0)
	is.NoErr(err)
	is.True(changed)
	list, err := targetlistOf(doc)
	is.NoErr(err)
	is.Equal(list.Revision, uint64(115))
	is.True(list.Targets[0].Leaving)
}

func targetlistOf(doc platformapi.Document) (list targetlist.Document, err error) {
	err = json.Unmarshal(doc.Value, &list)
	return list, err
}

// Guards against a sheet that reverts because a read of the registrations is newer than that of the sheet.
func TestReadKeepsANewerSheet(t *testing.T) {
	is := is.New(t)
	later := stateAt(9, "a", "b")
	later.Sheet.Revision = 6
	source := &fakeSource{stale: stateAt(7, "a"), exact: later}
	f := New(source, zerolog.Nop())
	is.NoErr(f.loadState(t.Context(), true))
	is.NoErr(f.loadState(t.Context(), false))
	is.Equal(f.state.sheet.Revision, uint64(7))
	is.Equal(len(f.state.targets), 2)
}

// Guards against a list of a peer that contradicts the state and is kept, and against one that the state
// does not cover, or has, and is replaced.
func TestContradictingListIsCorrected(t *testing.T) {
	is := is.New(t)
	f := New(&fakeSource{stale: stateAt(113, "a"), changes: published.Changes{ResumeRevision: 115}}, zerolog.Nop())
	_, known := f.Correct(&targetlist.Document{})
	is.True(!known) // Nothing has been read.
	_, err := f.Get(t.Context(), platformapi.TargetsKey)
	is.NoErr(err)
	is.Equal(f.state.targetsRevision, uint64(113))
	right, wrong := []targetlist.Target{{ID: "a"}}, []targetlist.Target{{ID: "a", Leaving: true}}
	for _, c := range []struct {
		list    targetlist.Document
		known   bool
		correct uint64 // The revision of the correction, or 0 for none.
	}{
		{targetlist.Document{Revision: 112, Targets: wrong}, false, 0}, // The feed's list is newer.
		{targetlist.Document{Revision: 114, Targets: right}, true, 0},
		{targetlist.Document{Revision: 116, Targets: wrong}, false, 0},
		{targetlist.Document{Era: 1, Revision: 114, Targets: wrong}, false, 0},
		{targetlist.Document{Revision: 114, Targets: wrong}, true, 115},
		{targetlist.Document{Revision: 115, Targets: append(right, wrong...)}, true, 115},
	} {
		doc, known := f.Correct(&c.list)
		is.Equal(known, c.known)
		if c.correct == 0 {
			is.Equal(len(doc.Value), 0)
			continue
		}
		list, err := targetlistOf(doc)
		is.NoErr(err)
		is.Equal(list, targetlist.Document{Revision: c.correct, Targets: right})
	}
	version, _ := f.version(platformapi.TargetsKey)
	is.True(version > 1) // A watch returns the list with its new revision.
}

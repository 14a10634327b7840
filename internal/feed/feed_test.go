package feed

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/balsamstall/balsamstall/protocol/platformapi"
	"github.com/balsamstall/balsamstall/protocol/published"
	"github.com/balsamstall/balsamstall/protocol/status"
	"github.com/balsamstall/balsamstall/protocol/targetlist"
)

// fakeSource answers with fixed states. It is used by one goroutine.
type fakeSource struct {
	// stale and exact are the answers to the two kinds of reads.
	stale, exact published.State
	// oldest is the first revision that a watch may continue from.
	oldest uint64
	// changes is the answer of the next watch that asks for a later revision.
	changes published.Changes
	reads   []bool
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
		Targets: make(map[string]targetlist.Target), TargetsRevision: revision}
	for _, id := range ids {
		st.Targets[id] = targetlist.Target{ID: id}
	}
	return st
}

// Guards against a start that fails, or takes an old state for the present one, when
// the source no longer has the changes since a stale read.
func TestStaleReadWithoutHistoryIsReadExactly(t *testing.T) {
	is := is.New(t)
	source := &fakeSource{stale: stateAt(3), exact: stateAt(9), oldest: 5}
	f := New(source, zerolog.Nop())
	doc, err := f.Get(t.Context(), platformapi.SheetKey)
	is.NoErr(err)
	is.Equal(doc.Version, uint64(9))
	is.Equal(source.reads, []bool{true, false})
}

// Guards against a read of everything for each document.
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

// Guards against a removed or unusable registration that stays in the list, and
// against a sheet that goes back to an earlier revision.
func TestChangesAreAppliedInOrder(t *testing.T) {
	is := is.New(t)
	st := stateAt(5, "a", "b")
	apply(&st, published.Changes{
		ResumeRevision: 8,
		Sheet:          &published.Sheet{Revision: 4},
		Targets: []published.TargetChange{
			{ID: "a"},
			{ID: "c", Target: &targetlist.Target{ID: "c"}},
			{ID: "c", Target: &targetlist.Target{ID: "c", Leaving: true}},
		},
	})
	is.Equal(st.Sheet.Revision, uint64(5))
	is.Equal(st.Targets, map[string]targetlist.Target{"b": {ID: "b"}, "c": {ID: "c", Leaving: true}})
	is.Equal(st.TargetsRevision, uint64(8))
}

// Guards against a list that counts as changed when only the sheet changed: every
// entry would fetch it.
func TestSheetChangeLeavesTheListsVersion(t *testing.T) {
	is := is.New(t)
	st := stateAt(5, "a")
	apply(&st, published.Changes{ResumeRevision: 8, Sheet: &published.Sheet{Revision: 8}, Changed: true})
	is.Equal(st.TargetsRevision, uint64(5))
	is.Equal(st.Sheet.Revision, uint64(8))
}

// Guards against a fault of the sheet that hides the list of targets.
func TestUntranslatableSheetLeavesTheList(t *testing.T) {
	is := is.New(t)
	st := stateAt(5, "a")
	st.Sheet.Err = status.New(status.InvalidArgument, "", "no sheet")
	f := New(&fakeSource{stale: st}, zerolog.Nop())
	_, err := f.Get(t.Context(), platformapi.SheetKey)
	is.Equal(status.CodeOf(err), status.InvalidArgument)
	_, err = f.Get(t.Context(), platformapi.TargetsKey)
	is.NoErr(err)
}

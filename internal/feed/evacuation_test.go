package feed

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/balsamstall/balsamstall/protocol/platformapi"
	"github.com/balsamstall/balsamstall/protocol/published"
	"github.com/balsamstall/balsamstall/protocol/status"
	"github.com/balsamstall/balsamstall/protocol/targetlist"
)

// evacuatedAt returns a state like stateAt, whose evacuated zones are as of a revision of their own.
func evacuatedAt(revision, evacuatedRevision uint64, zones ...string) published.State {
	st := stateAt(revision, "a")
	st.ResumeRevision = min(revision, evacuatedRevision)
	st.EvacuatedPages = []published.Page{{Revision: evacuatedRevision}}
	st.Evacuated = make(map[string]bool)
	for _, zone := range zones {
		st.Evacuated[zone] = true
	}
	return st
}

// Guards against an event that is older than the page of its zone and undoes what the page shows, against a
// list that is served before the watch has passed that page, and against an event that the page precedes and
// that is lost.
func TestEvacuationsOfAPageOfAnotherAge(t *testing.T) {
	is := is.New(t)
	newer := evacuatedAt(113, 115, "z")
	source := &fakeSource{stale: newer, exact: newer}
	f := New(source, zerolog.Nop())
	_, err := f.Get(t.Context(), platformapi.TargetsKey)
	is.Equal(status.CodeOf(err), status.RevisionTooOld)
	source.changes = published.Changes{ResumeRevision: 116, Evacuations: []published.EvacuationChange{
		{Zone: "z", Revision: 114}, {Zone: "z", Revision: 115, Evacuated: true}, {Zone: "y", Revision: 116, Evacuated: true}}}
	for until := range source.changes.Evacuations {
		st := newSnapshot(newer, time.Time{})
		st.apply(published.Changes{ResumeRevision: 114 + uint64(until), Evacuations: source.changes.Evacuations[:until+1]}, time.Time{})
		is.True(st.evacuated["z"])
		is.Equal(st.complete(), until > 0)
	}
	doc, err := f.Get(t.Context(), platformapi.TargetsKey)
	is.NoErr(err)
	list, err := targetlistOf(doc)
	is.NoErr(err)
	is.Equal(list.Evacuated, []string{"y", "z"})
	is.Equal(list.Revision, uint64(116))
	older := newSnapshot(evacuatedAt(113, 111, "x"), time.Time{})
	older.apply(published.Changes{ResumeRevision: 113, Evacuations: []published.EvacuationChange{
		{Zone: "x", Revision: 112}, {Zone: "z", Revision: 113, Evacuated: true}}}, time.Time{})
	is.Equal(older.evacuated, map[string]bool{"z": true})
	is.Equal(older.targetsRevision, uint64(113))
}

// Guards against evacuations that are kept or forgotten when the state is read again after a compaction or a
// restore, against a list that keeps its revision although its evacuations differ, and against one that gets a
// new revision although nothing has changed.
func TestEvacuationsAreReplacedByAnotherRead(t *testing.T) {
	is := is.New(t)
	source := &fakeSource{exact: evacuatedAt(9, 9, "z")}
	f := New(source, zerolog.Nop())
	for _, c := range []struct {
		era, revision uint64
		zones         []string
		want          uint64 // The revision of the list.
	}{{0, 9, []string{"z"}, 9}, {0, 12, []string{"z"}, 9}, {0, 15, []string{"y"}, 15}, {0, 18, nil, 18}, {0, 19, []string{"y"}, 19}, {0, 20, []string{"y"}, 19}} {
		source.exact = evacuatedAt(c.revision, c.revision, c.zones...)
		is.NoErr(f.loadState(t.Context(), false))
		list := f.state.targetList()
		is.True(slices.Equal(list.Evacuated, c.zones))
		is.Equal(list.Revision, c.want)
	}
	restored := &eraSource{restored: &published.State{}}
	*restored.restored = evacuatedAt(4, 4, "w")
	restored.restored.Era = 2
	f.source = restored
	is.NoErr(f.loadState(t.Context(), false))
	is.Equal(f.state.targetList().Evacuated, []string{"w"})
}

// Guards against a list of a peer, such as one of an earlier build, that lacks an evacuation or states one that
// has ended, and is kept.
func TestListWithOtherEvacuationsIsCorrected(t *testing.T) {
	is := is.New(t)
	f := New(&fakeSource{stale: evacuatedAt(113, 113, "z")}, zerolog.Nop())
	_, err := f.Get(t.Context(), platformapi.TargetsKey)
	is.NoErr(err)
	for _, zones := range [][]string{nil, {"y"}, {"y", "z"}, {"z"}} {
		doc, known := f.Correct(&targetlist.Document{Revision: 113, Targets: []targetlist.Target{{ID: "a"}}, Evacuated: zones})
		is.True(known)
		if slices.Equal(zones, []string{"z"}) {
			is.Equal(len(doc.Value), 0)
			continue
		}
		list, err := targetlistOf(doc)
		is.NoErr(err)
		is.Equal(list.Evacuated, []string{"z"})
	}
}

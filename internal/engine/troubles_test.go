package engine_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/balsamstall/balsamstall/internal/loadmodel"
)

// Guards against callers of partitioned entries who are served far worse than the others.
func TestPeersServeWhileMostEntriesAreDetached(t *testing.T) {
	is := is.New(t)
	run := func(noDetour bool) float64 {
		l := loadmodel.Named("detached", 6)
		l.NoDetour = noDetour
		r := simulate(t, l, 1)
		t.Log(l.Summary("detached", map[string]*loadmodel.Outcome{"wide": r.Kind("wide"), "quick": r.Kind("quick")}))
		return answered(r.Kind("wide"))
	}
	with, without := run(false), run(true)
	is.True(with > 2.0/3)
	is.True(without < with-0.05)
}

// Guards against new work for targets that left before the list was restored.
func TestRestoredListBringsNoTargetBack(t *testing.T) {
	is := is.New(t)
	run := func(noReconciliation bool) (refusals int, served float64) {
		l := loadmodel.Named("restored", 6)
		l.NoReconciliation = noReconciliation
		r := simulate(t, l, 1)
		t.Log(l.Summary("restored", map[string]*loadmodel.Outcome{"wide": r.Kind("wide"), "quick": r.Kind("quick")}))
		for _, target := range r.Targets {
			refusals += target.RefusedAfterEnd(l.RestoredAt)
		}
		return refusals, answered(r.Kind("wide"))
	}
	with, served := run(false)
	without, _ := run(true)
	is.Equal(with, 0)
	is.True(without > 0)
	is.True(served > 0.97)
}

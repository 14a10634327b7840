package entry

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/balsamstall/balsamstall/internal/engine"
	"github.com/balsamstall/balsamstall/protocol/ids"
)

// Guards against an old fact that keeps a new one from travelling: a message
// carries only the first facts of a kind for certain.
func TestNewestFactsComeFirst(t *testing.T) {
	is := is.New(t)
	f := newFakeFleet(t, 1, 1)
	e := f.engine(0)
	facts := newFacts(e.self, e.core)
	const count = 200
	var targets []string
	for n := range count {
		name := fmt.Sprintf("target-%03d", n)
		targets = append(targets, name)
		e.core.MarkLeaving(name, engine.LeavingPeriod)
		facts.addSuccession(ids.NewIncarnation(), name, ids.NewIncarnation())
		time.Sleep(time.Microsecond) // Each fact gets a time of its own.
	}
	slices.Reverse(targets)
	set := facts.Collect()
	var leaving, successors []string
	for _, l := range set.Leaving {
		leaving = append(leaving, l.Target)
	}
	for _, s := range set.Successions {
		successors = append(successors, s.Successor)
	}
	is.Equal(leaving, targets)
	is.Equal(successors, targets)
}

// Guards against a target that gets work from an entry whose peers know that it leaves,
// and against one that gets none because its predecessor left.
func TestPeersTellWhichStartOfATargetLeaves(t *testing.T) {
	is := is.New(t)
	told, learned := newFakeFleet(t, 1, 1), newFakeFleet(t, 1, 1)
	catalogue := func(started int64) *engine.Catalogue {
		return &engine.Catalogue{Targets: []engine.CatalogueTarget{{ID: "t", Started: started}}}
	}
	from, to := told.engine(0).core, learned.engine(0).core
	from.SetCatalogue(catalogue(1))
	from.RecordStatedLeaving("t", "id")
	tell := func() {
		newFacts(Identity{}, to).Receive("peer", newFacts(Identity{Start: time.Now()}, from).Collect())
	}
	to.SetCatalogue(catalogue(2))
	tell()
	is.True(!to.IsLeaving("t"))
	to.SetCatalogue(catalogue(1))
	tell()
	is.True(to.IsLeaving("t"))
}

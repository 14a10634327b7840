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

// Guards against old facts that delay new ones: only the first facts of each kind are certain to be
// in a message.
func TestNewestFactsComeFirst(t *testing.T) {
	is := is.New(t)
	f := newFakeFleet(t, 1, 1)
	e := f.engine(0)
	facts := newFactExchange(e.self, e.core)
	const count = 200
	var targets []string
	for n := range count {
		name := fmt.Sprintf("target-%03d", n)
		targets = append(targets, name)
		e.core.MarkLeaving(name, engine.LeavingPeriod)
		facts.addSuccession(ids.NewIncarnation(), name, ids.NewIncarnation())
		time.Sleep(time.Microsecond) // Ensures that the times of the facts differ.
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

// Guards against a target that gets work from an entry although its peers know that it is leaving,
// and against one that gets none because its previous incarnation left.
func TestLeavingFactsApplyToOneIncarnation(t *testing.T) {
	is := is.New(t)
	sender, receiver := newFakeFleet(t, 1, 1), newFakeFleet(t, 1, 1)
	catalogue := func(started int64) *engine.Catalogue {
		return &engine.Catalogue{Targets: []engine.CatalogueTarget{{ID: "t", Started: started}}}
	}
	from, to := sender.engine(0).core, receiver.engine(0).core
	from.SetCatalogue(catalogue(1))
	from.RecordStatedLeaving("t", "id")
	exchange := func() {
		newFactExchange(Identity{}, to).Receive("peer", newFactExchange(Identity{Start: time.Now()}, from).Collect())
	}
	to.SetCatalogue(catalogue(2))
	exchange()
	is.True(!to.IsLeaving("t"))
	to.SetCatalogue(catalogue(1))
	exchange()
	is.True(to.IsLeaving("t"))
}

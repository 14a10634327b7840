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

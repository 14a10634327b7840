package engine_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/balsamstall/balsamstall/internal/loadmodel"
)

// simulateKinds runs a load with two seeds and returns the sums of what the callers of each kind get,
// and the number of sub-requests that were left out.
func simulateKinds(t *testing.T, name string) (kinds map[string]*loadmodel.Outcome, leftOut int64) {
	t.Helper()
	l := loadmodel.Named(name, 6)
	l.Duration = 9 * time.Second
	kinds = map[string]*loadmodel.Outcome{}
	for _, k := range l.Kinds {
		kinds[k.Name] = &loadmodel.Outcome{}
	}
	for seed := range uint64(2) {
		r := simulate(t, l, seed+1)
		leftOut += r.ShardsLeftOut
		for kind, o := range kinds {
			o.Add(r.Kind(kind))
		}
	}
	t.Log(l.Summary(name, kinds))
	return kinds, leftOut
}

// Guards against lookups, which are answered without a contended shard, that take its slots while pages,
// which need it, are rejected; and against lookups that lose more than the pages gain.
func TestContendedShardsServeRequestsThatNeedThem(t *testing.T) {
	is := is.New(t)
	kinds, leftOut := simulateKinds(t, "burst")
	page, lookup := kinds["page"], kinds["lookup"]
	is.True(leftOut > 0)
	// Without the rule 0.35 of the pages are refused and their credit is 0.46.
	is.True(float64(page.Refused) < 0.25*float64(page.Callers))
	is.True(page.Credit > 0.55*float64(page.Callers))
	// Without the rule the squared coverage of lookups is 0.87.
	is.True(float64(lookup.WithinGoal) > 0.99*float64(lookup.Callers))
	is.True(lookup.SquaredCoverage > 0.82*float64(lookup.Callers))
}

// Guards against answers that lack a shard although every request is served.
func TestNoShardIsLeftOutWithoutRejections(t *testing.T) {
	is := is.New(t)
	l := loadmodel.Named("contended", 6)
	l.Duration, l.SetupTarget = 5*time.Second, nil
	r := simulate(t, l, 1)
	is.Equal(r.Kind("page").Refused, 0)
	is.Equal(r.ShardsLeftOut, int64(0))
	is.True(r.Kind("lookup").SquaredCoverage > 0.95*float64(r.Kind("lookup").Callers))
}

// Guards against urgent requests that are rejected as often as others of the same work, and against less
// urgent ones that get nothing.
func TestUrgentRequestsAreRejectedLess(t *testing.T) {
	is := is.New(t)
	kinds, _ := simulateKinds(t, "ranked")
	refused := func(kind string) float64 { return float64(kinds[kind].Refused) / float64(kinds[kind].Callers) }
	// Without the rule 0.31 of the urgent and 0.26 of the others are refused.
	is.True(refused("urgent") < 0.22)
	is.True(refused("bulk") > refused("urgent"))
	is.True(float64(kinds["bulk"].WithinGoal) > 0.3*float64(kinds["bulk"].Callers))
}

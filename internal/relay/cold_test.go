package relay

import (
	"testing"

	"github.com/matryer/is"

	"github.com/balsamstall/balsamstall/protocol/sheet"
	"github.com/balsamstall/balsamstall/protocol/targetlist"
)

// Guards against a limit for warm targets and for groups without one, which would slow all deployments down, and
// against a cold target without its limit.
func TestOnlyColdTargetsOfGroupsWithAColdRateAreLimited(t *testing.T) {
	is := is.New(t)
	p := &plan{
		sheet: &sheet.Sheet{Groups: []sheet.Group{{Name: "limited", ColdRate: 4.5}, {Name: "free"}}},
		targets: &targetlist.Document{Targets: []targetlist.Target{
			{ID: "cold", Group: "limited", Cold: true}, {ID: "warm", Group: "limited"}, {ID: "leaving", Group: "limited", Cold: true, Leaving: true},
			{ID: "slow", Group: "free", Cold: true}}},
	}
	is.Equal(p.coldLimits(), map[string]float64{"cold": 4.5, "leaving": 4.5})
}

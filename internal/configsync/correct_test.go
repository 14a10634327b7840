package configsync

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/balsamstall/balsamstall/coordination/delta"
	"github.com/balsamstall/balsamstall/coordination/revision"
	"github.com/balsamstall/balsamstall/protocol/platformapi"
	"github.com/balsamstall/balsamstall/protocol/targetlist"
	"github.com/balsamstall/balsamstall/state/audit"
)

// Guards against list faults that operators do not see, and against a settled list that a later confirmation
// or a contradicting list of a peer changes.
func TestListFaultsAreReported(t *testing.T) {
	is := is.New(t)
	var faults []ListFault
	s := New(Config{Keys: []string{platformapi.TargetsKey}}, Deps{Audit: audit.New(zerolog.Nop()), Log: zerolog.Nop(), ParseTargets: targetlist.Parse,
		OnListFault: func(fault ListFault) { faults = append(faults, fault) }})
	accept := func(rev int, leaving, settled bool) revision.Decision {
		content, err := delta.New(leavingJSON(rev, leaving))
		is.NoErr(err)
		return s.accept(platformapi.TargetsKey, content, origin{actor: "peer e1", settled: settled})
	}
	is.Equal(accept(114, true, false), revision.Accept)
	is.Equal(accept(115, false, false), revision.Accept)
	is.Equal(accept(115, true, true), revision.Accept)
	is.Equal(accept(115, false, true), revision.Conflict)
	is.Equal(accept(115, true, false), revision.Unchanged)
	is.True(s.store.Claim(platformapi.TargetsKey).Settled)
	is.Equal(faults, []ListFault{LostChange, ReplacedList})
	is.Equal(accept(116, true, false), revision.Accept)
	is.Equal(accept(116, true, true), revision.Unchanged)
	is.True(s.store.Claim(platformapi.TargetsKey).Settled)
}

func leavingJSON(rev int, leaving bool) []byte {
	return fmt.Appendf(nil, `{"revision":%d,"targets":[{"id":"a","group":"g","address":"10.0.0.1:80","zone":"z","slots":1,"leaving":%t}]}`, rev, leaving)
}

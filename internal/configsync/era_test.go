package configsync

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/balsamstall/balsamstall/protocol/platformapi"
	"github.com/balsamstall/balsamstall/protocol/status"
)

func targetsJSON(era, revision int, id string) string {
	return fmt.Sprintf(`{"era":%d,"revision":%d,"targets":[{"id":%q,"group":"g","address":"127.0.0.1:1","zone":"z","slots":1}]}`, era, revision, id)
}

// Guards against an entry without the platform that keeps the target list from before a restore of the
// platform's store, and against a sheet of the restored store that replaces a newer one.
func TestRestoredStoreIsHeardOfFromPeers(t *testing.T) {
	is := is.New(t)
	env := newTestEnv()
	env.keys = []string{platformapi.SheetKey, platformapi.TargetsKey}
	env.publish(platformapi.SheetKey, sheetJSON(7, "before"))
	env.publish(platformapi.TargetsKey, targetsJSON(1, 90, "a"))
	var fleet []*testEntry
	for _, id := range fleetIDs {
		fleet = append(fleet, env.startEntry(t, id, fleetIDs...))
	}
	waitForRevision(t, fleet, 7)
	for _, id := range []string{"e1", "f0", "f2"} {
		env.setPlatformError(id, status.New(status.Unavailable, "", "platform is down"))
	}
	env.publish(platformapi.SheetKey, sheetJSON(5, "backup"))
	for revision := 40; revision < 43; revision++ {
		env.publish(platformapi.TargetsKey, targetsJSON(2, revision, fmt.Sprint("b", revision)))
	}
	for _, e := range fleet {
		eventually(t, "entry "+e.id+" has the list of the new era", func() bool {
			list := e.Current().Targets
			return list != nil && list.Era == 2 && list.Revision == 42
		})
		is.Equal(e.revision(), uint64(7))
	}
	env.publish(platformapi.SheetKey, sheetJSON(8, "after"))
	waitForRevision(t, fleet, 8)
}

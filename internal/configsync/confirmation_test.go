package configsync

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/balsamstall/balsamstall/coordination/confirm"
	"github.com/balsamstall/balsamstall/coordination/membership"
	"github.com/balsamstall/balsamstall/protocol/platformapi"
	"github.com/balsamstall/balsamstall/protocol/status"
)

// Guards against an entry that counts its document as confirmed at a time at which the platform had a newer one.
func TestConfirmationNeverCoversAMissingVersion(t *testing.T) {
	is := is.New(t)
	env := newTestEnv()
	env.publish(platformapi.IndexKey, `{"revision": 1}`)
	env.setPlatformError("c1", status.New(status.Unavailable, "", "cut off"))
	fleet := []*testEntry{env.startEntry(t, "a1", "b1", "c1"), env.startEntry(t, "b1", "a1", "c1"), env.startEntry(t, "c1", "a1", "b1")}
	for revision := 1; revision <= 30; revision++ {
		env.publish(platformapi.SheetKey, sheetJSON(revision, "a"))
		published := time.Now()
		eventually(t, "every entry has the version confirmed", func() bool {
			confirmed := 0
			for _, e := range fleet {
				if at := e.ConfirmedAt(platformapi.SheetKey); at.After(published) {
					is.True(e.store.Version(platformapi.SheetKey).Revision >= uint64(revision))
					confirmed++
				}
			}
			return confirmed == len(fleet)
		})
	}
}

// Guards against an entry that reaches the platform and does not read it while the watchers of its zone wait for answers.
func TestChangeIsInForceWhileNoWatcherReachesThePlatform(t *testing.T) {
	env := newTestEnv()
	env.pollInterval = time.Hour
	env.confirm = confirm.Settings{MaxAge: 300 * time.Millisecond}
	env.publish(platformapi.IndexKey, `{"revision": 1}`)
	env.publish(platformapi.SheetKey, sheetJSON(1, "a"))
	ids := []string{"a1", "b1", "c1", "d1", "e1"}
	var lowest *testEntry
	var fleet []*testEntry
	for _, id := range ids {
		e := env.startEntry(t, id, ids...)
		fleet = append(fleet, e)
		if lowest == nil || membership.Score("zone-1", id) < membership.Score("zone-1", lowest.id) {
			lowest = e
		}
	}
	eventually(t, "every entry has the sheet", func() bool {
		for _, e := range fleet {
			if e.revision() != 1 {
				return false
			}
		}
		return true
	})
	env.mu.Lock()
	for _, id := range ids {
		env.platformHangs[id] = id != lowest.id
	}
	env.mu.Unlock()
	for revision := 2; revision <= 4; revision++ {
		env.publish(platformapi.SheetKey, sheetJSON(revision, "b"))
		eventually(t, fmt.Sprintf("version %d is in force", revision), func() bool { return lowest.revision() == uint64(revision) })
	}
}

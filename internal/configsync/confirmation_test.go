package configsync

import (
	"testing"
	"time"

	"github.com/matryer/is"

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
					is.True(e.revision() >= uint64(revision))
					confirmed++
				}
			}
			return confirmed == len(fleet)
		})
	}
}

package e2e

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/balsamstall/balsamstall/internal/standin/platform"
	"github.com/balsamstall/balsamstall/internal/testfleet"
	"github.com/balsamstall/balsamstall/protocol/platformapi"
)

// Guards against entries that miss a sheet that reached one of them or revert to an older one:
// while the platform is cut off from the others, stale, down or rate limited, while entries
// restart, and with an invalid sheet and two sheets with the same revision in between.
func TestSheetReachesAllEntriesAndNeverReverts(t *testing.T) {
	is := is.New(t)
	c := testfleet.New(t, testfleet.Options{Entries: 4, Targets: 2, Shards: 4, ServiceMS: 1})
	publish := func(revision uint64) {
		s, _ := c.Documents(revision, 4)
		c.Publish(platformapi.SheetKey, s)
	}
	waitFor := func(revision uint64) {
		t.Helper()
		c.Eventually("every entry uses the sheet", func() bool {
			for _, p := range c.Entries {
				if got := c.SheetRevision(p); got != revision {
					return false
				}
			}
			return true
		})
	}
	apply := func(cmd platform.Command) { is.NoErr(c.Platform.Apply(cmd)) }

	publish(2)
	waitFor(2)

	// Only entry-0 reaches the platform.
	apply(platform.Command{Fault: platform.FaultCut, Entries: []string{"entry-1", "entry-2", "entry-3"}})
	publish(3)
	waitFor(3)
	apply(platform.Command{Fault: platform.FaultCut, Off: true})

	// The platform returns stale documents; a restarted entry learns the sheet from its peers.
	apply(platform.Command{Fault: platform.FaultStale, Back: 2})
	c.Kill(c.Entries[1])
	c.Start(c.Entries[1])
	c.WaitReady(c.Entries[1])
	is.Equal(c.SheetRevision(c.Entries[1]), uint64(3))
	apply(platform.Command{Fault: platform.FaultClear})

	// An invalid sheet is refused entirely.
	_, err := c.Platform.Publish(platformapi.SheetKey, json.RawMessage(`{"revision": 9, "services": [{"name": ""}]}`))
	is.NoErr(err)
	publish(4)
	waitFor(4)

	// Publishing an older sheet again does not revert the entries.
	publish(2)
	// The platform limits the call rate.
	apply(platform.Command{Fault: platform.FaultRate, CallsPerSecond: 2})
	time.Sleep(500 * time.Millisecond)
	waitFor(4)
	publish(5)
	waitFor(5)
	apply(platform.Command{Fault: platform.FaultClear})

	// The platform is down; all entries continue and one restarts.
	apply(platform.Command{Fault: platform.FaultOutage, Mode: platform.ModeHang})
	c.Kill(c.Entries[2])
	c.Start(c.Entries[2])
	c.WaitReady(c.Entries[2])
	waitFor(5)
	is.Equal(c.Search(c.Entries[2], testfleet.IdempotentSearch("clamp")).Status, 200)
	apply(platform.Command{Fault: platform.FaultClear})

	// Two operators publish the same revision; a later revision resolves the conflict.
	first, _ := c.Documents(6, 4)
	second, _ := c.Documents(6, 4)
	second.Date = "2026-12-05"
	c.Publish(platformapi.SheetKey, first)
	c.Publish(platformapi.SheetKey, second)
	publish(7)
	waitFor(7)
}

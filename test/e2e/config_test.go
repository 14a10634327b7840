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

// Guards P8 and F4: a sheet that reaches one entry is in force on all of them
// and never reverts, with the platform cut from the others, stale, down or over
// its call limit, with entries that restart meanwhile, and with a faulty sheet
// and two sheets of one revision in between.
func TestSheetIsInForceEverywhereAndNeverReverts(t *testing.T) {
	is := is.New(t)
	c := testfleet.New(t, testfleet.Options{Entries: 4, Targets: 2, Shards: 4, ServiceMS: 1})
	publish := func(revision uint64) {
		s, _ := c.Documents(revision, 4)
		c.Publish(platformapi.SheetKey, s)
	}
	inForce := func(revision uint64) {
		t.Helper()
		c.Eventually("the sheet is in force on all entries", func() bool {
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
	inForce(2)

	// Only entry-0 reaches the platform.
	apply(platform.Command{Fault: platform.FaultCut, Entries: []string{"entry-1", "entry-2", "entry-3"}})
	publish(3)
	inForce(3)
	apply(platform.Command{Fault: platform.FaultCut, Off: true})

	// The platform turns stale; an entry that restarts learns from its peers.
	apply(platform.Command{Fault: platform.FaultStale, Back: 2})
	c.Kill(c.Entries[1])
	c.Start(c.Entries[1])
	c.WaitReady(c.Entries[1])
	is.Equal(c.SheetRevision(c.Entries[1]), uint64(3))
	apply(platform.Command{Fault: platform.FaultClear})

	// A faulty sheet is refused whole.
	_, err := c.Platform.Publish(platformapi.SheetKey, json.RawMessage(`{"revision": 9, "services": [{"name": ""}]}`))
	is.NoErr(err)
	publish(4)
	inForce(4)

	// An older sheet published again does not revert anything.
	publish(2)
	// The platform allows few calls.
	apply(platform.Command{Fault: platform.FaultRate, CallsPerSecond: 2})
	time.Sleep(500 * time.Millisecond)
	inForce(4)
	publish(5)
	inForce(5)
	apply(platform.Command{Fault: platform.FaultClear})

	// The platform is down; every entry goes on and one restarts.
	apply(platform.Command{Fault: platform.FaultOutage, Mode: platform.ModeHang})
	c.Kill(c.Entries[2])
	c.Start(c.Entries[2])
	c.WaitReady(c.Entries[2])
	inForce(5)
	is.Equal(c.Search(c.Entries[2], testfleet.IdempotentSearch("clamp")).Status, 200)
	apply(platform.Command{Fault: platform.FaultClear})

	// Two operators publish one revision; a later one settles it.
	first, _ := c.Documents(6, 4)
	second, _ := c.Documents(6, 4)
	second.Date = "2026-12-05"
	c.Publish(platformapi.SheetKey, first)
	c.Publish(platformapi.SheetKey, second)
	publish(7)
	inForce(7)
}

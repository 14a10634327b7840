package configsync

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/balsamstall/balsamstall/coordination/delta"
	"github.com/balsamstall/balsamstall/protocol/platformapi"
	"github.com/balsamstall/balsamstall/protocol/status"
	"github.com/balsamstall/balsamstall/state/audit"
)

var fleetIDs = []string{"e0", "e1", "e2", "f0", "f1", "f2"}

// startFleet starts all entries on a platform with revision 1.
func startFleet(t *testing.T) (*testEnv, []*testEntry) {
	env := newTestEnv()
	env.publish(platformapi.SheetKey, sheetJSON(1, "first"))
	env.publish(platformapi.IndexKey, `{"revision": 1}`)
	var fleet []*testEntry
	for _, id := range fleetIDs {
		fleet = append(fleet, env.startEntry(t, id, fleetIDs...))
	}
	waitForRevision(t, fleet, 1)
	return env, fleet
}

func waitForRevision(t *testing.T, fleet []*testEntry, revision uint64) {
	t.Helper()
	for _, e := range fleet {
		eventually(t, fmt.Sprintf("entry %s has sheet revision %d and is ready", e.id, revision), func() bool {
			return e.revision() == revision && e.Ready()
		})
	}
}

// Guards against an entry that misses or reverts a revision because its own access to the platform
// fails, is stale or rate-limited, because the path to a peer is cut, or because it restarts
// meanwhile.
func TestHighestValidRevisionWinsEverywhere(t *testing.T) {
	is := is.New(t)
	env, fleet := startFleet(t)
	env.freezePlatform("e2")
	env.freezePlatform("f2")
	env.setPlatformError("e1", status.New(status.Unavailable, "", "platform is down"))
	env.setPlatformError("f0", status.New(status.RateLimited, "", "too many calls").WithRetryAfter(time.Second))
	env.setPartitioned("f1", "e0", true)

	env.publish(platformapi.SheetKey, sheetJSON(2, "second"))
	waitForRevision(t, fleet, 2)

	env.publish(platformapi.SheetKey, sheetJSON(9, "faulty"))
	eventually(t, "the faulty sheet is refused", func() bool { return fleet[0].countEvents(audit.DocumentRefused) > 0 })
	for _, e := range fleet {
		is.Equal(e.revision(), uint64(2))
	}

	env.stopEntry(fleet[5])
	fleet[5] = env.startEntry(t, "f2", fleetIDs...) // Its view of the platform still has revision 1.
	eventually(t, "the restarted entry is ready", fleet[5].Ready)
	is.Equal(fleet[5].revision(), uint64(2))

	env.publish(platformapi.SheetKey, sheetJSON(3, "third"))
	waitForRevision(t, fleet, 3)
	env.setPlatformError("e1", nil)
	env.setPlatformError("f0", nil)
	env.publish(platformapi.SheetKey, sheetJSON(4, "fourth"))
	waitForRevision(t, fleet, 4)
}

// Guards against a starting entry that uses the document of a stale platform while its peers have a
// newer one. The interval of exchanges is so long that only the startup refresh can prevent it.
func TestStartupAsksPeersBeforePlatform(t *testing.T) {
	env := newTestEnv()
	env.exchangeInterval = time.Hour
	env.publish(platformapi.SheetKey, sheetJSON(1, "first"))
	env.publish(platformapi.IndexKey, `{"revision": 1}`)
	env.freezePlatform("e1")
	env.publish(platformapi.SheetKey, sheetJSON(5, "fifth"))
	waitForRevision(t, []*testEntry{env.startEntry(t, "e0")}, 5)
	late := env.startEntry(t, "e1", "e0")
	eventually(t, "the later entry is ready", late.Ready)
	for _, event := range late.trail.Events() {
		if event.Kind == audit.DocumentAccepted {
			is.New(t).Equal(event.Actor, "peer e0")
		}
	}
}

// Guards against an undetected conflict between two publishers that used the same revision, and
// against a conflict that persists after the next revision.
func TestTwoPublishersWithSameRevision(t *testing.T) {
	env, fleet := startFleet(t)
	for _, a := range fleet[:3] {
		for _, b := range fleet[3:] {
			env.setPartitioned(a.id, b.id, true)
		}
	}
	for _, e := range fleet[3:] {
		env.setPlatformError(e.id, status.New(status.Unavailable, "", "partition"))
	}
	env.publish(platformapi.SheetKey, sheetJSON(2, "one"))
	waitForRevision(t, fleet[:3], 2)
	for _, e := range fleet[:3] {
		env.setPlatformError(e.id, status.New(status.Unavailable, "", "partition"))
	}
	env.publish(platformapi.SheetKey, sheetJSON(2, "two"))
	for _, e := range fleet[3:] {
		env.setPlatformError(e.id, nil)
	}
	waitForRevision(t, fleet[3:], 2)
	for _, a := range fleet {
		for _, b := range fleet {
			env.setPartitioned(a.id, b.id, false)
		}
	}
	for _, e := range fleet {
		eventually(t, "the conflict is recorded at "+e.id, func() bool { return e.countEvents(audit.RevisionConflict) > 0 })
	}
	for i, e := range fleet {
		is.New(t).Equal(e.Current().Sheet.Date, []string{"one", "two"}[i/3]) // Each side keeps its document.
	}
	env.publish(platformapi.SheetKey, sheetJSON(3, "resolved"))
	waitForRevision(t, fleet, 3)
}

// Guards against an undetected conflict with a document of the platform, and against an audit event
// for each poll that returns the same refused document.
func TestRefusalsAreRecordedOnce(t *testing.T) {
	is := is.New(t)
	e := &testEntry{trail: audit.New(zerolog.Nop())}
	refused := 0
	s := New(Config{Entry: "e0"}, Deps{Audit: e.trail, ParseSheet: parseSheet, ParseIndex: parseIndex, OnRefused: func(string) { refused++ }})
	for range 3 {
		for _, value := range []string{sheetJSON(2, "one"), sheetJSON(2, "two"), sheetJSON(1, "one"), sheetJSON(3, "faulty"), `{"Revision":9}`} {
			content, err := delta.New([]byte(value))
			is.NoErr(err)
			s.accept(platformapi.SheetKey, content, origin{actor: "platform"})
		}
	}
	is.Equal(s.Current().Sheet.Date, "one")
	is.Equal(e.countEvents(audit.DocumentAccepted), 1)
	is.Equal(e.countEvents(audit.RevisionConflict), 1)
	is.Equal(e.countEvents(audit.DocumentRefused), 3) // Too old, faulty, no revision.
	is.Equal(refused, 2)                              // Faulty, no revision.
}

// Guards against undetected failures of the platform: each failed read is counted, including those
// of the host list, and none while the platform answers.
func TestFailedPlatformReadsAreCounted(t *testing.T) {
	is := is.New(t)
	env := newTestEnv()
	env.publish(platformapi.SheetKey, sheetJSON(1, "a"))
	env.publish(platformapi.IndexKey, `{"revision": 1}`)
	good := env.startEntry(t, "e0")
	env.setPlatformError("e1", status.New(status.Unavailable, "", "down"))
	bad := env.startEntry(t, "e1")
	for _, key := range []string{platformapi.SheetKey, platformapi.IndexKey, HostListKey} {
		eventually(t, "failed reads of "+key+" are counted", func() bool { return bad.readFailures(key) > 1 })
		is.Equal(good.readFailures(key), 0)
	}
}

// Guards against a host list that hides entries or leads to a wrong address: it adds entries and
// does not override the settings.
func TestSettingsTakePrecedenceOverHostList(t *testing.T) {
	is := is.New(t)
	s := New(Config{Entry: "e0", Peers: []Peer{{"e1", "z", "address-of-e1"}}}, Deps{})
	s.applyHosts([]platformapi.Host{
		{ID: "e1", Kind: platformapi.KindEntry, Address: "old"},
		{ID: "e2", Kind: platformapi.KindEntry, Address: "address-of-e2", State: platformapi.HostLeaving},
		{ID: "t1", Kind: platformapi.KindTarget, Address: "a target"},
		{ID: "e0", Kind: platformapi.KindEntry, Address: "itself"},
	})
	members := s.Members()
	is.Equal(len(members), 2)
	is.Equal(members[0].Address, "address-of-e1")
	is.Equal(members[1].Address, "address-of-e2")
	is.True(members[1].Draining && !members[1].Alive && members[1].Listed)
}

// Guards against a platform that is ignored permanently after its version counter was reset, for
// example by a restart. No call fails meanwhile.
func TestPlatformVersionReset(t *testing.T) {
	env := newTestEnv()
	for i := range 5 {
		env.publish(platformapi.SheetKey, sheetJSON(i+1, "before"))
	}
	e := env.startEntry(t, "e0")
	eventually(t, "sheet revision 5 is current", func() bool { return e.revision() == 5 })
	env.mu.Lock()
	delete(env.documents, platformapi.SheetKey)
	env.mu.Unlock()
	env.publish(platformapi.SheetKey, sheetJSON(6, "after")) // Version 1 again.
	eventually(t, "sheet revision 6 is current", func() bool { return e.revision() == 6 })
}

// Guards against entries that failed together and retry together, and against an entry that retries
// before the time that the platform stated.
func TestBackoffIsRandomAndKeepsRetryAfter(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(1, 1))
	for failures := 1; failures < 100; failures++ {
		pause := backoff(rng, failures, 0, DefaultMaxBackoff)
		is.True(pause >= initialBackoff/2 && pause <= DefaultMaxBackoff)
		is.True(failures < maxBackoffDoublings+1 || pause >= DefaultMaxBackoff/2)
		stated := backoff(rng, failures, 4*time.Second, DefaultMaxBackoff)
		is.True(stated >= 4*time.Second && stated <= 6*time.Second)
	}
	first, second := backoff(rng, 9, 0, DefaultMaxBackoff), backoff(rng, 9, 0, DefaultMaxBackoff)
	is.True(first != second)
}

// Guards against lost or diverging sheets in a partition: the side that reaches the platform
// accepts new sheets, the other side keeps its sheet even in restarted entries, and both converge
// on the highest revision after the partition has healed.
func TestPartitionedSidesKeepSheetAndConverge(t *testing.T) {
	is := is.New(t)
	env, fleet := startFleet(t)
	for _, a := range fleetIDs[:3] {
		for _, b := range fleetIDs[3:] {
			env.setPartitioned(a, b, true)
		}
	}
	for _, id := range fleetIDs[3:] {
		env.setPlatformError(id, status.New(status.Unavailable, "", "platform is cut off"))
	}
	env.publish(platformapi.SheetKey, sheetJSON(2, "second"))
	waitForRevision(t, fleet[:3], 2)
	env.stopEntry(fleet[4])
	fleet[4] = env.startEntry(t, "f1", fleetIDs...)
	waitForRevision(t, fleet[3:], 1)
	for _, e := range fleet[3:] {
		is.True(e.Ready())
	}
	for _, a := range fleetIDs[:3] {
		for _, b := range fleetIDs[3:] {
			env.setPartitioned(a, b, false)
		}
	}
	waitForRevision(t, fleet, 2) // One side still cannot reach the platform.
}

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

// startFleet runs all entries on a platform with revision 1.
func startFleet(t *testing.T) (*world, []*entryUnderTest) {
	w := newWorld()
	w.publish(platformapi.SheetKey, sheetOf(1, "first"))
	w.publish(platformapi.IndexKey, `{"revision": 1}`)
	var fleet []*entryUnderTest
	for _, id := range fleetIDs {
		fleet = append(fleet, w.start(t, id, fleetIDs...))
	}
	allReach(t, fleet, 1)
	return w, fleet
}

func allReach(t *testing.T, fleet []*entryUnderTest, revision uint64) {
	t.Helper()
	for _, e := range fleet {
		eventually(t, fmt.Sprintf("entry %s has sheet %d and is ready", e.id, revision), func() bool {
			return e.revision() == revision && e.Ready()
		})
	}
}

// Guards against an entry that misses or reverts a revision because its own way
// to the platform is down, stale, over its limit or cut, or because it restarts
// meanwhile.
func TestHighestValidRevisionWinsEverywhere(t *testing.T) {
	is := is.New(t)
	w, fleet := startFleet(t)
	w.freeze("e2")
	w.freeze("f2")
	w.fail("e1", status.New(status.Unavailable, "", "platform is down"))
	w.fail("f0", status.New(status.RateLimited, "", "too many calls").WithRetryAfter(time.Second))
	w.setCut("f1", "e0", true)

	w.publish(platformapi.SheetKey, sheetOf(2, "second"))
	allReach(t, fleet, 2)

	w.publish(platformapi.SheetKey, sheetOf(9, "faulty"))
	eventually(t, "a faulty sheet is refused", func() bool { return fleet[0].recorded(audit.DocumentRefused) > 0 })
	for _, e := range fleet {
		is.Equal(e.revision(), uint64(2))
	}

	w.stop(fleet[5])
	fleet[5] = w.start(t, "f2", fleetIDs...) // Its platform still shows revision 1.
	eventually(t, "the restarted entry is ready", fleet[5].Ready)
	is.Equal(fleet[5].revision(), uint64(2))

	w.publish(platformapi.SheetKey, sheetOf(3, "third"))
	allReach(t, fleet, 3)
	w.fail("e1", nil)
	w.fail("f0", nil)
	w.publish(platformapi.SheetKey, sheetOf(4, "fourth"))
	allReach(t, fleet, 4)
}

// Guards against a starting entry that serves a stale platform's document while
// its peers have a newer one. The rounds of exchanges are too rare to help.
func TestStartAsksPeersBeforeThePlatform(t *testing.T) {
	w := newWorld()
	w.rounds = time.Hour
	w.publish(platformapi.SheetKey, sheetOf(1, "first"))
	w.publish(platformapi.IndexKey, `{"revision": 1}`)
	w.freeze("e1")
	w.publish(platformapi.SheetKey, sheetOf(5, "fifth"))
	allReach(t, []*entryUnderTest{w.start(t, "e0")}, 5)
	late := w.start(t, "e1", "e0")
	eventually(t, "the late entry is ready", late.Ready)
	for _, event := range late.trail.Events() {
		if event.Kind == audit.DocumentAccepted {
			is.New(t).Equal(event.Actor, "peer e0")
		}
	}
}

// Guards against one of two publishers that used the same revision winning
// unnoticed, and against the conflict outliving the next revision.
func TestTwoPublishersWithOneRevision(t *testing.T) {
	w, fleet := startFleet(t)
	for _, a := range fleet[:3] {
		for _, b := range fleet[3:] {
			w.setCut(a.id, b.id, true)
		}
	}
	for _, e := range fleet[3:] {
		w.fail(e.id, status.New(status.Unavailable, "", "partition"))
	}
	w.publish(platformapi.SheetKey, sheetOf(2, "one"))
	allReach(t, fleet[:3], 2)
	for _, e := range fleet[:3] {
		w.fail(e.id, status.New(status.Unavailable, "", "partition"))
	}
	w.publish(platformapi.SheetKey, sheetOf(2, "two"))
	for _, e := range fleet[3:] {
		w.fail(e.id, nil)
	}
	allReach(t, fleet[3:], 2)
	for _, a := range fleet {
		for _, b := range fleet {
			w.setCut(a.id, b.id, false)
		}
	}
	for _, e := range fleet {
		eventually(t, "the conflict is recorded at "+e.id, func() bool { return e.recorded(audit.RevisionConflict) > 0 })
	}
	for i, e := range fleet {
		is.New(t).Equal(e.Current().Sheet.Date, []string{"one", "two"}[i/3]) // Neither side changed.
	}
	w.publish(platformapi.SheetKey, sheetOf(3, "resolved"))
	allReach(t, fleet, 3)
}

// Guards against a conflict that the platform itself shows staying unnoticed, and
// against one event for each poll that meets the same refused document.
func TestRefusalsAreRecordedOnce(t *testing.T) {
	is := is.New(t)
	e := &entryUnderTest{trail: audit.New(zerolog.Nop())}
	s := New(Config{Entry: "e0"}, Deps{Audit: e.trail, ParseSheet: parseSheet, ParseIndex: parseIndex})
	for range 3 {
		for _, value := range []string{sheetOf(2, "one"), sheetOf(2, "two"), sheetOf(1, "one"), sheetOf(3, "faulty"), `{"Revision":9}`} {
			content, err := delta.New([]byte(value))
			is.NoErr(err)
			s.accept(platformapi.SheetKey, content, "platform")
		}
	}
	is.Equal(s.Current().Sheet.Date, "one")
	is.Equal(e.recorded(audit.DocumentAccepted), 1)
	is.Equal(e.recorded(audit.RevisionConflict), 1)
	is.Equal(e.recorded(audit.DocumentRefused), 3) // Too old, faulty, without a revision.
}

// Guards against a platform that fails unseen: each failed read counts, those
// of the host list included, and none counts while the platform answers.
func TestFailedReadsOfThePlatformAreCounted(t *testing.T) {
	is := is.New(t)
	w := newWorld()
	w.publish(platformapi.SheetKey, sheetOf(1, "a"))
	w.publish(platformapi.IndexKey, `{"revision": 1}`)
	good := w.start(t, "e0")
	w.fail("e1", status.New(status.Unavailable, "", "down"))
	bad := w.start(t, "e1")
	for _, key := range []string{platformapi.SheetKey, platformapi.IndexKey, HostsFailure} {
		eventually(t, "a failed read of "+key+" counts", func() bool { return bad.readFailures(key) > 1 })
		is.Equal(good.readFailures(key), 0)
	}
}

// Guards against a host list that hides entries or leads to a wrong address: it
// adds entries and does not replace what the settings say.
func TestHostListIsAHint(t *testing.T) {
	is := is.New(t)
	s := New(Config{Entry: "e0", Peers: []Peer{{"e1", "z", "address-of-e1"}}}, Deps{})
	s.takeHosts([]platformapi.Host{
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

// Guards against a platform whose version counter starts again, as after a
// restart of the platform, being ignored for good. No call fails meanwhile.
func TestPlatformCounterStartsAgain(t *testing.T) {
	w := newWorld()
	for i := range 5 {
		w.publish(platformapi.SheetKey, sheetOf(i+1, "before"))
	}
	e := w.start(t, "e0")
	eventually(t, "sheet 5 is in force", func() bool { return e.revision() == 5 })
	w.mu.Lock()
	delete(w.documents, platformapi.SheetKey)
	w.mu.Unlock()
	w.publish(platformapi.SheetKey, sheetOf(6, "after")) // Version 1 again.
	eventually(t, "sheet 6 is in force", func() bool { return e.revision() == 6 })
}

// Guards against entries that fail together and come back together, and against
// an entry that comes back before the time that the platform stated.
func TestBackoffSpreadsAndKeepsTheStatedTime(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(1, 1))
	for failures := 1; failures < 100; failures++ {
		pause := backoff(rng, failures, 0, DefaultMaxBackoff)
		is.True(pause >= firstBackoff/2 && pause <= DefaultMaxBackoff)
		is.True(failures < backoffDoublings+1 || pause >= DefaultMaxBackoff/2)
		stated := backoff(rng, failures, 4*time.Second, DefaultMaxBackoff)
		is.True(stated >= 4*time.Second && stated <= 6*time.Second)
	}
	first, second := backoff(rng, 9, 0, DefaultMaxBackoff), backoff(rng, 9, 0, DefaultMaxBackoff)
	is.True(first != second)
}

// Guards F6 and P8: the side of a partition that reaches the platform goes on
// with new sheets, the other side keeps what it has, restarted entries included,
// and both agree on the highest revision when they join.
func TestPartitionedSidesKeepTheirSheetAndJoin(t *testing.T) {
	is := is.New(t)
	w, fleet := startFleet(t)
	for _, a := range fleetIDs[:3] {
		for _, b := range fleetIDs[3:] {
			w.setCut(a, b, true)
		}
	}
	for _, id := range fleetIDs[3:] {
		w.fail(id, status.New(status.Unavailable, "", "platform is cut off"))
	}
	w.publish(platformapi.SheetKey, sheetOf(2, "second"))
	allReach(t, fleet[:3], 2)
	w.stop(fleet[4])
	fleet[4] = w.start(t, "f1", fleetIDs...)
	allReach(t, fleet[3:], 1)
	for _, e := range fleet[3:] {
		is.True(e.Ready())
	}
	for _, a := range fleetIDs[:3] {
		for _, b := range fleetIDs[3:] {
			w.setCut(a, b, false)
		}
	}
	allReach(t, fleet, 2) // The platform is still cut off from one side.
}

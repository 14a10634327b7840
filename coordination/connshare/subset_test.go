package connshare

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// connections returns the connections that each of three targets gets from a fleet in
// three zones, one target in each.
func connections(limit, entries int) map[string]int {
	return connectionsShared(limit, entries, entries)
}

// connectionsShared is connections for entries that take the fleet for the given
// number of sharers.
func connectionsShared(limit, entries, sharers int) map[string]int {
	got := make(map[string]int)
	for e := range entries {
		var group []Member
		for z := range 3 {
			group = append(group, Member{ID: fmt.Sprintf("t%d", z), Local: z == e%3})
		}
		k := SubsetSize(limit, len(group), sharers)
		for _, id := range Subset(fmt.Sprintf("entry-%d", e), group, k) {
			got[id] += SubsetShare(limit, len(group), k, sharers)
		}
	}
	return got
}

// Guards against entries that together open more connections than a target accepts: on
// a calm day of 68 entries and a cap of 66, and of 90 and 77, targets reset thousands.
func TestSubsetsStayWithinTheCap(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct{ limit, entries int }{{31, 9}, {66, 68}, {77, 90}, {66, 30}, {77, 150}} {
		for id, n := range connections(c.limit, c.entries) {
			t.Logf("cap %d, %d entries: %s gets %d", c.limit, c.entries, id, n)
			is.True(n <= c.limit)
		}
	}
}

// Guards against resets over the cap after a loss of power: targets still hold the
// connections of the processes before, which nothing has closed, when all entries
// connect anew. Where the places do not suffice even so, each entry connects to one
// target of a group only.
func TestYoungEntriesLeaveRoomForTheirPredecessors(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct{ limit, entries int }{{31, 9}, {66, 68}, {77, 90}, {66, 30}} {
		sharers := Sharers(c.entries, 2*time.Second, 2*time.Second)
		old, young := connections(c.limit, c.entries), connectionsShared(c.limit, c.entries, sharers)
		size := SubsetSize(c.limit, 3, sharers)
		least := size == 1 && SubsetShare(c.limit, 3, size, sharers) == 1
		for id := range old {
			t.Logf("cap %d, %d entries: %s holds %d and gets %d", c.limit, c.entries, id, old[id], young[id])
			is.True(old[id]+young[id] <= c.limit || least)
		}
	}
	is.Equal(Sharers(68, predecessorPeriod, predecessorPeriod), 68)
	is.Equal(Sharers(68, 2*time.Second, time.Hour), 68) // Others are older: a restart, which closes connections.
	is.Equal(Sharers(2, 0, time.Hour), startEntries)
	is.Equal(Sharers(1, 0, 0), 1)
}

// Guards against subsets that move when another target comes or goes.
func TestSubsetsChangeLittle(t *testing.T) {
	is := is.New(t)
	moved := 0
	for e := range 100 {
		entry := fmt.Sprintf("entry-%d", e)
		var group []Member
		for i := range 10 {
			group = append(group, Member{ID: fmt.Sprintf("t%d", i)})
		}
		before := Subset(entry, group, 3)
		after := Subset(entry, group[1:], 3)
		for _, id := range after {
			found := false
			for _, b := range before {
				found = found || b == id
			}
			if !found {
				moved++
			}
		}
	}
	is.True(moved <= 60) // 30 of 100 subsets had the target, each gets one other.
}

// Guards against a small fleet that gives up targets it has connections for.
func TestSmallFleetsUseAllTargets(t *testing.T) {
	is := is.New(t)
	is.Equal(SubsetSize(31, 3, 9), 3)
	is.Equal(SubsetSize(110, 22, 9), 22)
	is.Equal(SubsetSize(66, 3, 68), 2)
	is.Equal(SubsetSize(66, 3, 1000), 1)
}

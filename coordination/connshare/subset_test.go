package connshare

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// connectionsPerTarget returns the number of connections that each target gets from a fleet in
// three zones with one target each.
func connectionsPerTarget(limit, entries int) map[string]int {
	return connectionsWithEstimate(limit, entries, entries)
}

// connectionsWithEstimate is like connectionsPerTarget, but the entries divide the connection
// limit among the given number of effective entries.
func connectionsWithEstimate(limit, entries, effectiveEntries int) map[string]int {
	got := make(map[string]int)
	for e := range entries {
		var group []Target
		for z := range 3 {
			group = append(group, Target{ID: fmt.Sprintf("t%d", z), Local: z == e%3})
		}
		size := SubsetSize(limit, len(group), effectiveEntries)
		for _, id := range Subset(fmt.Sprintf("entry-%d", e), group, size) {
			got[id] += SubsetShare(limit, len(group), size, effectiveEntries)
		}
	}
	return got
}

// Guards against entries that together open more connections than a target accepts. With 68
// entries and a limit of 66, and with 90 and 77, targets reset thousands of connections under
// normal load.
func TestSubsetsStayWithinTheLimit(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct{ limit, entries int }{{31, 9}, {66, 68}, {77, 90}, {66, 30}, {77, 150}} {
		for id, n := range connectionsPerTarget(c.limit, c.entries) {
			t.Logf("limit %d, %d entries: %s gets %d", c.limit, c.entries, id, n)
			is.True(n <= c.limit)
		}
	}
}

// Guards against resets over the limit after a power loss: when all entries connect again,
// targets still hold the connections of the previous processes, which nothing has closed. Where
// the limit is still exceeded, each entry connects to only one target of a group.
func TestRestartedFleetLeavesRoomForOldConnections(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct{ limit, entries int }{{31, 9}, {66, 68}, {77, 90}, {66, 30}} {
		effectiveEntries := EffectiveEntries(c.entries, 2*time.Second, 2*time.Second)
		oldConnections, newConnections := connectionsPerTarget(c.limit, c.entries), connectionsWithEstimate(c.limit, c.entries, effectiveEntries)
		size := SubsetSize(c.limit, 3, effectiveEntries)
		minimal := size == 1 && SubsetShare(c.limit, 3, size, effectiveEntries) == 1
		for id := range oldConnections {
			t.Logf("limit %d, %d entries: %s holds %d and gets %d", c.limit, c.entries, id, oldConnections[id], newConnections[id])
			is.True(oldConnections[id]+newConnections[id] <= c.limit || minimal)
		}
	}
	is.Equal(EffectiveEntries(68, staleConnectionPeriod, staleConnectionPeriod), 68)
	is.Equal(EffectiveEntries(68, 2*time.Second, time.Hour), 68) // Others are older: a restart, which closed the previous connections.
	is.Equal(EffectiveEntries(2, 0, time.Hour), minStartupEntries)
	is.Equal(EffectiveEntries(1, 0, 0), 1)
}

// Guards against subsets that change when another target is added or removed.
func TestSubsetsChangeLittle(t *testing.T) {
	is := is.New(t)
	moved := 0
	for e := range 100 {
		entry := fmt.Sprintf("entry-%d", e)
		var group []Target
		for i := range 10 {
			group = append(group, Target{ID: fmt.Sprintf("t%d", i)})
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
	is.True(moved <= 60) // About 30 of 100 subsets hold the target, and each replaces it by one other.
}

// Guards against a small fleet that uses only some of the targets although the limits suffice.
func TestSmallFleetsUseAllTargets(t *testing.T) {
	is := is.New(t)
	is.Equal(SubsetSize(31, 3, 9), 3)
	is.Equal(SubsetSize(110, 22, 9), 22)
	is.Equal(SubsetSize(66, 3, 68), 2)
	is.Equal(SubsetSize(66, 3, 1000), 1)
}

package relay

import (
	"slices"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/balsamstall/balsamstall/internal/engine"
	"github.com/balsamstall/balsamstall/protocol/sheet"
	"github.com/balsamstall/balsamstall/protocol/targetlist"
)

// Guards against new requests that are offered targets of an evacuated zone, connections that are shared with
// them, slots that count although nobody may use them, and targets that the catalogue forgets meanwhile.
func TestPlanLeavesOutEvacuatedZones(t *testing.T) {
	is := is.New(t)
	s := &sheet.Sheet{Groups: []sheet.Group{{Name: "g", MaxConnections: 8}}, Services: []sheet.Service{{Name: "s",
		Relay: &sheet.Relay{Host: "h", PathPrefix: "/", Shards: []string{"g"}}}}}
	list := &targetlist.Document{Revision: 5, Evacuated: []string{"y", "z"}}
	for _, id := range []string{"x1", "y1", "x2", "z1"} {
		list.Targets = append(list.Targets, targetlist.Target{ID: id, Group: "g", Zone: id[:1], Slots: 3, Address: "127.0.0.1:1", Leaving: id == "x2"})
	}
	p := newPlan(s, list, engine.Identity{Entry: "e", Zone: "y"}, fleetState{entries: 1, homes: 1, zones: 1, isHome: true, effectiveEntries: 1}, make(map[string]*atomic.Uint64))
	is.Equal(p.groups["g"], []string{"x1"})
	is.Equal(p.subsets["g"], []string{"x1"})
	is.Equal(p.routes["h"][0].layout.Shards, [][]string{{"x1"}})
	is.Equal(p.routes["h"][0].allTargets, [][]string{{"x1"}})
	for _, target := range p.connectionTargets() {
		is.Equal(target.MaxConnections > 0, target.ID == "x1")
	}
	c := p.catalogue()
	is.Equal(c.Groups[0].Slots, 3)
	is.Equal(len(c.Targets), 4)
	for _, target := range c.Targets {
		is.Equal(target.Evacuated, slices.Contains(list.Evacuated, target.Zone))
	}
	is.Equal(c.EvacuatedZones, list.Evacuated)
	is.Equal(c.ListRevision, list.Revision)
}

package engine

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/balsamstall/balsamstall/protocol/status"
	"github.com/balsamstall/balsamstall/state/audit"
)

type noConnections struct{}

func (noConnections) Reachable(context.Context, string) bool { return true }
func (noConnections) DropIdle()                              {}

// evacuationCatalogue lists the targets, each in the zone that its ID names, with the evacuated zones.
func evacuationCatalogue(targets string, evacuated ...string) *Catalogue {
	c := &Catalogue{Entries: 1, Homes: 1, EvacuatedZones: evacuated, ListRevision: 7, Services: []CatalogueService{{Name: "s", MaxConcurrency: 9, MaxQueue: 9, Shards: 1}}}
	for _, zone := range targets {
		t := CatalogueTarget{ID: "target-" + string(zone), Started: 1, Zone: string(zone), Slots: 1}
		for _, e := range evacuated {
			t.Evacuated = t.Evacuated || e == t.Zone
		}
		c.Targets = append(c.Targets, t)
	}
	return c
}

func newEvacuationEngine(policyOn bool) *Engine {
	return New(Config{Self: Identity{Entry: "e", Zone: "a", Start: time.Now().Add(-time.Hour)}, Log: zerolog.Nop(), Targets: noConnections{},
		FingerprintKey: []byte("key"), PolicyOn: policyOn, Metrics: &Metrics{}, Audit: audit.New(zerolog.Nop())})
}

// Guards against an attempt that waited for its connection and is sent to a target whose zone has been evacuated
// meanwhile, also if the target is not listed any more, against a request of an earlier plan that chooses such a
// target, and against a block that outlives the evacuation.
func TestEvacuatedTargetIsBlockedAtSendTime(t *testing.T) {
	for name, policyOn := range map[string]bool{"on": true, "off": false} {
		t.Run("policies "+name, func(t *testing.T) {
			is := is.New(t)
			e := newEvacuationEngine(policyOn)
			targets := []string{"target-a", "target-b"}
			req := &Request{Service: "s"}
			e.SetCatalogue(evacuationCatalogue("ab", "unknown"))
			for _, id := range targets {
				is.NoErr(e.MaySend(id))
			}
			for _, c := range []*Catalogue{evacuationCatalogue("ab", "b"), evacuationCatalogue("a", "b"), evacuationCatalogue("a", "b", "c")} {
				e.SetCatalogue(c)
				is.NoErr(e.MaySend("target-a"))
				err := e.MaySend("target-b")
				is.True(err != nil)
				is.Equal(status.From(err).Outcome, status.NotRun)
				is.Equal(status.CodeOf(err), status.NoReplica) // It does not count against the target.
				is.True(!e.usable("target-b"))
				for range 20 {
					id, _, ok := e.policy.pick(req, 0, targets, nil, 0)
					is.True(ok)
					is.Equal(id, "target-a")
				}
			}
			is.Equal(e.metrics.EvacuationMoved.Value(), int64(3))
			is.Equal(e.metrics.EvacuatedZones.Value(), int64(2))
			e.SetCatalogue(evacuationCatalogue("ab", "a", "b"))
			_, _, ok := e.policy.pick(req, 0, targets, nil, 0)
			is.True(!ok)
			e.SetCatalogue(evacuationCatalogue("ab"))
			is.NoErr(e.MaySend("target-b"))
			is.Equal(e.metrics.EvacuatedZones.Value(), int64(0))
			is.Equal(len(e.audit.Events()), 8) // The start and the end of 4 evacuations.
		})
	}
}

// Guards against targets that get their full share at once after an evacuation, and against a list that changes
// something else and makes them cold again.
func TestTargetsReturnColdFromAnEvacuation(t *testing.T) {
	is := is.New(t)
	e := newEvacuationEngine(true)
	policy := e.policy.(*loadPolicy)
	coldSince := func(id string) time.Duration {
		record := policy.targets.Get(id)
		defer record.Unlock()
		return record.Lock().coldSince
	}
	e.SetCatalogue(evacuationCatalogue("ab", "b"))
	warm := coldSince("target-a")
	is.Equal(policy.ramp.Weight(e.self.Clock(), warm), 1.0)
	returned := e.self.Clock()
	e.SetCatalogue(evacuationCatalogue("ab"))
	cold := coldSince("target-b")
	is.True(cold >= returned)
	is.Equal(policy.ramp.Weight(cold, cold), policy.ramp.MinWeight)
	e.SetCatalogue(evacuationCatalogue("abc"))
	is.Equal(coldSince("target-b"), cold)
	is.Equal(coldSince("target-a"), warm)
}

// Guards against an entry that counts as attached because it reaches targets that it must not use.
func TestEvacuatedTargetsDoNotAttachAnEntry(t *testing.T) {
	is := is.New(t)
	e := newEvacuationEngine(true)
	e.SetCatalogue(evacuationCatalogue("abc", "a", "c"))
	is.Equal(e.listedTargets(), map[string]bool{"target-b": true})
}

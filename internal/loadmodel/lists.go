package loadmodel

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/balsamstall/balsamstall/coordination/restore"
	"github.com/balsamstall/balsamstall/internal/engine"
	"github.com/balsamstall/balsamstall/protocol/ids"
	"github.com/balsamstall/balsamstall/protocol/index"
	"github.com/balsamstall/balsamstall/protocol/targetlist"
)

const (
	// departureLag is the time after its end at which a target is removed from the list.
	departureLag = 100 * time.Millisecond
	// registeredAfter is the time after a restore at which the targets that the backup lacks have
	// registered again, and expiredAfter the time at which the registrations of ended ones expire.
	registeredAfter = 1800 * time.Millisecond
	expiredAfter    = 3600 * time.Millisecond
	// restoreCheckInterval is the interval at which entries apply their lists again after a restore.
	restoreCheckInterval = 200 * time.Millisecond
)

// entryList is the list of targets of one entry.
type entryList struct {
	reconciler *restore.Reconciler
	snapshot   atomic.Pointer[index.Snapshot]
	revision   uint64
}

// simulateRestore publishes the changes of the list of targets around Load.RestoredAt to all entries.
func (s *simulation) simulateRestore() {
	for until := s.load.RestoredAt + expiredAfter + time.Second; s.now() < until; time.Sleep(restoreCheckInterval) {
		era := uint64(1)
		if s.now() >= s.load.RestoredAt {
			era = 2
		}
		list := s.publishedList()
		for i := range s.engines {
			s.setList(i, era, list)
		}
	}
}

// publishedList returns the list that the platform publishes now.
func (s *simulation) publishedList() []targetlist.Target {
	now := s.now()
	restored := now >= s.load.RestoredAt
	return slices.DeleteFunc(slices.Clone(s.targets), func(t targetlist.Target) bool {
		target := s.result.Targets[t.ID]
		if restored && target.StartedAfterBackup {
			return now < s.load.RestoredAt+registeredAfter
		}
		if target.EndsAt == 0 || now < target.EndsAt+departureLag {
			return false
		}
		return !restored || now >= s.load.RestoredAt+expiredAfter
	})
}

// setList makes an entry use a list of targets, which it reconciles with the one before.
func (s *simulation) setList(entry int, era uint64, targets []targetlist.Target) {
	e, list := s.engines[entry], s.lists[entry]
	list.revision++
	doc := &targetlist.Document{Era: era, Revision: list.revision, Targets: targets}
	if !s.load.NoReconciliation {
		result := list.reconciler.Apply(e.Self().Clock(), doc)
		for _, departed := range result.Departed {
			e.MergeLeavingReport("", departed)
		}
		doc = result.Targets
	}
	snapshot := &index.Snapshot{Snapshot: ids.Snapshot{IndexVersion: 1, ShardMapEpoch: 1}, Shards: make([][]string, len(s.groups))}
	catalogue := s.catalogue()
	for _, t := range doc.Targets {
		shard := slices.Index(s.groups, t.Group)
		snapshot.Shards[shard] = append(snapshot.Shards[shard], t.ID)
		catalogue.Targets = append(catalogue.Targets, engine.CatalogueTarget{ID: t.ID, Started: t.Started, Zone: t.Zone, Slots: t.Slots})
	}
	e.SetCatalogue(catalogue)
	list.snapshot.Store(snapshot)
}

// catalogue returns the catalogue of the load without targets.
func (s *simulation) catalogue() *engine.Catalogue {
	l := s.load
	c := &engine.Catalogue{Entries: l.Entries, Homes: l.Entries, Repeats: fleetRepeats}
	for _, group := range s.groups {
		c.Groups = append(c.Groups, engine.CatalogueGroup{Name: group, RepeatMinimumFraction: 1 / float64(l.Entries), Slots: targetSlots * l.Replicas})
	}
	for _, k := range l.Kinds {
		c.Services = append(c.Services, engine.CatalogueService{Name: k.Name, Priority: 1, MaxConcurrency: unlimited, MaxQueue: unlimited, Shards: l.Shards})
	}
	return c
}

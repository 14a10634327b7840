package configsync

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/balsamstall/balsamstall/protocol/published"
	"github.com/balsamstall/balsamstall/protocol/status"
	"github.com/balsamstall/balsamstall/protocol/targetlist"
)

const (
	// modelMaxAge is the maximum age of a stale page.
	modelMaxAge = 6 * time.Second
	// modelIDs is the number of targets that come and go.
	modelIDs = 8
	// modelZones is the number of zones that are evacuated now and then.
	modelZones = 3
)

// modelStore is a store with its true history. Every call fails or is stale as the schedule draws it.
type modelStore struct {
	rng *rand.Rand
	// zoneRng draws all that concerns evacuations, so that the kept seeds keep their other changes.
	zoneRng *rand.Rand
	now     time.Time
	// eras holds the changes of each era since the first one; the change at index i has revision i+1.
	eras []modelEra
	// oldest is the first revision of the current era after which a watch may start.
	oldest uint64
	// pageSize is the number of items in a page.
	pageSize int
	stable   bool
	silent   bool
}

type modelEra struct {
	changes []modelChange
	// began is the time from which the store has been in the era.
	began time.Time
}

type modelChange struct {
	published.TargetChange
	// evacuation is a change without an ID. Its zone is empty if it is of other data.
	evacuation published.EvacuationChange
	at         time.Time
}

func (s *modelStore) era() uint64             { return uint64(len(s.eras)) }
func (s *modelStore) current() *modelEra      { return &s.eras[len(s.eras)-1] }
func (s *modelStore) revision() uint64        { return uint64(len(s.current().changes)) }
func (s *modelStore) chance(percent int) bool { return s.chanceOf(s.rng, percent) }
func (s *modelStore) chanceOf(rng *rand.Rand, percent int) bool {
	return !s.stable && rng.IntN(100) < percent
}

// change lets a target start, report a new state or leave, lets an evacuation begin, be repeated or end, or
// changes other data of the store.
func (s *modelStore) change() {
	id := fmt.Sprintf("i-%d", s.rng.IntN(modelIDs))
	c := modelChange{TargetChange: published.TargetChange{ID: id, Revision: s.revision() + 1}, at: s.now}
	switch s.rng.IntN(5) {
	case 0:
		c.ID = "" // Data that is not a registration.
		if s.zoneRng.IntN(3) > 0 {
			c.evacuation = published.EvacuationChange{Zone: fmt.Sprintf("z%d", s.zoneRng.IntN(modelZones)), Revision: c.Revision, Evacuated: s.zoneRng.IntN(2) == 0}
		}
	case 1: // Removed.
	default:
		c.Target = &targetlist.Target{ID: id, Group: "g", Address: "10.0.0.1:80", Zone: "z", Slots: 1 + s.rng.IntN(2), Leaving: s.rng.IntN(2) == 0}
	}
	era := s.current()
	era.changes = append(era.changes, c)
}

// restore replaces the data with that of an earlier revision and begins a new era.
func (s *modelStore) restore() {
	kept := slices.Clone(s.current().changes[:s.rng.Uint64N(s.revision())+1])
	s.eras = append(s.eras, modelEra{changes: kept, began: s.now})
	s.oldest = 0
}

// targetsAt returns the registrations of an era as of a revision.
func (s *modelStore) targetsAt(era, revision uint64) map[string]targetlist.Target {
	targets := make(map[string]targetlist.Target)
	for _, c := range s.eras[era-1].changes[:revision] {
		if c.Target == nil {
			delete(targets, c.ID)
		} else {
			targets[c.ID] = *c.Target
		}
	}
	return targets
}

// evacuatedAt returns the evacuated zones of an era as of a revision.
func (s *modelStore) evacuatedAt(era, revision uint64) map[string]bool {
	zones := make(map[string]bool)
	for _, c := range s.eras[era-1].changes[:revision] {
		if c.evacuation.Evacuated {
			zones[c.evacuation.Zone] = true
		} else {
			delete(zones, c.evacuation.Zone)
		}
	}
	return zones
}

// asOf returns the era and the revision that a read shows.
func (s *modelStore) asOf(rng *rand.Rand, stale bool) (era, revision uint64) {
	if !stale || !s.chanceOf(rng, 60) {
		return s.era(), s.revision()
	}
	t := s.now.Add(-time.Duration(rng.Int64N(int64(modelMaxAge))))
	era = s.era()
	for era > 1 && s.eras[era-1].began.After(t) {
		era--
	}
	changes := s.eras[era-1].changes
	for i, c := range changes {
		if c.at.After(t) {
			return era, max(uint64(i), 1)
		}
	}
	return era, uint64(len(changes))
}

var errModelStore = status.New(status.Unavailable, "", "store is not available")

// modelSource is the connection of an entry to the store.
type modelSource struct {
	*modelStore
	cut bool
	// during is called while the store handles a watch that may wait.
	during func()
}

func (s *modelSource) Read(_ context.Context, stale bool) (published.State, error) {
	if s.cut || s.chance(5) {
		return published.State{}, errModelStore
	}
	era, at := s.asOf(s.rng, stale)
	zonesEra, zonesAt := s.asOf(s.zoneRng, stale)
	if zonesEra != era {
		return published.State{Era: max(era, zonesEra)}, status.New(status.RevisionTooOld, "", "restored between two pages")
	}
	st := published.State{Era: era, ResumeRevision: min(at, zonesAt), Sheet: published.Sheet{Revision: at}, Targets: make(map[string]targetlist.Target),
		Evacuated: s.evacuatedAt(era, zonesAt), EvacuatedPages: []published.Page{{Revision: zonesAt}}}
	for after, more := "", true; more; {
		if s.chance(5) {
			return published.State{Era: era}, errModelStore
		}
		if s.chance(20) {
			s.change()
		}
		pageEra, pageAt := s.asOf(s.rng, stale)
		if pageEra != era {
			return published.State{Era: max(era, pageEra)}, status.New(status.RevisionTooOld, "", "restored between two pages")
		}
		st.ResumeRevision = min(st.ResumeRevision, pageAt)
		st.Pages = append(st.Pages, published.Page{After: after, Revision: pageAt})
		targets := s.targetsAt(era, pageAt)
		rest := slices.DeleteFunc(slices.Sorted(maps.Keys(targets)), func(id string) bool { return id <= after })
		more = len(rest) > s.pageSize
		for _, id := range rest[:min(len(rest), s.pageSize)] {
			st.Targets[id], after = targets[id], id
		}
	}
	return st, nil
}

func (s *modelSource) Watch(_ context.Context, after uint64, wait time.Duration) (published.Changes, error) {
	s.now = s.now.Add(wait)
	if wait > 0 && s.during != nil && s.chance(10) {
		s.during()
	}
	if s.cut || s.chance(5) {
		return published.Changes{}, errModelStore
	}
	changes := published.Changes{Era: s.era(), ResumeRevision: after}
	if after < s.oldest || after > s.revision() || s.chance(3) {
		return changes, status.New(status.RevisionTooOld, "", "no history after %d", after)
	}
	if s.silent {
		return changes, nil
	}
	changes.ResumeRevision = s.revision()
	if s.chance(30) { // An answer in parts.
		changes.ResumeRevision = after + s.rng.Uint64N(s.revision()-after+1)
	}
	for _, c := range s.current().changes[after:changes.ResumeRevision] {
		changes.Changed = true
		if c.ID != "" {
			changes.Targets = append(changes.Targets, c.TargetChange)
		}
		if c.evacuation.Zone != "" {
			changes.Evacuations = append(changes.Evacuations, c.evacuation)
		}
	}
	return changes, nil
}

// matches reports whether a list has the registrations and the evacuations of the store as of a revision.
func (s *modelStore) matches(list *targetlist.Document, era, revision uint64) bool {
	want := s.targetsAt(era, revision)
	for _, t := range list.Targets {
		if want[t.ID] != t {
			return false
		}
	}
	return len(list.Targets) == len(want) && slices.Equal(list.Evacuated, slices.Sorted(maps.Keys(s.evacuatedAt(era, revision))))
}

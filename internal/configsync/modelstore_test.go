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
)

// modelStore is a store with its true history. Every call fails or is stale as the schedule draws it.
type modelStore struct {
	rng *rand.Rand
	now time.Time
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
	at time.Time
}

func (s *modelStore) era() uint64        { return uint64(len(s.eras)) }
func (s *modelStore) current() *modelEra { return &s.eras[len(s.eras)-1] }
func (s *modelStore) revision() uint64   { return uint64(len(s.current().changes)) }
func (s *modelStore) chance(percent int) bool {
	return !s.stable && s.rng.IntN(100) < percent
}

// change lets a target start, report a new state or leave, or changes other data of the store.
func (s *modelStore) change() {
	id := fmt.Sprintf("i-%d", s.rng.IntN(modelIDs))
	c := modelChange{published.TargetChange{ID: id, Revision: s.revision() + 1}, s.now}
	switch s.rng.IntN(5) {
	case 0:
		c.ID = "" // Data that is not a registration.
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

// asOf returns the era and the revision that a read shows.
func (s *modelStore) asOf(stale bool) (era, revision uint64) {
	if !stale || !s.chance(60) {
		return s.era(), s.revision()
	}
	t := s.now.Add(-time.Duration(s.rng.Int64N(int64(modelMaxAge))))
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
	era, at := s.asOf(stale)
	st := published.State{Era: era, ResumeRevision: at, Sheet: published.Sheet{Revision: at}, Targets: make(map[string]targetlist.Target)}
	for after, more := "", true; more; {
		if s.chance(5) {
			return published.State{Era: era}, errModelStore
		}
		if s.chance(20) {
			s.change()
		}
		pageEra, pageAt := s.asOf(stale)
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
	}
	return changes, nil
}

// matches reports whether a list has the registrations of the store as of a revision.
func (s *modelStore) matches(list *targetlist.Document, era, revision uint64) bool {
	want := s.targetsAt(era, revision)
	for _, t := range list.Targets {
		if want[t.ID] != t {
			return false
		}
	}
	return len(list.Targets) == len(want)
}

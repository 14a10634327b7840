package feed

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/balsamstall/balsamstall/coordination/fuzzyread"
	"github.com/balsamstall/balsamstall/protocol/published"
	"github.com/balsamstall/balsamstall/protocol/targetlist"
)

// snapshot is the state of a source. Copies share targets and evacuated, which are replaced and not modified.
type snapshot struct {
	// era is the era that the revisions belong to; see published.State.
	era     uint64
	sheet   published.Sheet
	targets map[string]targetlist.Target
	// evacuated holds the evacuated zones.
	evacuated map[string]bool
	// coverage tells which changes of the registrations targets includes, and evacuatedCoverage which changes of
	// the evacuations evacuated includes. Both have the same Revision.
	coverage, evacuatedCoverage fuzzyread.Coverage
	// targetsRevision is the revision of the target list: targets and evacuated did not change since.
	targetsRevision uint64
	// readAt is the time at which the list of that revision was read: that of the request for its oldest
	// page, or of the last answer that changed it.
	readAt time.Time
}

// newSnapshot returns the state of a read that was requested at the given time. It is not complete unless
// all pages have the same revision.
func newSnapshot(read published.State, requested time.Time) snapshot {
	return snapshot{
		era:               read.Era,
		sheet:             read.Sheet,
		targets:           read.Targets,
		evacuated:         read.Evacuated,
		coverage:          fuzzyread.New(read.Pages, read.ResumeRevision),
		evacuatedCoverage: fuzzyread.New(read.EvacuatedPages, read.ResumeRevision),
		targetsRevision:   read.ResumeRevision,
		readAt:            requested,
	}
}

// complete reports whether the snapshot shows the source as of one revision.
func (s *snapshot) complete() bool { return s.coverage.Complete() && s.evacuatedCoverage.Complete() }

// pageRevisions returns the lowest and the highest revision of the pages of a read that is not complete.
func (s *snapshot) pageRevisions() (oldest, newest uint64) {
	return min(s.coverage.Oldest(), s.evacuatedCoverage.Oldest()), max(s.coverage.Newest(), s.evacuatedCoverage.Newest())
}

// apply applies the changes that the snapshot does not include yet. now is the time at which they were read.
func (s *snapshot) apply(changes published.Changes, now time.Time) {
	if changes.Sheet != nil && changes.Sheet.Revision > s.sheet.Revision {
		s.sheet = *changes.Sheet
	}
	// Only at the revision that completes a read are all pages equally old.
	changed := !s.complete()
	if len(changes.Targets) > 0 {
		s.targets = maps.Clone(s.targets)
	}
	for _, c := range changes.Targets {
		if s.coverage.Includes(c.ID, c.Revision) {
			continue
		}
		// Changes that cancel each other out count too: a peer may have published the list between them.
		was, listed := s.targets[c.ID]
		switch {
		case c.Target == nil && listed:
			delete(s.targets, c.ID)
			changed = true
		case c.Target != nil && (!listed || was != *c.Target):
			s.targets[c.ID] = *c.Target
			changed = true
		}
	}
	if s.applyEvacuations(changes.Evacuations) {
		changed = true
	}
	s.coverage.Advance(changes.ResumeRevision)
	s.evacuatedCoverage.Advance(changes.ResumeRevision)
	if changed {
		s.targetsRevision, s.readAt = s.coverage.Revision(), now
	}
}

// applyEvacuations applies the changes that evacuated does not include yet, and reports whether there were any.
func (s *snapshot) applyEvacuations(changes []published.EvacuationChange) (changed bool) {
	for _, c := range changes {
		if s.evacuatedCoverage.Includes(c.Key(), c.Revision) || s.evacuated[c.Zone] == c.Evacuated {
			continue
		}
		next := make(map[string]bool, len(s.evacuated)+1)
		maps.Copy(next, s.evacuated)
		if c.Evacuated {
			next[c.Zone] = true
		} else {
			delete(next, c.Zone)
		}
		s.evacuated, changed = next, true
	}
	return changed
}

// keepFrom takes over from an earlier snapshot of the same era what has not changed since: the revision of
// the list, so that peers do not fetch it again, and a sheet that the read of this one precedes.
func (s *snapshot) keepFrom(earlier *snapshot) {
	if maps.Equal(s.targets, earlier.targets) && maps.Equal(s.evacuated, earlier.evacuated) {
		s.targetsRevision, s.readAt = earlier.targetsRevision, earlier.readAt
	}
	if s.sheet.Revision < earlier.sheet.Revision {
		s.sheet = earlier.sheet
	}
}

// matches reports whether the snapshot has exactly the targets and evacuated zones of a list, in any order.
func (s *snapshot) matches(list *targetlist.Document) bool {
	if len(list.Targets) != len(s.targets) || len(list.Evacuated) != len(s.evacuated) {
		return false
	}
	for _, t := range list.Targets {
		if own, ok := s.targets[cmp.Or(t.Name, t.ID)]; !ok || own != t {
			return false
		}
	}
	for _, zone := range list.Evacuated {
		if !s.evacuated[zone] {
			return false
		}
	}
	return true
}

// targetList returns the targets, sorted by id, and the evacuated zones as a document.
func (s *snapshot) targetList() targetlist.Document {
	d := targetlist.Document{Era: s.era, Revision: s.targetsRevision, Targets: make([]targetlist.Target, 0, len(s.targets))}
	for _, t := range s.targets {
		d.Targets = append(d.Targets, t)
	}
	slices.SortFunc(d.Targets, func(a, b targetlist.Target) int { return cmp.Compare(a.ID, b.ID) })
	d.Evacuated = slices.Sorted(maps.Keys(s.evacuated))
	return d
}

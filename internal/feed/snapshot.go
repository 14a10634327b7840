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

// snapshot is the state of a source. Copies share targets, which is replaced and not modified.
type snapshot struct {
	// era is the era that the revisions belong to; see published.State.
	era     uint64
	sheet   published.Sheet
	targets map[string]targetlist.Target
	// coverage tells which changes of the registrations targets includes.
	coverage fuzzyread.Coverage
	// targetsRevision is the revision of the target list: targets did not change since.
	targetsRevision uint64
	// readAt is the time at which the list of that revision was read: that of the request for its oldest
	// page, or of the last answer that changed it.
	readAt time.Time
}

// newSnapshot returns the state of a read that was requested at the given time. It is not complete unless
// all pages have the same revision.
func newSnapshot(read published.State, requested time.Time) snapshot {
	s := snapshot{era: read.Era, sheet: read.Sheet, targets: read.Targets, coverage: fuzzyread.New(read.Pages, read.ResumeRevision), readAt: requested}
	s.targetsRevision = read.ResumeRevision
	return s
}

// apply applies the changes that targets does not include yet. now is the time at which they were read.
func (s *snapshot) apply(changes published.Changes, now time.Time) {
	if changes.Sheet != nil && changes.Sheet.Revision > s.sheet.Revision {
		s.sheet = *changes.Sheet
	}
	// Only at the revision that completes a read are all pages equally old.
	changed := !s.coverage.Complete()
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
	s.coverage.Advance(changes.ResumeRevision)
	if changed {
		s.targetsRevision, s.readAt = s.coverage.Revision(), now
	}
}

// keepFrom takes over from an earlier snapshot of the same era what has not changed since: the revision of
// the list, so that peers do not fetch it again, and a sheet that the read of this one precedes.
func (s *snapshot) keepFrom(earlier *snapshot) {
	if maps.Equal(s.targets, earlier.targets) {
		s.targetsRevision, s.readAt = earlier.targetsRevision, earlier.readAt
	}
	if s.sheet.Revision < earlier.sheet.Revision {
		s.sheet = earlier.sheet
	}
}

// hasTargets reports whether the snapshot has exactly the given targets, in any order.
func (s *snapshot) hasTargets(targets []targetlist.Target) bool {
	if len(targets) != len(s.targets) {
		return false
	}
	for _, t := range targets {
		if own, ok := s.targets[t.ID]; !ok || own != t {
			return false
		}
	}
	return true
}

// targetList returns the targets as a document, sorted by id.
func (s *snapshot) targetList() targetlist.Document {
	d := targetlist.Document{Era: s.era, Revision: s.targetsRevision, Targets: make([]targetlist.Target, 0, len(s.targets))}
	for _, t := range s.targets {
		d.Targets = append(d.Targets, t)
	}
	slices.SortFunc(d.Targets, func(a, b targetlist.Target) int { return cmp.Compare(a.ID, b.ID) })
	return d
}

package configsync

import (
	"time"

	"github.com/balsamstall/balsamstall/coordination/delta"
	"github.com/balsamstall/balsamstall/coordination/revision"
	"github.com/balsamstall/balsamstall/internal/configsync/documents"
	"github.com/balsamstall/balsamstall/protocol/platformapi"
	"github.com/balsamstall/balsamstall/protocol/targetlist"
)

// ListFault is a way in which a target list contradicts an earlier one of the same era. Settled lists do so
// only if a target without a start time starts again under its id.
type ListFault string

// List faults.
const (
	// ReplacedList means that a list was replaced by another one with the same revision.
	ReplacedList ListFault = "same_revision"
	// LostChange means that a list shows a leaving target as not leaving.
	LostChange ListFault = "lost_change"
)

// canSettle reports whether documents of the platform with the given key are settled.
func (s *Syncer) canSettle(key string) bool {
	return s.snapshots != nil && key == platformapi.TargetsKey
}

// correctTargets compares the target list of a peer with the platform's registrations, and replaces it if it
// differs. The registrations may have changed and changed back since the list, in which case the platform's
// list keeps its lower revision. Or the peer has not settled the list: builds up to 1bf871e settle none, and
// may date a list by the newest of its pages.
func (s *Syncer) correctTargets(r *platformReader) {
	current := s.store.Current(r.key)
	if !s.canSettle(r.key) || current == nil || current.Version == r.compared {
		return
	}
	doc, known := s.snapshots.Correct(current.Value.(*targetlist.Document))
	switch {
	case !known:
		return
	case len(doc.Value) == 0:
		s.store.Settle(r.key, current.Version)
		r.compared = current.Version
		return
	}
	content, err := delta.New(doc.Value)
	if err != nil {
		s.refuseData(r.key, doc.Value, platformActor, err)
		return
	}
	r.compared = current.Version
	if s.accept(r.key, content, origin{actor: platformActor, readAt: doc.ReadAt, settled: true}) == revision.Accept {
		r.compared = versionOf(content)
	}
}

// reportListFaults reports how a target list that was accepted contradicts the one before.
func (s *Syncer) reportListFaults(before *documents.Document, version revision.Version, value any, from origin) {
	list, ok := value.(*targetlist.Document)
	if !ok || before == nil || before.Version.Era != version.Era {
		return
	}
	if before.Version.Revision == version.Revision {
		s.reportListFault(ReplacedList, before, version, from, 0)
	}
	if lost := before.Value.(*targetlist.Document).CountReturned(list); lost > 0 {
		s.reportListFault(LostChange, before, version, from, lost)
	}
}

func (s *Syncer) reportListFault(fault ListFault, before *documents.Document, version revision.Version, from origin, targets int) {
	s.deps.Log.Warn().Str("fault", string(fault)).Uint64("era", version.Era).Uint64("revision", version.Revision).
		Uint64("previous_revision", before.Version.Revision).Str("source", from.actor).Str("previous_source", before.Source).
		Dur("oldest_part_age", time.Since(from.readAt)).Dur("previous_oldest_part_age", time.Since(before.ReadAt)).
		Int("targets", targets).Msg("target list contradicts the one before")
	if s.deps.OnListFault != nil {
		s.deps.OnListFault(fault)
	}
}

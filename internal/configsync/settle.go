package configsync

import (
	"context"
	"time"

	"github.com/balsamstall/balsamstall/protocol/platformapi"
	"github.com/balsamstall/balsamstall/protocol/targetlist"
)

// exceedsSettleOutage reports whether this entry saw an outage of the platform that was long enough
// for registrations to expire.
func (s *Syncer) exceedsSettleOutage(r *platformReader) bool {
	return outageDuration(r) > s.cfg.SettleOutage
}

// expiredFraction is the fraction of the targets above which a simultaneous disappearance is
// attributed to expired registrations. Planned maintenance removes a smaller fraction.
const expiredFraction = 0.25

// registrationsExpired reports whether so many targets of the current list are missing from doc
// that their registrations must have expired during an outage. This covers an entry that became a
// watcher after the outage and did not see it itself.
func (s *Syncer) registrationsExpired(doc platformapi.Document) bool {
	current := s.store.Current(s.cfg.SettleKey)
	if current == nil {
		return false
	}
	next, err := s.deps.ParseTargets(doc.Value)
	if err != nil {
		return false // The document is refused later.
	}
	removed, total := current.Value.(*targetlist.Document).CountRemoved(next)
	return float64(removed) > expiredFraction*float64(total)
}

// outageDuration returns the duration of the outage that this entry has seen, or zero if none.
func outageDuration(r *platformReader) time.Duration {
	if r.failingSince.IsZero() {
		return 0
	}
	return time.Since(r.failingSince)
}

// settle waits for registrations that expired during an outage to return. It returns the document
// after the wait, and whether that differs from the one that r last read.
func (s *Syncer) settle(ctx context.Context, r *platformReader, doc platformapi.Document, changed bool) (platformapi.Document, bool, error) {
	s.deps.Log.Info().Str("key", r.key).Dur("outage", outageDuration(r)).Dur("wait", s.cfg.SettleTime).
		Msg("platform was unavailable; waiting for expired registrations to return")
	sleep(ctx, s.cfg.SettleTime)
	after := r.lastVersion
	if changed {
		after = doc.Version
	}
	later, newer, err := s.deps.Platform.Watch(ctx, r.key, after, 0)
	if err != nil || !newer {
		return doc, changed, err
	}
	return later, true, nil
}

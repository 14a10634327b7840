package configsync

import (
	"context"
	"time"

	"github.com/balsamstall/balsamstall/protocol/platformapi"
	"github.com/balsamstall/balsamstall/protocol/targetlist"
)

// outage reports whether the platform was away long enough for entries to lapse.
func (s *Syncer) outage(f *follower) bool {
	return outageOf(f) > s.cfg.SettleOutage
}

// lapsedPart is the part of the targets that vanish at once only when their
// registrations lapsed. Planned work takes fewer away.
const lapsedPart = 0.25

// lapsed reports whether a list lacks so many targets of the one in force that their
// registrations must have lapsed while the platform was away. An entry that takes the
// watcher role over after an outage has not seen it.
func (s *Syncer) lapsed(doc platformapi.Document) bool {
	current := s.store.Current(s.cfg.SettleKey)
	if current == nil {
		return false
	}
	next, err := s.deps.ParseTargets(doc.Value)
	if err != nil {
		return false // It is refused later.
	}
	gone, total := current.Value.(*targetlist.Document).CountRemoved(next)
	return float64(gone) > lapsedPart*float64(total)
}

// outageOf returns the length of an outage that this entry saw, zero for none.
func outageOf(f *follower) time.Duration {
	if f.failing.IsZero() {
		return 0
	}
	return time.Since(f.failing)
}

// settle waits until the entries that lapsed during an outage are back, and returns
// the document of then.
func (s *Syncer) settle(ctx context.Context, f *follower, doc platformapi.Document, changed bool) (platformapi.Document, bool, error) {
	s.deps.Log.Info().Str("key", f.key).Dur("outage", outageOf(f)).Dur("wait", s.cfg.SettleTime).
		Msg("the platform was away; waiting for entries that lapsed")
	sleep(ctx, s.cfg.SettleTime)
	after := f.after
	if changed {
		after = doc.Version
	}
	later, news, err := s.deps.Platform.Watch(ctx, f.key, after, 0)
	if err != nil || !news {
		return doc, changed, err
	}
	return later, true, nil
}

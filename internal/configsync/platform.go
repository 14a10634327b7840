package configsync

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/balsamstall/balsamstall/coordination/delta"
	"github.com/balsamstall/balsamstall/coordination/membership"
	"github.com/balsamstall/balsamstall/protocol/platformapi"
	"github.com/balsamstall/balsamstall/protocol/status"
)

const (
	// firstBackoff is the pause after the first failed call; Config.MaxBackoff bounds
	// the later ones.
	firstBackoff = 250 * time.Millisecond
	// backoffDoublings reaches the default of MaxBackoff from firstBackoff.
	backoffDoublings = 7
	// minCallGap bounds the rate of calls for one key when a platform answers
	// watches at once without news.
	minCallGap = time.Second
	// wholeReadBytesPerSecond bounds the traffic of reads whatever the version.
	// They notice a platform whose version counter went back; a watch for newer
	// versions does not. A document of 15 KB is read whole every 30 s, one of
	// 1 MB every 33 min.
	wholeReadBytesPerSecond = 500
	// resumePause is the least time between two early returns to the watcher role, in
	// units of Config.YieldFor.
	resumePause = 2
	// pollJitterParts makes each pause between polls vary by a fifth.
	pollJitterParts = 5
)

// backoff returns the pause after the given number of failures in a row, at
// least 1. The upper half of it is random, so that entries that failed together
// do not come back together. A time that the platform stated is kept, with up
// to half of it added.
func backoff(rng *rand.Rand, failures int, retryAfter, most time.Duration) time.Duration {
	if retryAfter > 0 {
		return retryAfter + time.Duration(rng.Int64N(int64(retryAfter)/2+1))
	}
	pause := min(firstBackoff<<min(failures-1, backoffDoublings), most)
	return pause/2 + time.Duration(rng.Int64N(int64(pause)/2+1))
}

// follower reads one key from the platform. It is used by one goroutine.
type follower struct {
	key string
	// after is the platform's version that was read last.
	after uint64
	// whole is set when the next call reads the document whatever its version.
	whole    bool
	failures int
	nextPoll time.Time
	// nextWhole is when the next whole read is due.
	nextWhole time.Time
	// failing is when the first of the calls that failed in a row began, zero after a
	// call that succeeded.
	failing time.Time
}

// followPlatform watches a key while this entry is a watcher, and polls it
// otherwise. A poll is a watch that does not wait, so an unchanged document is
// not transferred.
func (s *Syncer) followPlatform(ctx context.Context, key string) {
	f := &follower{key: key, whole: true}
	for ctx.Err() == nil {
		watching := s.Watching()
		f.whole = f.whole || time.Now().After(f.nextWhole)
		if !f.whole && !watching && time.Now().Before(f.nextPoll) {
			sleep(ctx, min(time.Until(f.nextPoll), s.cfg.ExchangeInterval))
			continue
		}
		began := time.Now()
		changed, err := s.readPlatform(ctx, f, watching)
		if err != nil {
			f.failures++
			if f.failing.IsZero() {
				f.failing = began
			}
			if s.cfg.YieldFor > 0 && time.Since(f.failing) >= s.cfg.YieldAfter && status.CodeOf(err) != status.NotFound {
				s.yield()
			}
			// The platform may come back with an earlier state.
			f.whole = f.whole || watching && !s.cfg.Lossless
			s.pausePlatform(ctx, f, err)
			continue
		}
		if f.failures > 0 {
			s.deps.Log.Info().Str("key", key).Int("failures", f.failures).Dur("outage", outageOf(f)).Msg("platform is read again")
			s.resume()
		}
		f.failures, f.failing = 0, time.Time{}
		f.nextPoll = time.Now().Add(s.pollPause())
		if !changed {
			sleep(ctx, min(minCallGap, s.cfg.WatchWait)-time.Since(began))
		}
	}
}

// readPlatform makes one call and decides about the document that it returns.
func (s *Syncer) readPlatform(ctx context.Context, f *follower, watching bool) (changed bool, err error) {
	var doc platformapi.Document
	switch {
	case f.whole:
		doc, err = s.deps.Platform.Get(ctx, f.key)
		changed = doc.Version != f.after
	case watching:
		doc, changed, err = s.deps.Platform.Watch(ctx, f.key, f.after, s.cfg.WatchWait)
	default:
		doc, changed, err = s.deps.Platform.Watch(ctx, f.key, f.after, 0)
	}
	if err == nil && f.key == s.cfg.SettleKey && (s.outage(f) || changed && s.lapsed(doc)) {
		doc, changed, err = s.settle(ctx, f, doc, changed)
	}
	if err != nil || !changed && !f.whole {
		return false, err
	}
	changed = changed && doc.Version != f.after
	if f.whole {
		pause := time.Duration(len(doc.Value)) * time.Second / wholeReadBytesPerSecond
		f.nextWhole = time.Now().Add(max(pause, s.pollPause()))
	}
	f.after, f.whole = doc.Version, false
	if s.cfg.Lossless {
		s.asked.Store(true)
	}
	content, err := delta.New(doc.Value)
	if err != nil {
		s.refuseData(f.key, doc.Value, "platform", err)
		return changed, nil
	}
	s.accept(f.key, content, "platform")
	return changed, nil
}

// pausePlatform waits after a failed call.
func (s *Syncer) pausePlatform(ctx context.Context, f *follower, err error) {
	s.mu.Lock()
	pause := backoff(s.rng, f.failures, status.From(err).RetryAfter, s.cfg.MaxBackoff)
	s.mu.Unlock()
	f.nextPoll = time.Now().Add(pause)
	if ctx.Err() != nil {
		return
	}
	s.readFailed(f.key)
	s.deps.Log.Warn().Err(err).Str("key", f.key).Int("failures", f.failures).Dur("pause", pause).Msg("platform cannot be read")
	sleep(ctx, pause)
}

// readFailed reports a failed call to the platform.
func (s *Syncer) readFailed(key string) {
	if s.deps.OnReadFailure != nil {
		s.deps.OnReadFailure(key)
	}
}

// pollPause returns the pause until the next poll.
func (s *Syncer) pollPause() time.Duration {
	jitter := s.cfg.PollInterval / pollJitterParts
	return s.random(s.cfg.PollInterval-jitter, s.cfg.PollInterval+jitter)
}

// followHosts reads the host list: watchers often, because it may name leaving
// targets first, others at every poll.
func (s *Syncer) followHosts(ctx context.Context) {
	failures := 0
	var next time.Time
	for ctx.Err() == nil {
		if wait := time.Until(next); wait > 0 {
			// An entry that becomes a watcher starts to read often.
			sleep(ctx, min(wait, s.cfg.HostInterval))
			if !s.Watching() && time.Now().Before(next) {
				continue
			}
		}
		hosts, err := s.deps.Platform.Hosts(ctx)
		if err != nil {
			failures++
			s.mu.Lock()
			pause := backoff(s.rng, failures, status.From(err).RetryAfter, s.cfg.MaxBackoff)
			s.mu.Unlock()
			if ctx.Err() == nil {
				s.readFailed(HostsFailure)
			}
			sleep(ctx, pause)
			continue
		}
		failures = 0
		s.takeHosts(hosts)
		next = time.Now().Add(s.pollPause())
	}
}

// takeHosts hints at the entries of a host list and passes the list on.
func (s *Syncer) takeHosts(hosts []platformapi.Host) {
	var entries []membership.Entry
	for _, h := range hosts {
		if h.Kind == platformapi.KindEntry {
			entries = append(entries, membership.Entry{ID: h.ID, Zone: h.Zone, Address: h.Address, Draining: h.State == platformapi.HostLeaving})
		}
	}
	s.mu.Lock()
	s.table.SetHints(membership.FromHostList, entries)
	s.mu.Unlock()
	if s.deps.OnHosts != nil {
		s.deps.OnHosts(hosts)
	}
}

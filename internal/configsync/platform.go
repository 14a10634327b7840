package configsync

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/balsamstall/balsamstall/coordination/delta"
	"github.com/balsamstall/balsamstall/coordination/membership"
	"github.com/balsamstall/balsamstall/coordination/revision"
	"github.com/balsamstall/balsamstall/protocol/platformapi"
	"github.com/balsamstall/balsamstall/protocol/status"
)

const (
	// initialBackoff is the backoff after the first failed call. Config.MaxBackoff limits the later
	// ones.
	initialBackoff = 250 * time.Millisecond
	// maxBackoffDoublings is enough to reach the default of Config.MaxBackoff from initialBackoff.
	maxBackoffDoublings = 7
	// minCallInterval limits the rate of calls for one key if a platform answers watches
	// immediately without a change.
	minCallInterval = time.Second
	// fullReadBytesPerSecond limits the traffic of full reads, which return the document whatever
	// its version. They detect that the version counter of the platform was reset, which a watch
	// for newer versions does not. A document of 15 KB is read in full every 30 s, one of 1 MB
	// every 33 min.
	fullReadBytesPerSecond = 500
	// resumeIntervalFactor is the minimum time between two early resumptions of the watcher role,
	// as a multiple of Config.YieldFor.
	resumeIntervalFactor = 2
	// pollJitterDivisor randomizes each poll interval by ±1/5.
	pollJitterDivisor = 5
)

// backoff returns the delay after the given number of consecutive failures, which is at least 1.
// The upper half of the delay is random, so that entries that failed together do not retry
// together. A retryAfter stated by the platform is respected, with up to half of it added.
func backoff(rng *rand.Rand, failures int, retryAfter, limit time.Duration) time.Duration {
	if retryAfter > 0 {
		return retryAfter + time.Duration(rng.Int64N(int64(retryAfter)/2+1))
	}
	pause := min(initialBackoff<<min(failures-1, maxBackoffDoublings), limit)
	return pause/2 + time.Duration(rng.Int64N(int64(pause)/2+1))
}

// platformReader is the state of reading one key from the platform. It is used by one goroutine.
type platformReader struct {
	key string
	// lastVersion is the platform's version of the document that was last read.
	lastVersion uint64
	// fullRead is set if the next call reads the document whatever its version.
	fullRead bool
	failures int
	nextPoll time.Time
	// nextRetry is the earliest time of an overdue read after a failed one.
	nextRetry time.Time
	// nextFullRead is the time at which the next full read is due.
	nextFullRead time.Time
	// failingSince is the start time of the first of the latest consecutive failed calls, or zero
	// after a successful call.
	failingSince time.Time
	// compared is the version of the target list that was last found to be the platform's.
	compared revision.Version
}

// platformLoop watches a key while this entry is a watcher, and polls it otherwise, earlier if the document
// has not been confirmed recently. A poll is a watch that does not wait, so that an unchanged document is not
// transferred.
func (s *Syncer) platformLoop(ctx context.Context, key string) {
	r := &platformReader{key: key, fullRead: true}
	for ctx.Err() == nil {
		watching := s.IsWatcher()
		r.fullRead = r.fullRead || time.Now().After(r.nextFullRead)
		due, overdue := s.readDue(r)
		if !r.fullRead && !watching && time.Now().Before(due) {
			s.forgetFailures(r)
			sleep(ctx, min(time.Until(due), s.cfg.ExchangeInterval))
			continue
		}
		if overdue = overdue && !r.fullRead && !watching; overdue {
			s.reportOverdue(r)
		}
		began := time.Now()
		changed, err := s.readPlatform(ctx, r, watching)
		if err != nil {
			r.failures++
			if r.failingSince.IsZero() {
				r.failingSince = began
			}
			if s.cfg.YieldFor > 0 && time.Since(r.failingSince) >= s.cfg.YieldAfter && status.CodeOf(err) != status.NotFound {
				s.yield()
			}
			// The platform may recover with an earlier state.
			r.fullRead = r.fullRead || watching && !s.cfg.MonotonicPlatform
			s.waitBackoff(ctx, r, err, overdue)
			continue
		}
		if r.failures > 0 {
			s.deps.Log.Info().Str("key", key).Int("failures", r.failures).Dur("outage", outageDuration(r)).Msg("platform reads recovered")
			s.resume()
		}
		r.failures, r.failingSince = 0, time.Time{}
		r.nextPoll = time.Now().Add(s.pollPause())
		if !changed {
			sleep(ctx, min(minCallInterval, s.cfg.WatchWait)-time.Since(began))
		}
	}
}

// readPlatform makes one call to the platform and processes the returned document. changed reports
// whether the platform's version of the document has changed.
func (s *Syncer) readPlatform(ctx context.Context, r *platformReader, watching bool) (changed bool, err error) {
	var doc platformapi.Document
	var wait time.Duration
	began := time.Now()
	switch {
	case r.fullRead:
		doc, err = s.deps.Platform.Get(ctx, r.key)
		changed = doc.Version != r.lastVersion
	case watching:
		wait = s.cfg.WatchWait
		doc, changed, err = s.deps.Platform.Watch(ctx, r.key, r.lastVersion, wait)
	default:
		doc, changed, err = s.deps.Platform.Watch(ctx, r.key, r.lastVersion, 0)
	}
	if err != nil {
		return false, err
	}
	confirmed := confirmedAt(doc, changed, began, wait)
	s.recordAvailable(r, confirmed)
	defer func() {
		s.correctTargets(r)
		s.confirmations.record(r.key, confirmed, platformActor)
	}()
	if !changed && !r.fullRead {
		return false, nil
	}
	changed = changed && doc.Version != r.lastVersion
	if r.fullRead {
		pause := time.Duration(len(doc.Value)) * time.Second / fullReadBytesPerSecond
		r.nextFullRead = time.Now().Add(max(pause, s.pollPause()))
	}
	r.lastVersion, r.fullRead = doc.Version, false
	if s.cfg.MonotonicPlatform {
		s.refreshed.Store(true)
	}
	s.acceptRead(r, doc)
	return changed, nil
}

// acceptRead handles a document that was read from the platform.
func (s *Syncer) acceptRead(r *platformReader, doc platformapi.Document) {
	content, err := delta.New(doc.Value)
	if len(doc.Value) == 0 && doc.Fault != nil {
		err = doc.Fault
	}
	if err != nil {
		version := s.refuseData(r.key, doc.Value, platformActor, err)
		s.confirmations.refuse(r.key, version)
		return
	}
	version := versionOf(content)
	if doc.Fault != nil {
		s.reportLeftOut(r.key, version, doc.Fault)
	}
	switch s.accept(r.key, content, origin{actor: platformActor, readAt: doc.ReadAt, settled: s.canSettle(r.key)}) {
	case revision.Accept:
		r.compared = version
	case revision.Faulty:
		s.confirmations.refuse(r.key, version)
	}
}

// outageDuration returns the duration of the outage that this entry has seen, or zero if none.
func outageDuration(r *platformReader) time.Duration {
	if r.failingSince.IsZero() {
		return 0
	}
	return time.Since(r.failingSince)
}

// waitBackoff reports a failed call and waits for its backoff. After an overdue read it only schedules the next
// one, because a peer may confirm the document before.
func (s *Syncer) waitBackoff(ctx context.Context, r *platformReader, err error, overdue bool) {
	s.mu.Lock()
	pause := backoff(s.rng, r.failures, status.From(err).RetryAfter, s.cfg.MaxBackoff)
	if overdue {
		pause = max(pause, s.cfg.Confirm.RetryPause(s.table.Size(), s.rng.Float64()))
	}
	s.mu.Unlock()
	r.nextRetry = time.Now().Add(pause)
	switch {
	case s.cfg.Confirm.MaxAge == 0:
		r.nextPoll = r.nextRetry
	case r.nextPoll.Before(r.nextRetry):
		r.nextPoll = time.Now().Add(s.pollPause()) // An overdue read replaces the poll.
	}
	if ctx.Err() != nil {
		return
	}
	s.reportReadFailure(r.key)
	s.deps.Log.Warn().Err(err).Str("key", r.key).Int("failures", r.failures).Dur("pause", pause).Msg("platform read failed")
	if !overdue {
		sleep(ctx, pause)
	}
}

// reportReadFailure calls OnReadFailure for a failed call to the platform.
func (s *Syncer) reportReadFailure(key string) {
	if s.deps.OnReadFailure != nil {
		s.deps.OnReadFailure(key)
	}
}

// pollPause returns the randomized delay until the next poll.
func (s *Syncer) pollPause() time.Duration {
	jitter := s.cfg.PollInterval / pollJitterDivisor
	return s.randomDuration(s.cfg.PollInterval-jitter, s.cfg.PollInterval+jitter)
}

// hostLoop reads the host list. Watchers read it more often than other entries, because it may be
// the first source to list a leaving target.
func (s *Syncer) hostLoop(ctx context.Context) {
	failures := 0
	var next time.Time
	for ctx.Err() == nil {
		if wait := time.Until(next); wait > 0 {
			// An entry that becomes a watcher does not wait for the rest of the poll interval.
			sleep(ctx, min(wait, s.cfg.HostInterval))
			if !s.IsWatcher() && time.Now().Before(next) {
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
				s.reportReadFailure(HostListKey)
			}
			sleep(ctx, pause)
			continue
		}
		failures = 0
		s.applyHosts(hosts)
		next = time.Now().Add(s.pollPause())
	}
}

// applyHosts passes the entries of a host list to the member table, and calls OnHosts.
func (s *Syncer) applyHosts(hosts []platformapi.Host) {
	var entries []membership.Entry
	for _, h := range hosts {
		if h.Kind == platformapi.KindEntry {
			entries = append(entries, membership.Entry{ID: h.ID, Zone: h.Zone, Address: h.Address, Draining: h.State == platformapi.HostLeaving})
		}
	}
	s.mu.Lock()
	s.table.SetListed(membership.FromHostList, entries)
	s.mu.Unlock()
	if s.deps.OnHosts != nil {
		s.deps.OnHosts(hosts)
	}
}

package configsync

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/balsamstall/balsamstall/coordination/confirm"
	"github.com/balsamstall/balsamstall/coordination/membership"
	"github.com/balsamstall/balsamstall/internal/configsync/documents"
	"github.com/balsamstall/balsamstall/protocol/index"
	"github.com/balsamstall/balsamstall/protocol/platformapi"
	"github.com/balsamstall/balsamstall/protocol/sheet"
	"github.com/balsamstall/balsamstall/protocol/targetlist"
)

const (
	// maxConcurrentExchanges limits the concurrent calls for exchanges and pushes. A peer that
	// does not answer occupies one of them for CallTimeout.
	maxConcurrentExchanges = 16
	// maintenanceRounds is the number of exchange rounds between removals of expired members.
	maintenanceRounds = 120
)

// Syncer keeps the documents of one entry up to date. All methods are safe for concurrent use.
type Syncer struct {
	cfg   Config
	deps  Deps
	store *documents.Store
	view  atomic.Pointer[View]
	// refreshed is set once the startup refresh from peers has finished or a monotonic platform has
	// answered.
	refreshed     atomic.Bool
	refusals      refusals
	transfers     transferCache
	confirmations confirmations
	availability  availability
	// offers holds one queue for each key of Config.Keys.
	offers map[string]*offerQueue
	// snapshots is the platform if it can settle target lists, or nil.
	snapshots SnapshotSource
	// callSlots limits the concurrent exchanges. Each running one occupies a slot.
	callSlots chan struct{}
	// catchUpSlots limits the concurrent calls of CatchUp.
	catchUpSlots chan struct{}
	// viewSignal triggers OnChange, peerSignal a push to peers, and zoneSignal a push to peers of
	// the own zone. Each holds at most one pending signal.
	viewSignal chan struct{}
	peerSignal chan struct{}
	zoneSignal chan struct{}

	// position is the place of this entry among those that read the platform when no document is confirmed,
	// from 0 to 1.
	position float64

	// viewMu serializes updates of view.
	viewMu sync.Mutex

	// mu guards the fields below.
	mu    sync.Mutex
	table *membership.Table
	rng   *rand.Rand
	// yieldedUntil is the time until which this entry has yielded the watcher role.
	yieldedUntil time.Time
	// resumedAt is the time at which this entry last resumed the role before yieldedUntil.
	resumedAt time.Time
	started   time.Time
	// partitioned is set while this entry is partitioned from the other zones. zonePartitionedAt
	// is the time at which an entry of the same zone last reported that it is partitioned.
	partitioned       bool
	zonePartitionedAt time.Time
	// delays estimates the delays of messages from other entries.
	delays confirm.Delays
	// oldestPeerStart is the earliest known start time of another entry, or zero if none is known.
	oldestPeerStart time.Time
}

// New returns a Syncer without documents. Run must be called once.
func New(cfg Config, deps Deps) *Syncer {
	cfg = cfg.withDefaults()
	self := membership.Entry{ID: cfg.Entry, Zone: cfg.Zone, Address: cfg.Address, Incarnation: cfg.Incarnation, Capacity: cfg.Capacity}
	s := &Syncer{
		cfg:          cfg,
		deps:         deps,
		store:        documents.New(cfg.Keys...),
		offers:       make(map[string]*offerQueue, len(cfg.Keys)),
		callSlots:    make(chan struct{}, maxConcurrentExchanges),
		catchUpSlots: make(chan struct{}, maxConcurrentCatchUps),
		viewSignal:   make(chan struct{}, 1),
		peerSignal:   make(chan struct{}, 1),
		zoneSignal:   make(chan struct{}, 1),
		table: membership.New(self, membership.Settings{
			WatchersPerZone: cfg.WatchersPerZone,
			Interval:        cfg.ExchangeInterval,
			Expiry:          cfg.MemberExpiry,
		}),
		rng:      rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		position: float64(membership.Score(cfg.Zone, cfg.Entry)) / math.MaxUint64,
		started:  time.Now(),
	}
	for _, key := range cfg.Keys {
		s.offers[key] = &offerQueue{signal: make(chan struct{}, 1)}
	}
	s.snapshots, _ = deps.Platform.(SnapshotSource)
	s.view.Store(&View{})
	s.SetPeers(cfg.Peers)
	return s
}

// SetPeers replaces the entries listed in the settings.
func (s *Syncer) SetPeers(peers []Peer) {
	listed := make([]membership.Entry, len(peers))
	for i, p := range peers {
		listed[i] = membership.Entry{ID: p.Entry, Zone: p.Zone, Address: p.Address}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.SetListed(membership.FromSettings, listed)
}

// Run keeps the documents up to date until ctx ends. It returns when all its goroutines have ended.
func (s *Syncer) Run(ctx context.Context) {
	var running sync.WaitGroup
	defer running.Wait()
	running.Go(func() { s.notifyLoop(ctx) })
	if s.cfg.MonotonicPlatform {
		// The platform's documents are as new as those of any peer, and peers may not respond.
		running.Go(func() { s.Refresh(ctx); s.refreshed.Store(true) })
	} else {
		s.Refresh(ctx)
		s.refreshed.Store(true)
	}
	for _, key := range s.cfg.Keys {
		running.Go(func() { s.platformLoop(ctx, key) })
		running.Go(func() { s.offerLoop(ctx, key) })
	}
	running.Go(func() { s.hostLoop(ctx) })
	running.Go(func() { s.exchangeLoop(ctx) })
}

// Current returns the current documents. It takes no lock.
func (s *Syncer) Current() *View { return s.view.Load() }

// Ready reports whether every document is available, and the startup refresh from peers has finished
// or a monotonic platform has answered.
func (s *Syncer) Ready() bool {
	for _, key := range s.cfg.Keys {
		if s.store.Current(key) == nil {
			return false
		}
	}
	return s.refreshed.Load()
}

// Members returns the other known entries.
func (s *Syncer) Members() []Member {
	s.mu.Lock()
	known := s.table.Members(time.Now())
	s.mu.Unlock()
	members := make([]Member, len(known))
	for i, m := range known {
		members[i] = Member{Entry: m.ID, Zone: m.Zone, Address: m.Address, Incarnation: m.Incarnation,
			Alive: m.Alive, Draining: m.Draining, Detached: m.Detached, Listed: m.Listed, LastSeen: m.LastSeen, Capacity: m.Capacity}
	}
	return members
}

// IsWatcher reports whether this entry has the watcher role, that is, watches the platform.
func (s *Syncer) IsWatcher() bool {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Before(s.yieldedUntil) || !s.cfg.IsSeed && now.Sub(s.started) < s.cfg.WatchGrace {
		return false
	}
	return s.table.IsWatcher(now)
}

// yield gives up the watcher role for YieldFor because this entry cannot read the platform. Other
// entries see it as draining.
func (s *Syncer) yield() {
	now := time.Now()
	s.mu.Lock()
	yielded := now.Before(s.yieldedUntil)
	s.yieldedUntil = now.Add(s.cfg.YieldFor)
	s.mu.Unlock()
	if !yielded {
		s.deps.Log.Warn().Dur("for", s.cfg.YieldFor).Msg("platform reads keep failing; yielding the watcher role")
		s.NotifyPeers()
	}
}

// resume ends a yield of the watcher role early once platform reads succeed again: after an outage
// that affected all entries, all have yielded and none would watch. An entry that yields again soon
// afterwards waits for the full YieldFor, so that an entry whose calls the platform refuses
// intermittently does not resume the role each time.
func (s *Syncer) resume() {
	now := time.Now()
	s.mu.Lock()
	resumed := now.Before(s.yieldedUntil) && now.Sub(s.resumedAt) > resumeIntervalFactor*s.cfg.YieldFor
	if resumed {
		s.yieldedUntil, s.resumedAt = time.Time{}, now
	}
	s.mu.Unlock()
	if resumed {
		s.deps.Log.Info().Msg("platform reads succeed again; resuming the watcher role")
		s.NotifyPeers()
	}
}

// SetDraining announces to peers, with the next exchanges, that this entry is shutting down
// gracefully, and gives up the watcher role.
func (s *Syncer) SetDraining() {
	s.mu.Lock()
	s.table.SetDraining()
	s.mu.Unlock()
	s.NotifyPeers()
}

// SetPartitioned sets whether this entry reports to its peers that it is partitioned from the other
// zones. The start of a partition is pushed immediately to peers of the own zone.
func (s *Syncer) SetPartitioned(partitioned bool) {
	s.mu.Lock()
	becamePartitioned := partitioned && !s.partitioned
	s.partitioned = partitioned
	s.mu.Unlock()
	if becamePartitioned {
		signal(s.zoneSignal)
	}
}

// SetDetached sets whether this entry reports to its peers that it reaches no target. A change is
// pushed immediately.
func (s *Syncer) SetDetached(detached bool) {
	s.mu.Lock()
	changed := s.table.Self().Detached != detached
	s.table.SetDetached(detached)
	s.mu.Unlock()
	if changed {
		s.NotifyPeers()
		signal(s.zoneSignal)
	}
}

// SetPinned sets the entries whose member records every exchange carries.
func (s *Syncer) SetPinned(entries []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.SetPinned(entries)
}

// ZonePartitionedAt returns the time at which another entry of the own zone last reported that it is
// partitioned from the other zones, or zero if none has.
func (s *Syncer) ZonePartitionedAt() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.zonePartitionedAt
}

// OldestPeerStart returns the earliest start time that another entry has reported, or zero if none
// has.
func (s *Syncer) OldestPeerStart() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.oldestPeerStart
}

// NotifyPeers triggers an immediate push of new facts and document versions to PushFanout peers. It
// does not wait for it.
func (s *Syncer) NotifyPeers() { signal(s.peerSignal) }

// signal ensures that c, which has a capacity of one, holds a pending signal.
func signal(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// updateView publishes the current documents of the store as the new view.
func (s *Syncer) updateView() {
	s.viewMu.Lock()
	view := &View{}
	if doc := s.store.Current(platformapi.SheetKey); doc != nil {
		view.Sheet, view.SheetDigest = doc.Value.(*sheet.Sheet), doc.Version.Digest
	}
	if doc := s.store.Current(platformapi.IndexKey); doc != nil {
		view.Index, view.IndexDigest = doc.Value.(*index.Document), doc.Version.Digest
	}
	if doc := s.store.Current(platformapi.TargetsKey); doc != nil {
		view.Targets = doc.Value.(*targetlist.Document)
	}
	s.view.Store(view)
	s.viewMu.Unlock()
	signal(s.viewSignal)
	s.NotifyPeers()
}

// notifyLoop calls OnChange with the latest view after each change.
func (s *Syncer) notifyLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.viewSignal:
			if s.deps.OnChange != nil {
				s.deps.OnChange(s.Current())
			}
		}
	}
}

// randomDuration returns a random duration in [lo, hi].
func (s *Syncer) randomDuration(lo, hi time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return lo + time.Duration(s.rng.Int64N(int64(max(hi-lo, 0))+1))
}

// sleep waits for d. It returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

package configsync

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/balsamstall/balsamstall/coordination/membership"
	"github.com/balsamstall/balsamstall/internal/configsync/documents"
	"github.com/balsamstall/balsamstall/protocol/index"
	"github.com/balsamstall/balsamstall/protocol/platformapi"
	"github.com/balsamstall/balsamstall/protocol/sheet"
	"github.com/balsamstall/balsamstall/protocol/targetlist"
)

const (
	// maxExchanges bounds the calls of exchanges and pushes that run at once. A
	// peer that does not answer holds one for CallTimeout.
	maxExchanges = 16
	// maintenanceRounds is the number of rounds between removals of old members.
	maintenanceRounds = 120
)

// Syncer keeps the documents of one entry up to date. All methods are safe for
// concurrent use.
type Syncer struct {
	cfg   Config
	deps  Deps
	store *documents.Store
	view  atomic.Pointer[View]
	// asked is set once the peers were asked at start, or a lossless platform.
	asked     atomic.Bool
	refusals  refusals
	transfers transferCache
	offers    map[string]*offerQueue
	calls     chan struct{}
	// changed and news hold at most one pending signal.
	changed chan struct{}
	news    chan struct{}
	// zoneNews holds at most one pending signal of news for the own zone.
	zoneNews chan struct{}

	// viewMu serializes updates of view.
	viewMu sync.Mutex

	// mu guards the fields below.
	mu    sync.Mutex
	table *membership.Table
	rng   *rand.Rand
	// yieldedUntil is the time until which this entry leaves the watcher role to others.
	yieldedUntil time.Time
	// resumedAt is when this entry last took the role back before that time.
	resumedAt time.Time
	started   time.Time
	// cutOff is set while this entry is cut off from the other zones, and zoneCutOff is
	// the time at which an entry of the same zone last told that it is.
	cutOff     bool
	zoneCutOff time.Time
	// oldestPeer is the earliest start of an entry that told its age, zero for none.
	oldestPeer time.Time
}

// New returns a Syncer without documents. Run must be called once.
func New(cfg Config, deps Deps) *Syncer {
	cfg = cfg.withDefaults()
	self := membership.Entry{ID: cfg.Entry, Zone: cfg.Zone, Address: cfg.Address, Incarnation: cfg.Incarnation, Capacity: cfg.Capacity}
	s := &Syncer{
		cfg:      cfg,
		deps:     deps,
		store:    documents.New(cfg.Keys...),
		offers:   make(map[string]*offerQueue, len(cfg.Keys)),
		calls:    make(chan struct{}, maxExchanges),
		changed:  make(chan struct{}, 1),
		news:     make(chan struct{}, 1),
		zoneNews: make(chan struct{}, 1),
		table: membership.New(self, membership.Settings{
			WatchersPerZone: cfg.WatchersPerZone,
			Interval:        cfg.ExchangeInterval,
			Expiry:          cfg.MemberExpiry,
		}),
		rng:     rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		started: time.Now(),
	}
	for _, key := range cfg.Keys {
		s.offers[key] = &offerQueue{signal: make(chan struct{}, 1)}
	}
	s.view.Store(&View{})
	s.SetPeers(cfg.Peers)
	return s
}

// SetPeers replaces the entries that the settings name.
func (s *Syncer) SetPeers(peers []Peer) {
	hints := make([]membership.Entry, len(peers))
	for i, p := range peers {
		hints[i] = membership.Entry{ID: p.Entry, Zone: p.Zone, Address: p.Address}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.SetHints(membership.FromSettings, hints)
}

// Run works until ctx ends and returns when all its goroutines have ended.
func (s *Syncer) Run(ctx context.Context) {
	var running sync.WaitGroup
	defer running.Wait()
	running.Go(func() { s.notify(ctx) })
	if s.cfg.Lossless {
		// The platform's answer is as new as any peer's, and peers may be dark.
		running.Go(func() { s.Refresh(ctx); s.asked.Store(true) })
	} else {
		s.Refresh(ctx)
		s.asked.Store(true)
	}
	for _, key := range s.cfg.Keys {
		running.Go(func() { s.followPlatform(ctx, key) })
		running.Go(func() { s.followOffers(ctx, key) })
	}
	running.Go(func() { s.followHosts(ctx) })
	running.Go(func() { s.exchangeRounds(ctx) })
}

// Current returns what is in force. It takes no lock.
func (s *Syncer) Current() *View { return s.view.Load() }

// Ready reports whether every document is in force and the peers were asked for
// newer ones.
func (s *Syncer) Ready() bool {
	for _, key := range s.cfg.Keys {
		if s.store.Current(key) == nil {
			return false
		}
	}
	return s.asked.Load()
}

// Members returns the other entries that are known.
func (s *Syncer) Members() []Member {
	s.mu.Lock()
	known := s.table.Members(time.Now())
	s.mu.Unlock()
	members := make([]Member, len(known))
	for i, m := range known {
		members[i] = Member{Entry: m.ID, Zone: m.Zone, Address: m.Address, Incarnation: m.Incarnation,
			Alive: m.Alive, Draining: m.Draining, Listed: m.Listed, Heard: m.LastSeen, Capacity: m.Capacity}
	}
	return members
}

// Watching reports whether this entry has the role of a watcher of the platform.
func (s *Syncer) Watching() bool {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Before(s.yieldedUntil) || !s.cfg.Named && now.Sub(s.started) < s.cfg.WatchGrace {
		return false
	}
	return s.table.IsWatcher(now)
}

// yield leaves the watcher role to others for a while, because this entry cannot
// read the platform. They learn it as if this entry was stopping.
func (s *Syncer) yield() {
	now := time.Now()
	s.mu.Lock()
	yielded := now.Before(s.yieldedUntil)
	s.yieldedUntil = now.Add(s.cfg.YieldFor)
	s.mu.Unlock()
	if !yielded {
		s.deps.Log.Warn().Dur("for", s.cfg.YieldFor).Msg("the platform cannot be read; leaving the watcher role to others")
		s.Spread()
	}
}

// resume takes the watcher role back, which yield left to others, once the platform is
// read again: after an outage that all entries saw, all have yielded, and nobody would
// watch. An entry that yields again soon after keeps to the whole YieldFor, so that one
// which the platform turns away now and then does not take the role each time.
func (s *Syncer) resume() {
	now := time.Now()
	s.mu.Lock()
	resumed := now.Before(s.yieldedUntil) && now.Sub(s.resumedAt) > resumePause*s.cfg.YieldFor
	if resumed {
		s.yieldedUntil, s.resumedAt = time.Time{}, now
	}
	s.mu.Unlock()
	if resumed {
		s.deps.Log.Info().Msg("the platform is read again; taking the watcher role back")
		s.Spread()
	}
}

// SetDraining tells the peers, with the next exchanges, that this entry is in a
// planned stop, and leaves the watcher role to others.
func (s *Syncer) SetDraining() {
	s.mu.Lock()
	s.table.SetDraining()
	s.mu.Unlock()
	s.Spread()
}

// SetCutOff tells peers, those of the own zone at once, whether this entry is cut off
// from the other zones.
func (s *Syncer) SetCutOff(cutOff bool) {
	s.mu.Lock()
	began := cutOff && !s.cutOff
	s.cutOff = cutOff
	s.mu.Unlock()
	if began {
		signal(s.zoneNews)
	}
}

// Pin names the entries whose news goes with every exchange.
func (s *Syncer) Pin(entries []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.SetPinned(entries)
}

// ZoneCutOff returns the time at which an entry of the own zone last told that it is
// cut off from the other zones, zero for never.
func (s *Syncer) ZoneCutOff() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.zoneCutOff
}

// OldestPeer returns the earliest start of the other entries that were heard, zero for
// none.
func (s *Syncer) OldestPeer() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.oldestPeer
}

// Spread tells PushFanout peers at once of new facts or documents. It does not
// wait.
func (s *Syncer) Spread() { signal(s.news) }

// signal leaves one pending signal in c.
func signal(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// updateView shows what the store has in force.
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
	signal(s.changed)
	s.Spread()
}

// notify calls OnChange with the latest view.
func (s *Syncer) notify(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.changed:
			if s.deps.OnChange != nil {
				s.deps.OnChange(s.Current())
			}
		}
	}
}

// random returns a duration from lo to hi.
func (s *Syncer) random(lo, hi time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return lo + time.Duration(s.rng.Int64N(int64(max(hi-lo, 0))+1))
}

// sleep waits for d and reports whether ctx goes on.
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

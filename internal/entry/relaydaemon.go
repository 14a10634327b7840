package entry

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/go-kratos/kratos/v2"
	"github.com/go-kratos/kratos/v2/transport"
	"github.com/rs/zerolog"

	"github.com/balsamstall/balsamstall/coordination/homes"
	"github.com/balsamstall/balsamstall/coordination/notice"
	"github.com/balsamstall/balsamstall/coordination/ratelimit"
	"github.com/balsamstall/balsamstall/coordination/restore"
	"github.com/balsamstall/balsamstall/coordination/retrybudget"
	"github.com/balsamstall/balsamstall/internal/configsync"
	"github.com/balsamstall/balsamstall/internal/engine"
	"github.com/balsamstall/balsamstall/internal/relay"
	"github.com/balsamstall/balsamstall/internal/settings"
	"github.com/balsamstall/balsamstall/internal/targetrate"
	"github.com/balsamstall/balsamstall/protocol/ids"
	"github.com/balsamstall/balsamstall/protocol/platformapi"
	"github.com/balsamstall/balsamstall/protocol/sheet"
	"github.com/balsamstall/balsamstall/protocol/status"
	"github.com/balsamstall/balsamstall/protocol/targetlist"
	"github.com/balsamstall/balsamstall/state/audit"
	"github.com/balsamstall/balsamstall/state/bytebudget"
	"github.com/balsamstall/balsamstall/transport/adminhttp"
	"github.com/balsamstall/balsamstall/transport/connlimit"
	"github.com/balsamstall/balsamstall/transport/peerrpc"
	"github.com/balsamstall/balsamstall/transport/targethttp"
)

const (
	// platformActor names the platform as the origin of facts about targets.
	platformActor = "platform"
	// seedPrefix starts the placeholder id of an entry that is known only by its address.
	seedPrefix = "seed@"
	// relayWatchWait is the maximum duration of a watch call to the platform. A watch may miss a
	// change; the next one then reports it within the 3 s in which a change must take effect. It
	// is not shorter because each call has a cost.
	relayWatchWait = 1500 * time.Millisecond
	// relayWatchGrace is the time after startup during which only seeds watch the platform. It
	// covers the exchanges in which the entries of a starting fleet discover each other.
	relayWatchGrace = 2 * time.Second
	// relayYieldAfter is the duration of failing calls after which a watcher yields the role. It
	// lets another entry take over within the 3 s in which a change must take effect.
	// relayYieldFor is the time for which the role is yielded. It limits the calls of entries that
	// the platform rejects.
	relayYieldAfter = 300 * time.Millisecond
	relayYieldFor   = 4 * time.Second
	// relayOutageGap is the outage after which targets may have expired. It is shorter than
	// three heartbeats of 1.2 s, after which the platform removes a silent target.
	relayOutageGap = 3 * time.Second
	// relayPollInterval is the interval at which entries that do not watch the platform read it.
	// They get changes from their peers.
	relayPollInterval = 10 * time.Minute
	// relayMaxBackoff limits the pause after failed calls, so that an entry reads the current
	// state within the 3 s after an outage in which it must take effect.
	relayMaxBackoff = time.Second
	// readinessInterval is the interval at which readiness and the homes are re-evaluated. The
	// balancer checks readiness once a second.
	readinessInterval = 100 * time.Millisecond
	// startupPeriod is the age of the process up to which readiness and the homes are re-evaluated
	// every startupReadinessInterval, because after a power loss the entries discover each other
	// within half a second.
	startupPeriod            = 2 * time.Second
	startupReadinessInterval = 50 * time.Millisecond
)

// RelayDeps holds the platform-specific dependencies of a RelayDaemon.
type RelayDeps struct {
	// Documents provides the sheet and the target list.
	Documents configsync.Platform
	// NewTargets returns a client for the targets.
	NewTargets func(targethttp.Metrics, *bytebudget.Budget) relay.TargetClient
	// NewServers returns the servers for callers and for readiness checks. The budget and the number
	// of connections bound what callers hold.
	NewServers func(callers, ready net.Listener, r *relay.Relay, budget *bytebudget.Budget, maxConnections int) []transport.Server
}

// RelayDaemon is an entry process that relays requests. It keeps no permits and no journal: a
// request that may run at most once is a single chain of attempts.
type RelayDaemon struct {
	settings     *settings.Relay
	self         Identity
	log          zerolog.Logger
	metrics      *Metrics
	budget       *bytebudget.Budget
	relayMetrics relay.Metrics
	audit        *audit.Trail
	core         *engine.Engine
	relay        *relay.Relay
	pool         *peerrpc.Pool
	homeSettings homes.Settings
	syncer       *configsync.Syncer
	app          *kratos.App
	targetLists  targetLists
	// changeMu serializes onChange.
	changeMu sync.Mutex
	// drainOnce prevents a second stop signal from repeating the shutdown.
	drainOnce sync.Once
}

// NewRelayDaemon opens the listeners and connects the components of an entry that relays requests.
func NewRelayDaemon(set *settings.Relay, log zerolog.Logger, deps RelayDeps) (*RelayDaemon, error) {
	d := &RelayDaemon{
		settings: set,
		self:     Identity{Entry: set.ID, Zone: set.Zone, Incarnation: ids.NewIncarnation(), Start: time.Now()},
		log:      log.With().Str("entry", set.ID).Logger(),
		metrics:  NewMetrics(),
	}
	d.budget = newBudget(set.HeldBytes(set.MemoryMB), d.metrics, d.log)
	d.homeSettings = homeSettings(set)
	d.audit = audit.New(d.log)
	d.pool = peerrpc.NewPool([]byte(set.PeerKey), peerrpc.Options{})
	targets := deps.NewTargets(d.metrics, d.budget)
	d.core = engine.New(engine.Config{
		Self:                  d.self,
		Log:                   d.log,
		Targets:               targets,
		FingerprintKey:        []byte(set.PeerKey),
		PolicyOn:              true,
		UrgentFirst:           set.UrgentFirst,
		Metrics:               &d.metrics.Metrics,
		RequestLinesPerSecond: uint32(set.RequestLinesPerSecond),
		NotifyPeers:           func() { d.syncer.NotifyPeers() },
		Verify:                func() { d.syncer.Refresh(context.Background()) },
		Tokens:                d.pool.Tokens,
		ReachedTargets: func(ctx context.Context) []string {
			return reachedTargets(ctx, d.syncer, d.pool, d.log)
		},
		OnDetached: func(detached bool) { d.syncer.SetDetached(detached) },
		Audit:      d.audit,
	})
	d.relay = relay.New(relay.Config{
		Self:    d.self,
		Engine:  d.core,
		Metrics: &d.relayMetrics,
		Targets: targets,
		Log:     d.log,
		Repeats: retrybudget.FleetSettings{
			Ratio:   set.RepeatRatio,
			Minimum: set.RepeatMinimum,
			Window:  seconds(set.RepeatWindowS),
		},
		Homes:   d.pool,
		CatchUp: func(entry string) { d.syncer.CatchUp(entry) },
	})
	d.targetLists = targetLists{
		self:       d.self,
		log:        d.log,
		report:     func(r notice.Report) { d.core.MergeLeavingReport(platformActor, r) },
		recheck:    d.onChange,
		available:  func() time.Time { return d.syncer.AvailableSince() },
		reconciler: restore.New(restore.DefaultSettings()),
	}
	d.wireSync(deps.Documents)
	d.core.SetPeers(peerNames(d.syncer))
	fleet := d.fleet()
	d.relay.SetFleet(fleet)
	d.core.RateLimits().SetFleet(d.allocatorFleet(fleet.Entries))
	return d, d.wireServers(deps)
}

func (d *RelayDaemon) wireSync(documents configsync.Platform) {
	set := d.settings
	d.syncer = configsync.New(configsync.Config{
		Keys:              []string{platformapi.SheetKey, platformapi.TargetsKey},
		Entry:             set.ID,
		Zone:              set.Zone,
		Address:           set.PeerAddress,
		Incarnation:       d.self.Incarnation,
		Capacity:          cpuCapacity(set),
		Peers:             d.seeds(set.Seeds),
		WatchersPerZone:   int(set.WatchersPerZone),
		ExchangeInterval:  time.Duration(set.ExchangeIntervalMS) * time.Millisecond,
		PollInterval:      relayPollInterval,
		HostInterval:      relayPollInterval,
		WatchWait:         relayWatchWait,
		MaxBackoff:        relayMaxBackoff,
		MonotonicPlatform: true,
		IsSeed:            slices.Contains(set.Seeds, set.PeerAddress),
		WatchGrace:        relayWatchGrace,
		YieldAfter:        relayYieldAfter,
		YieldFor:          relayYieldFor,
		Confirm:           confirmSettings(set),
		OutageGap:         relayOutageGap,
	}, configsync.Deps{
		Platform:      documents,
		Peers:         d.pool,
		Facts:         newFactExchange(d.self, d.core),
		Audit:         d.audit,
		Log:           d.log,
		ParseSheet:    sheet.ParseCompatible,
		ParseTargets:  targetlist.Parse,
		CheckSheet:    checkSheet,
		CheckTargets:  (*targetlist.Document).Validate,
		OnReadFailure: func(key string) { d.metrics.PlatformFailures.Add(key, 1) },
		OnOverdueRead: func(key string) { d.metrics.OverdueReads.Add(key, 1) },
		OnRefused:     func(key string) { d.metrics.DocumentsRefused.Add(key, 1) },
		OnListFault:   func(fault configsync.ListFault) { d.metrics.ListFaults.Add(string(fault), 1) },
		OnChange:      func(*configsync.View) { d.onChange() },
	})
	d.metrics.ConfirmedAge = confirmedAges(d.syncer, platformapi.SheetKey, platformapi.TargetsKey)
}

// seeds returns the seed addresses, except this entry's own, as peers with placeholder ids.
func (d *RelayDaemon) seeds(addresses []string) []configsync.Peer {
	var peers []configsync.Peer
	for _, a := range addresses {
		if a != d.settings.PeerAddress {
			peers = append(peers, configsync.Peer{Entry: seedPrefix + a, Address: a})
		}
	}
	return peers
}

// onChange makes the relay use the current documents once both are known.
func (d *RelayDaemon) onChange() {
	d.changeMu.Lock()
	defer d.changeMu.Unlock()
	v := d.syncer.Current()
	if v.Sheet == nil || v.Targets == nil {
		return
	}
	d.relay.SetDocuments(v.Sheet, d.targetLists.apply(v.Targets))
	d.metrics.SheetRevision.Set(int64(v.Sheet.Revision))
	d.metrics.StoreEra.Set(int64(v.Targets.Era))
	d.metrics.TargetsRevision.Set(int64(v.Targets.Revision))
}

func (d *RelayDaemon) wireServers(deps RelayDeps) error {
	addresses := []string{d.settings.CallerAddress, d.settings.ReadyAddress, d.settings.PeerAddress}
	if d.settings.MetricsAddress != "" {
		addresses = append(addresses, d.settings.MetricsAddress)
	}
	listeners, err := listenAll(addresses)
	if err != nil {
		return err
	}
	maxConnections := int(d.settings.MaxCallerConnections)
	if maxConnections == 0 {
		maxConnections = connlimit.DefaultConnections(d.settings.MemoryMB << 20)
	}
	servers := deps.NewServers(listeners[0], listeners[1], d.relay, d.budget, maxConnections)
	servers = append(servers, &peerServer{
		server:   peerrpc.NewServer([]byte(d.settings.PeerKey), &relayPeerHandler{syncer: d.syncer, relay: d.relay, rateLimits: d.core.RateLimits(), budget: d.budget}, d.log),
		listener: listeners[2],
	})
	if len(listeners) > 3 {
		servers = append(servers, adminhttp.NewMetricsServer(listeners[3]))
	}
	d.app = kratos.New(
		kratos.Name("balsam-entry"),
		kratos.Server(servers...),
		kratos.Logger(kratosLogger{d.log}),
		kratos.StopTimeout(stopReserve),
		kratos.BeforeStop(func(context.Context) error { d.drainOnce.Do(d.drain); return nil }),
	)
	return nil
}

// Run serves until SIGTERM or SIGINT, then stops gracefully. It reloads the settings file at path
// when the file changes; the overrides apply to it as in settings.Load.
func (d *RelayDaemon) Run(path string, overrides ...string) error {
	ctx, cancel := context.WithCancel(context.Background())
	var background sync.WaitGroup
	background.Go(func() { d.syncer.Run(ctx) })
	background.Go(func() { d.core.WatchPauses(ctx) })
	background.Go(func() { d.maintain(ctx) })
	background.Go(func() { d.watchSettings(ctx, path, overrides) })
	d.metrics.Publish()
	d.relayMetrics.Publish()
	d.audit.Record(time.Now(), audit.Started, d.self.Entry, "incarnation "+d.self.Incarnation.String())
	err := d.app.Run()
	cancel()
	background.Wait()
	d.pool.Close()
	d.log.Info().Msg("entry stopped")
	if err != nil {
		return status.Wrap(err, status.Internal, "", "serving")
	}
	return nil
}

// maintain periodically removes expired state and updates the fleet, the homes and the readiness,
// until ctx ends.
func (d *RelayDaemon) maintain(ctx context.Context) {
	tick := time.NewTicker(maintenanceInterval)
	defer tick.Stop()
	readiness := time.NewTimer(startupReadinessInterval)
	defer readiness.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			d.core.ExpireNotices()
			d.core.SetPeers(peerNames(d.syncer))
			fleet := d.fleet()
			d.core.RateLimits().SetFleet(d.allocatorFleet(fleet.Entries))
		case <-readiness.C:
			fleet := d.fleet()
			d.relay.SetFleet(fleet)
			if d.core.RateLimits().Active() {
				d.core.RateLimits().SetFleet(d.allocatorFleet(fleet.Entries))
			}
			d.syncer.SetPinned(sameZoneHomes(&fleet))
			d.syncer.SetPartitioned(d.relay.UpdateReadiness(d.otherZoneLastHeard(), d.syncer.ZonePartitionedAt()))
			if d.self.Clock() < startupPeriod {
				readiness.Reset(startupReadinessInterval)
			} else {
				readiness.Reset(readinessInterval)
			}
		}
	}
}

// otherZoneLastHeard returns the time at which an entry in another zone was last known to be alive,
// or zero if none was.
func (d *RelayDaemon) otherZoneLastHeard() time.Time {
	var lastHeard time.Time
	for _, m := range d.syncer.Members() {
		if m.Zone != d.settings.Zone && m.LastSeen.After(lastHeard) {
			lastHeard = m.LastSeen
		}
	}
	return lastHeard
}

// fleet describes the entries of the fleet. It counts every peer that has ever been seen alive,
// because a peer that this entry cannot reach still uses its share of connections and repeats.
func (d *RelayDaemon) fleet() relay.Fleet {
	now := time.Now()
	var others []homes.Entry
	for _, m := range d.syncer.Members() {
		if m.Incarnation != (ids.Incarnation{}) {
			others = append(others, homes.Entry{ID: m.Entry, Zone: m.Zone, Address: m.Address,
				Capacity: m.Capacity, SinceLastSeen: now.Sub(m.LastSeen), Draining: m.Draining, Detached: m.Detached})
		}
	}
	self := homes.Entry{ID: d.settings.ID, Zone: d.settings.Zone, Capacity: cpuCapacity(d.settings)}
	fleet := relay.Fleet{Assignment: homes.Assign(d.homeSettings, self, others), OldestStart: d.syncer.OldestPeerStart(), Peers: detourPeers(d.syncer)}
	if len(others) == 0 && len(d.settings.Seeds) > 1 {
		fleet.Entries, fleet.Homes = relay.AssumedFleetSize, relay.AssumedFleetSize
	}
	return fleet
}

// allocatorFleet describes the entries that may allocate the rate limits of targets. entries is the
// number of entries of the fleet.
func (d *RelayDaemon) allocatorFleet(entries int) targetrate.Fleet {
	self := ratelimit.Entry{ID: d.settings.ID, Zone: d.settings.Zone, Address: d.settings.PeerAddress}
	fleet := allocatorFleet(self, d.core.Detached(), d.syncer)
	if len(fleet.Entries) <= 1 && entries > len(fleet.Entries) {
		fleet.AssumedEntries = entries
	}
	return fleet
}

// cpuCapacity returns the CPU capacity of this host in thousandths of a core.
func cpuCapacity(set *settings.Relay) uint32 { return uint32(set.Cores * 1_000) }

// sameZoneHomes returns the ids of the homes in the own zone, or nil while homes are not in use.
func sameZoneHomes(f *relay.Fleet) []string {
	if !f.Active() {
		return nil
	}
	names := make([]string, len(f.SameZone))
	for i := range f.SameZone {
		names[i] = f.SameZone[i].ID
	}
	return names
}

// seconds converts a number of seconds to a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// homeSettings returns the settings for the assignment of homes.
func homeSettings(set *settings.Relay) homes.Settings {
	h := homes.DefaultSettings()
	h.PerZone = int(set.HomesPerZone)
	h.EntriesPerHome = int(set.EntriesPerHome)
	h.MinEntries = int(set.HomesFrom)
	h.ReplaceAfter = max(h.ReplaceAfter, seconds(set.RepeatWindowS))
	return h
}

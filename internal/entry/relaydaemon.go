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
	"github.com/balsamstall/balsamstall/coordination/retrybudget"
	"github.com/balsamstall/balsamstall/internal/configsync"
	"github.com/balsamstall/balsamstall/internal/engine"
	"github.com/balsamstall/balsamstall/internal/relay"
	"github.com/balsamstall/balsamstall/internal/settings"
	"github.com/balsamstall/balsamstall/protocol/ids"
	"github.com/balsamstall/balsamstall/protocol/platformapi"
	"github.com/balsamstall/balsamstall/protocol/sheet"
	"github.com/balsamstall/balsamstall/protocol/status"
	"github.com/balsamstall/balsamstall/protocol/targetlist"
	"github.com/balsamstall/balsamstall/state/audit"
	"github.com/balsamstall/balsamstall/transport/adminhttp"
	"github.com/balsamstall/balsamstall/transport/peerrpc"
	"github.com/balsamstall/balsamstall/transport/targethttp"
)

const (
	// seedPrefix begins the id of an entry that is known by its address only.
	seedPrefix = "seed@"
	// relayWatchWait is how long a watch of the store waits. A watch may hear nothing
	// of a change; the next one does, in time for the 3 s within which it must be in
	// force. Each call has a price.
	relayWatchWait = 1500 * time.Millisecond
	// relayWatchGrace covers the exchanges in which the entries of a starting fleet get to
	// know each other.
	relayWatchGrace = 2 * time.Second
	// relayYieldAfter lets another entry take the watcher role over within the 3 s in
	// which a change must be in force; relayYieldFor bounds the calls of entries that the
	// platform turns away.
	relayYieldAfter = 300 * time.Millisecond
	relayYieldFor   = 4 * time.Second
	// relaySettleOutage is shorter than the three heartbeats of 1.2 s after which the
	// store removes a silent target.
	relaySettleOutage = 3 * time.Second
	// relaySettleTime covers the 2 s in which targets that lapsed are back.
	relaySettleTime = 2200 * time.Millisecond
	// relayPollInterval is the interval at which entries read the store that do not
	// watch it. They learn from their peers.
	relayPollInterval = 10 * time.Minute
	// relayMaxBackoff bounds the pause after failed calls, so that an entry knows the
	// present state within the 3 s after an outage in which it must be in force.
	relayMaxBackoff = time.Second
	// balancerNotice is the time from a stop signal until the balancer sends no new
	// connections: two checks of one second, and one more on their way.
	balancerNotice = 2500 * time.Millisecond
	// stopReserve is kept before the kill for the last answers and the exit.
	stopReserve = 700 * time.Millisecond
	// fitnessInterval is the interval at which readiness and the homes are decided anew.
	// The balancer asks once a second.
	fitnessInterval = 100 * time.Millisecond
	// youngPeriod is the age of the process up to which they are decided every
	// youngInterval: after a loss of power the entries get to know each other within half
	// a second.
	youngPeriod   = 2 * time.Second
	youngInterval = 50 * time.Millisecond
	// stopPoll is the interval at which a stopping entry looks for running requests.
	stopPoll = 20 * time.Millisecond
)

// RelayPorts connects a relay to its surroundings.
type RelayPorts struct {
	// Documents is where the sheet and the target list are read.
	Documents configsync.Platform
	// Targets returns the client of the targets.
	Targets func(targethttp.Metrics) relay.TargetClient
	// Servers returns the servers of callers and of readiness checks.
	Servers func(callers, ready net.Listener, r *relay.Relay) []transport.Server
}

// RelayDaemon is one entry process that relays requests. It keeps no permits and no
// journal: a request that may run once at most is one attempt chain.
type RelayDaemon struct {
	settings *settings.Relay
	self     Identity
	log      zerolog.Logger
	metrics  *Metrics
	answers  relay.Metrics
	audit    *audit.Trail
	core     *engine.Engine
	relay    *relay.Relay
	pool     *peerrpc.Pool
	homes    homes.Settings
	syncer   *configsync.Syncer
	app      *kratos.App
	// stopOnce keeps a second stop signal from stopping again.
	stopOnce sync.Once
}

// NewRelayDaemon opens the listeners and wires the parts of an entry that relays.
func NewRelayDaemon(set *settings.Relay, log zerolog.Logger, ports RelayPorts) (*RelayDaemon, error) {
	d := &RelayDaemon{
		settings: set,
		self:     Identity{Entry: set.ID, Zone: set.Zone, Incarnation: ids.NewIncarnation(), Start: time.Now()},
		log:      log.With().Str("entry", set.ID).Logger(),
		metrics:  NewMetrics(),
	}
	d.homes = homeSettings(set)
	d.audit = audit.New(d.log)
	d.pool = peerrpc.NewPool([]byte(set.PeerKey), peerrpc.Options{})
	targets := ports.Targets(d.metrics)
	d.core = engine.New(engine.Config{
		Self:         d.self,
		Log:          d.log,
		Targets:      targets,
		GuardKey:     []byte(set.PeerKey),
		PolicyOn:     true,
		Metrics:      &d.metrics.Metrics,
		RequestLines: uint32(set.RequestLinesPerSecond),
		Spread:       func() { d.syncer.Spread() },
		Verify:       func() { d.syncer.Refresh(context.Background()) },
		Audit:        d.audit,
	})
	d.relay = relay.New(relay.Config{
		Self:    d.self,
		Engine:  d.core,
		Metrics: &d.answers,
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
	d.wireSync(ports.Documents)
	d.core.SetPeers(livePeers(d.syncer))
	d.relay.SetFleet(d.fleet())
	return d, d.wireServers(ports)
}

func (d *RelayDaemon) wireSync(documents configsync.Platform) {
	set := d.settings
	d.syncer = configsync.New(configsync.Config{
		Keys:             []string{platformapi.SheetKey, platformapi.TargetsKey},
		Entry:            set.ID,
		Zone:             set.Zone,
		Address:          set.PeerAddress,
		Incarnation:      d.self.Incarnation,
		Capacity:         capacityOf(set),
		Peers:            d.seeds(set.Seeds),
		WatchersPerZone:  int(set.WatchersPerZone),
		ExchangeInterval: time.Duration(set.ExchangeIntervalMS) * time.Millisecond,
		PollInterval:     relayPollInterval,
		HostInterval:     relayPollInterval,
		WatchWait:        relayWatchWait,
		MaxBackoff:       relayMaxBackoff,
		Lossless:         true,
		Named:            slices.Contains(set.Seeds, set.PeerAddress),
		WatchGrace:       relayWatchGrace,
		YieldAfter:       relayYieldAfter,
		YieldFor:         relayYieldFor,
		SettleKey:        platformapi.TargetsKey,
		SettleOutage:     relaySettleOutage,
		SettleTime:       relaySettleTime,
	}, configsync.Deps{
		Platform:      documents,
		Peers:         d.pool,
		Facts:         newFacts(d.self, d.core),
		Audit:         d.audit,
		Log:           d.log,
		ParseSheet:    sheet.Parse,
		ParseTargets:  targetlist.Parse,
		CheckSheet:    checkSheet,
		CheckTargets:  (*targetlist.Document).Err,
		OnReadFailure: func(key string) { d.metrics.PlatformFailures.Add(key, 1) },
		OnChange:      d.onChange,
	})
}

// seeds lists the addresses of the settings as peers without a known id.
func (d *RelayDaemon) seeds(addresses []string) []configsync.Peer {
	var peers []configsync.Peer
	for _, a := range addresses {
		if a != d.settings.PeerAddress {
			peers = append(peers, configsync.Peer{Entry: seedPrefix + a, Address: a})
		}
	}
	return peers
}

// onChange puts new documents in force once both are known.
func (d *RelayDaemon) onChange(v *configsync.View) {
	if v.Sheet == nil || v.Targets == nil {
		return
	}
	d.relay.SetDocuments(v.Sheet, v.Targets)
	d.metrics.SheetRevision.Set(int64(v.Sheet.Revision))
	d.metrics.TargetsRevision.Set(int64(v.Targets.Revision))
}

func (d *RelayDaemon) wireServers(ports RelayPorts) error {
	addresses := []string{d.settings.CallerAddress, d.settings.ReadyAddress, d.settings.PeerAddress}
	if d.settings.MetricsAddress != "" {
		addresses = append(addresses, d.settings.MetricsAddress)
	}
	listeners, err := listenAll(addresses)
	if err != nil {
		return err
	}
	servers := ports.Servers(listeners[0], listeners[1], d.relay)
	servers = append(servers, &peerServer{
		server:   peerrpc.NewServer([]byte(d.settings.PeerKey), &relayPeerHandler{syncer: d.syncer, relay: d.relay}, d.log),
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
		kratos.BeforeStop(func(context.Context) error { d.stopOnce.Do(d.stop); return nil }),
	)
	return nil
}

// Run serves until SIGTERM or SIGINT, then stops gracefully. It reads the settings
// file at path again when it changes.
func (d *RelayDaemon) Run(path string) error {
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { d.syncer.Run(ctx) })
	running.Go(func() { d.core.WatchPauses(ctx) })
	running.Go(func() { d.maintain(ctx) })
	running.Go(func() { d.watchSettings(ctx, path) })
	d.metrics.Publish()
	d.answers.Publish()
	d.audit.Record(time.Now(), audit.Started, d.self.Entry, "incarnation "+d.self.Incarnation.String())
	err := d.app.Run()
	cancel()
	running.Wait()
	d.pool.Close()
	d.log.Info().Msg("entry stopped")
	if err != nil {
		return status.Wrap(err, status.Internal, "", "serving")
	}
	return nil
}

// maintain does periodic work until ctx ends.
func (d *RelayDaemon) maintain(ctx context.Context) {
	tick := time.NewTicker(maintenanceInterval)
	defer tick.Stop()
	fitness := time.NewTimer(youngInterval)
	defer fitness.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			d.core.Expire()
			d.core.SetPeers(livePeers(d.syncer))
		case <-fitness.C:
			fleet := d.fleet()
			d.relay.SetFleet(fleet)
			d.syncer.Pin(homesOfZone(&fleet))
			d.syncer.SetCutOff(d.relay.UpdateReadiness(d.otherZoneHeard(), d.syncer.ZoneCutOff()))
			if d.self.Clock() < youngPeriod {
				fitness.Reset(youngInterval)
			} else {
				fitness.Reset(fitnessInterval)
			}
		}
	}
}

// otherZoneHeard returns the time at which an entry of another zone was last heard,
// zero when none ever was.
func (d *RelayDaemon) otherZoneHeard() time.Time {
	var heard time.Time
	for _, m := range d.syncer.Members() {
		if m.Zone != d.settings.Zone && m.Heard.After(heard) {
			heard = m.Heard
		}
	}
	return heard
}

// fleet describes the entries. It counts every peer that was ever heard: one that is cut
// off from this entry still uses its share of connections and repeats.
func (d *RelayDaemon) fleet() relay.Fleet {
	now := time.Now()
	var others []homes.Entry
	for _, m := range d.syncer.Members() {
		if m.Incarnation != (ids.Incarnation{}) {
			others = append(others, homes.Entry{ID: m.Entry, Zone: m.Zone, Address: m.Address,
				Capacity: m.Capacity, Silent: now.Sub(m.Heard), Draining: m.Draining})
		}
	}
	self := homes.Entry{ID: d.settings.ID, Zone: d.settings.Zone, Capacity: capacityOf(d.settings)}
	fleet := relay.Fleet{Assignment: homes.Assign(d.homes, self, others), OldestStart: d.syncer.OldestPeer()}
	if len(others) == 0 && len(d.settings.Seeds) > 1 {
		fleet.Entries, fleet.Homes = relay.AssumedFleetSize, relay.AssumedFleetSize
	}
	return fleet
}

// capacityOf returns the processor of this host in thousandths of a core.
func capacityOf(set *settings.Relay) uint32 { return uint32(set.Cores * 1_000) }

// homesOfZone names the homes of the own zone.
func homesOfZone(f *relay.Fleet) []string {
	if !f.Active() {
		return nil
	}
	names := make([]string, len(f.Own))
	for i := range f.Own {
		names[i] = f.Own[i].ID
	}
	return names
}

// stop is the planned stop: not ready at once, requests on open connections are
// served until the balancer has noticed and none is running any more.
func (d *RelayDaemon) stop() {
	began := time.Now()
	end := began.Add(seconds(d.settings.GraceS) - 2*stopReserve)
	d.relay.BeginStop()
	d.syncer.SetDraining()
	d.audit.Record(began, audit.DrainStarted, d.self.Entry, "not ready; requests are served until the balancer has noticed")
	time.Sleep(min(balancerNotice, time.Until(end)))
	for d.relay.Running() > 0 && time.Now().Before(end) {
		time.Sleep(stopPoll)
	}
	d.relay.Abort()
	d.audit.Record(time.Now(), audit.Stopped, d.self.Entry, "closing connections")
}

// seconds returns a duration of the given number of seconds.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// homeSettings returns the settings of the choice of homes.
func homeSettings(set *settings.Relay) homes.Settings {
	h := homes.NewSettings()
	h.PerZone = int(set.HomesPerZone)
	h.EntriesPerHome = int(set.EntriesPerHome)
	h.MinEntries = int(set.HomesFrom)
	h.ReplaceAfter = max(h.ReplaceAfter, seconds(set.RepeatWindowS))
	return h
}

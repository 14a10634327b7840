package entry

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/go-kratos/kratos/v2"
	"github.com/rs/zerolog"

	"github.com/balsamstall/balsamstall/coordination/ratelimit"
	"github.com/balsamstall/balsamstall/internal/configsync"
	"github.com/balsamstall/balsamstall/internal/settings"
	"github.com/balsamstall/balsamstall/protocol/ids"
	"github.com/balsamstall/balsamstall/protocol/status"
	"github.com/balsamstall/balsamstall/state/audit"
	"github.com/balsamstall/balsamstall/state/bytebudget"
	"github.com/balsamstall/balsamstall/transport/adminhttp"
	"github.com/balsamstall/balsamstall/transport/callerhttp"
	"github.com/balsamstall/balsamstall/transport/peerrpc"
	"github.com/balsamstall/balsamstall/transport/platformhttp"
	"github.com/balsamstall/balsamstall/transport/targethttp"
)

const (
	// maintenanceInterval is the interval at which expired state is removed and the number and
	// names of the other entries are updated.
	maintenanceInterval = time.Second
	// stopTimeout limits the time for closing the servers after the drain.
	stopTimeout = 10 * time.Second
)

// Daemon is an entry process that searches the shards and merges the results itself.
type Daemon struct {
	settings *settings.Entry
	self     Identity
	log      zerolog.Logger
	engine   *Engine
	targets  *targethttp.Client
	pool     *peerrpc.Pool
	platform *platformhttp.Client
	syncer   *configsync.Syncer
	audit    *audit.Trail
	metrics  *Metrics
	budget   *bytebudget.Budget
	facts    *factExchange
	app      *kratos.App
	// drainOnce prevents a second stop signal from starting another drain.
	drainOnce sync.Once
	cancel    context.CancelFunc
	syncDone  chan struct{}
}

// NewDaemon opens the listeners and connects the components of an entry.
func NewDaemon(set *settings.Entry, log zerolog.Logger) (*Daemon, error) {
	d := &Daemon{
		settings: set,
		self:     Identity{Entry: set.ID, Zone: set.Zone, Incarnation: ids.NewIncarnation(), Start: time.Now()},
		log:      log.With().Str("entry", set.ID).Logger(),
		metrics:  NewMetrics(),
		syncDone: make(chan struct{}),
	}
	d.audit = audit.New(d.log)
	d.budget = newBudget(set.HeldBytes(set.MemoryMB), d.metrics, d.log)
	d.targets = targethttp.New(d.metrics)
	d.targets.SetBudget(d.budget)
	d.pool = peerrpc.NewPool([]byte(set.PeerKey), peerrpc.Options{})
	platform, err := platformhttp.New(set.PlatformAddress, set.ID, platformhttp.Options{})
	if err != nil {
		return nil, err
	}
	d.platform = platform
	d.engine = New(Config{
		Self:        d.self,
		Log:         d.log,
		Targets:     d.targets,
		Peers:       d,
		PermitKey:   []byte(set.PermitKey),
		PolicyOn:    set.PolicyMode == settings.PolicyOn,
		Metrics:     d.metrics,
		NotifyPeers: func() { d.syncer.NotifyPeers() },
		Verify:      func() { d.syncer.Refresh(context.Background()) },
		Audit:       d.audit,
		Tokens:      d.pool.Tokens,
		ReachedTargets: func(ctx context.Context) []string {
			return reachedTargets(ctx, d.syncer, d.pool, d.log)
		},
		OnDetached: func(detached bool) { d.syncer.SetDetached(detached) },
	})
	d.facts = newFactExchange(d.self, d.engine.core)
	d.wireSync()
	d.engine.core.SetPeers(peerNames(d.syncer))
	return d, d.wireServers()
}

func (d *Daemon) wireServers() error {
	listeners, err := listenAll([]string{d.settings.CallerAddress, d.settings.AdminAddress, d.settings.PeerAddress})
	if err != nil {
		return err
	}
	caller := callerhttp.NewServer(listeners[0], d.engine, callerhttp.Options{
		MaxBodyBytes:   d.settings.MaxBodyBytes,
		MaxConnections: int(d.settings.MaxCallerConnections),
		Budget:         d.budget,
	})
	admin := adminhttp.NewServer(listeners[1], d, d.settings.AdminKey)
	peers := &peerServer{
		server:   peerrpc.NewServer([]byte(d.settings.PeerKey), &peerHandler{engine: d.engine, syncer: d.syncer, rateLimits: d.engine.core.RateLimits()}, d.log),
		listener: listeners[2],
	}
	d.app = kratos.New(
		kratos.Name("balsam-entry"),
		kratos.Server(caller, admin, peers),
		kratos.Logger(kratosLogger{d.log}),
		kratos.StopTimeout(stopTimeout),
		kratos.BeforeStop(func(context.Context) error { d.drainOnce.Do(d.drain); return nil }),
	)
	return nil
}

// listenAll opens a listener on each address. If one fails, it closes the others.
func listenAll(addresses []string) ([]net.Listener, error) {
	listeners := make([]net.Listener, 0, len(addresses))
	for _, address := range addresses {
		lis, err := net.Listen("tcp", address)
		if err != nil {
			for _, l := range listeners {
				l.Close()
			}
			return nil, status.Wrap(err, status.Unavailable, "", "listen on %s", address)
		}
		listeners = append(listeners, lis)
	}
	return listeners, nil
}

// Run serves until SIGTERM, SIGINT or Shutdown, then stops gracefully.
func (d *Daemon) Run() error {
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	go func() {
		defer close(d.syncDone)
		d.syncer.Run(ctx)
	}()
	maintenanceDone := make(chan struct{})
	go func() {
		defer close(maintenanceDone)
		d.maintain(ctx)
	}()
	d.metrics.Publish()
	go d.engine.pollStatuses(ctx)
	go d.engine.core.WatchPauses(ctx)
	d.audit.Record(time.Now(), audit.Started, d.self.Entry, "incarnation "+d.self.Incarnation.String())
	d.log.Info().Str("incarnation", d.self.Incarnation.String()).Str("callers", d.settings.CallerAddress).Msg("entry started")
	err := d.app.Run()
	cancel()
	<-d.syncDone
	<-maintenanceDone
	d.pool.Close()
	d.platform.Close()
	d.targets.Close()
	d.log.Info().Msg("entry stopped")
	if err != nil {
		return status.Wrap(err, status.Internal, "", "serving")
	}
	return nil
}

// entryCount returns the number of entries: this one and the peers that are alive or listed. A
// peer that this entry cannot reach may still use its share of the connections.
func (d *Daemon) entryCount() int {
	n := 1
	for _, m := range d.syncer.Members() {
		if m.Alive || m.Listed {
			n++
		}
	}
	return n
}

// Shutdown starts a graceful shutdown.
func (d *Daemon) Shutdown() error { return d.app.Stop() }

// Engine returns the request engine.
func (d *Daemon) Engine() *Engine { return d.engine }

// maintain periodically removes expired state and updates the set of peers until ctx ends.
func (d *Daemon) maintain(ctx context.Context) {
	tick := time.NewTicker(maintenanceInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			now := d.self.Clock()
			d.engine.journal.Expire(now)
			d.engine.inherited.Expire(now)
			d.engine.core.ExpireNotices()
			d.engine.SetEntries(d.entryCount())
			d.engine.core.SetPeers(peerNames(d.syncer))
			d.engine.core.RateLimits().SetFleet(allocatorFleet(ratelimit.Entry{ID: d.settings.ID, Zone: d.settings.Zone, Address: d.settings.PeerAddress}, d.engine.core.Detached(), d.syncer))
			if d.settings.PolicyMode == settings.PolicyOn {
				d.targets.OpenSpares()
			}
		}
	}
}

// Package target is a stand-in for the servers that search shards. It serves the target protocol
// with deterministic hits, records the attempts that ran, and injects faults on command.
package target

import (
	"context"
	"errors"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/balsamstall/balsamstall/internal/standin/tracked"
	"github.com/balsamstall/balsamstall/protocol/ids"
	"github.com/balsamstall/balsamstall/protocol/status"
	"github.com/balsamstall/balsamstall/protocol/targetapi"
)

// coldFactor is the factor by which service times of a cold target are longer.
const coldFactor = 4

// Target serves searches of shards.
type Target struct {
	cfg     Config
	log     zerolog.Logger
	slots   chan struct{}
	waiting atomic.Int64
	running atomic.Int64
	record  recorder
	counts  counters
	history stateHistory
	// statusLag is the lag of the status report unless a fault sets another.
	statusLag time.Duration
	// closing is closed by Shutdown and Close. It ends waits that have no time limit.
	closing chan struct{}

	// serving counts the goroutines that accept connections.
	serving sync.WaitGroup
	// allTargets returns all targets of the process for the control interface.
	allTargets func() []*Target

	mu sync.Mutex
	// The fields below are guarded by mu. listener and server are nil before the start and after a
	// crash.
	rng          *rand.Rand
	faultRNG     *rand.Rand
	listener     *tracked.Listener
	server       *http.Server
	restartTimer *time.Timer
	closed       bool
	address      string
	startedAt    time.Time
	snapshots    map[string][]ids.Snapshot
	activeFaults map[Fault]*activeFault
	// lateDuplicates holds copies of replies, to be sent before the next reply of the connection.
	lateDuplicates map[*tracked.Conn][]byte
}

// New returns a target that serves the given snapshots of each service. Fields of cfg that are zero
// get their defaults.
func New(cfg Config, services map[string]Service, log zerolog.Logger) *Target {
	cfg = cfg.withDefaults()
	t := &Target{
		cfg:     cfg,
		log:     log.With().Str("target", cfg.ID).Logger(),
		slots:   make(chan struct{}, cfg.Slots),
		record:  recorder{limit: cfg.RecordLimit},
		closing: make(chan struct{}),
		rng:     rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)),
		address: cfg.Address,

		statusLag:      time.Duration(cfg.StatusLagMS) * time.Millisecond,
		faultRNG:       newFaultRNG(cfg.Seed),
		activeFaults:   make(map[Fault]*activeFault),
		lateDuplicates: make(map[*tracked.Conn][]byte),
		snapshots:      make(map[string][]ids.Snapshot, len(services)),
	}
	t.allTargets = func() []*Target { return []*Target{t} }
	for name, s := range services {
		t.snapshots[name] = slices.Clone(s.Snapshots)
	}
	return t
}

// ID returns the id of the target.
func (t *Target) ID() string { return t.cfg.ID }

// Addr returns the address that the target listens on.
func (t *Target) Addr() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.address
}

// Listen listens on the configured address and starts to serve it. The error is a *status.Error with
// the code unavailable.
func (t *Target) Listen() error {
	ln, err := net.Listen("tcp", t.Addr())
	if err != nil {
		return status.Wrap(err, status.Unavailable, "", "target %s cannot listen on %s", t.cfg.ID, t.Addr())
	}
	t.Start(ln)
	return nil
}

// Start serves ln in the background until Shutdown, Close or a crash. The target is cold for the
// configured time from now on. If the target is closed, Start closes ln.
func (t *Target) Start(ln net.Listener) {
	listener := tracked.NewListener(ln, t.cfg.MaxConnections, &t.counts.connections)
	server := &http.Server{Handler: t.handler(), ConnContext: tracked.ConnContext}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		ln.Close() // It has accepted no connection.
		return
	}
	t.listener = listener
	t.server = server
	t.address = ln.Addr().String()
	t.startedAt = time.Now()
	t.serving.Go(func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			t.log.Error().Err(err).Msg("listener failed")
		}
	})
}

// Shutdown stops accepting connections and waits for running attempts until ctx ends.
func (t *Target) Shutdown(ctx context.Context) error {
	server := t.stop()
	if server == nil {
		return nil
	}
	defer t.serving.Wait()
	if err := server.Shutdown(ctx); err != nil {
		server.Close()
		return status.Wrap(err, status.DeadlineExceeded, "", "target %s still had running attempts", t.cfg.ID)
	}
	return nil
}

// Close stops the target and closes all connections immediately.
func (t *Target) Close() {
	if server := t.stop(); server != nil {
		server.Close() // It only returns the error of closing the listener.
	}
	t.serving.Wait()
}

// stop marks the target as closed, which ends waiting attempts, cancels a pending restart and returns
// the running server, if any.
func (t *Target) stop() *http.Server {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.closed {
		t.closed = true
		close(t.closing)
	}
	if t.restartTimer != nil {
		t.restartTimer.Stop()
	}
	return t.server
}

// SetSnapshots replaces the available snapshots of one service. Attempts that ask for other snapshots
// are refused with version_unavailable.
func (t *Target) SetSnapshots(service string, snapshots []ids.Snapshot) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.snapshots[service] = slices.Clone(snapshots)
}

// SetDraining starts or ends the refusal of new attempts. Running attempts continue.
func (t *Target) SetDraining(draining bool) {
	t.apply(Command{Fault: FaultDrain, Off: !draining}, nil)
}

func (t *Target) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+targetapi.SearchPath, t.search)
	mux.HandleFunc("GET "+targetapi.StatusPath, t.status)
	controlAPI{self: t, allTargets: t.allTargets}.register(mux)
	return mux
}

// serviceTime returns a random service time for one attempt.
func (t *Target) serviceTime(query string, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	ms := t.cfg.ServiceTimeMSMedian * math.Exp(t.cfg.ServiceTimeSigma*t.rng.NormFloat64())
	if t.isCold(now) {
		ms *= coldFactor
	}
	if active := t.matchFaultLocked(FaultSlow, query, now); active != nil {
		ms *= active.Factor
	}
	return milliseconds(ms)
}

// isCold reports whether the target started recently. t.mu must be held.
func (t *Target) isCold(now time.Time) bool {
	return now.Sub(t.startedAt) < time.Duration(t.cfg.ColdMS)*time.Millisecond
}

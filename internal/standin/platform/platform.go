// Package platform is a stand-in for the platform's configuration service and host list. It injects
// faults on command.
package platform

import (
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/time/rate"

	"github.com/balsamstall/balsamstall/internal/standin/tracked"
	"github.com/balsamstall/balsamstall/protocol/document"
	"github.com/balsamstall/balsamstall/protocol/platformapi"
	"github.com/balsamstall/balsamstall/protocol/status"
)

// maxValueBytes is the maximum size of a document.
const maxValueBytes = document.MaxValueSize

// maxVersions is the number of versions kept of each document, which a stale replica can serve.
const maxVersions = 64

// maxHostLists is the number of host lists kept, so that clients can see them with a lag.
const maxHostLists = 1_024

// staleSeed seeds the random choice of the calls that a stale replica serves.
const staleSeed = 1

// Platform serves versioned documents and the host list.
type Platform struct {
	log            zerolog.Logger
	callsPerSecond int64
	hostsLag       time.Duration
	controlAddress string
	calls          callCounter
	connections    tracked.Counts
	// closing is closed by Shutdown and Close. It ends waiting watches and hanging calls.
	closing chan struct{}
	// serving counts the goroutines that accept connections.
	serving sync.WaitGroup

	mu sync.Mutex
	// The fields below are guarded by mu. listener and server are nil before the start and while
	// connections are refused.
	listener         *tracked.Listener
	server           *http.Server
	controlServer    *http.Server
	address          string
	closed           bool
	listenRetryTimer *time.Timer
	// documents holds the most recent versions of each document by key, oldest first.
	documents map[string][]platformapi.Document
	// changed is closed and replaced when a document or a fault changes.
	changed      chan struct{}
	hosts        []datedHosts
	activeFaults map[Fault]*activeFault
	limiter      *rate.Limiter
	rng          *rand.Rand
}

// datedHosts is a host list and the time since which it is current.
type datedHosts struct {
	since time.Time
	hosts []platformapi.Host
}

// New returns a platform with the documents and hosts of the settings. Errors are of type
// *status.Error.
func New(s *Settings, log zerolog.Logger) (*Platform, error) {
	p := &Platform{
		log:            log,
		callsPerSecond: s.CallsPerSecond,
		hostsLag:       time.Duration(s.HostsLagMS) * time.Millisecond,
		controlAddress: s.ControlAddress,
		closing:        make(chan struct{}),
		address:        s.Address,
		documents:      make(map[string][]platformapi.Document),
		changed:        make(chan struct{}),
		activeFaults:   make(map[Fault]*activeFault),
		rng:            rand.New(rand.NewPCG(staleSeed, staleSeed)),
	}
	p.setRateLimit(s.CallsPerSecond)
	for _, key := range s.documentKeys() {
		value, err := s.readDocument(key)
		if err != nil {
			return nil, status.Wrap(err, status.InvalidArgument, "", "document %q cannot be published", key)
		}
		if _, err := p.Publish(key, value); err != nil {
			return nil, err
		}
	}
	// The first list is visible from the start, regardless of the lag.
	p.hosts = []datedHosts{{hosts: slices.Clone(s.Hosts)}}
	return p, nil
}

// Publish stores a new version of the document with the given key, notifies its watches and returns
// the version. The error has the code invalid_argument or too_large.
func (p *Platform) Publish(key string, value json.RawMessage) (uint64, error) {
	if err := checkValue(value); err != nil {
		code := status.InvalidArgument
		if errors.Is(err, errTooLarge) {
			code = status.TooLarge
		}
		return 0, status.Wrap(err, code, "", "key %q cannot be published", key)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	versions := p.documents[key]
	version := uint64(1)
	if n := len(versions); n > 0 {
		version = versions[n-1].Version + 1
	}
	versions = append(versions, platformapi.Document{Key: key, Version: version, Value: slices.Clone(value)})
	if len(versions) > maxVersions {
		versions = versions[1:]
	}
	p.documents[key] = versions
	p.notifyWatches()
	p.log.Info().Str("key", key).Uint64("version", version).Msg("published")
	return version, nil
}

// notifyWatches makes the waiting watches check their document and the faults again. p.mu must be
// held.
func (p *Platform) notifyWatches() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// SetHosts replaces the host list. Clients see it after the lag.
func (p *Platform) SetHosts(hosts []platformapi.Host) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hosts = append(p.hosts, datedHosts{since: time.Now(), hosts: slices.Clone(hosts)})
	if len(p.hosts) > maxHostLists {
		p.hosts = p.hosts[1:]
	}
}

// visibleHosts returns the list that was current at the time now minus the lag.
func (p *Platform) visibleHosts(now time.Time) []platformapi.Host {
	p.mu.Lock()
	defer p.mu.Unlock()
	lag := p.hostsLag
	if active := p.activeFaults[FaultHostsLag]; active != nil {
		lag = time.Duration(active.LagMS) * time.Millisecond
	}
	cutoff := now.Add(-lag)
	for _, list := range slices.Backward(p.hosts) {
		if !list.since.After(cutoff) {
			return list.hosts
		}
	}
	return p.hosts[0].hosts
}

// Package platform is a stand-in for the platform's configuration service and
// host list. It shows faults on command.
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
	"github.com/balsamstall/balsamstall/protocol/platformapi"
	"github.com/balsamstall/balsamstall/protocol/status"
)

// maxValueBytes is the largest value that the platform holds.
const maxValueBytes = 1 << 20

// maxVersions bounds the versions kept per key for stale replicas.
const maxVersions = 64

// maxHostLists bounds the host lists kept for the lag.
const maxHostLists = 1_024

// staleSeed seeds the draws of calls that reach a stale replica.
const staleSeed = 1

// Platform is a stand-in platform.
type Platform struct {
	log            zerolog.Logger
	callsPerSecond int64
	hostsLag       time.Duration
	controlAddress string
	calls          callCounter
	connections    tracked.Counts
	// closing is closed by Shutdown and Close. It ends waiting watches.
	closing chan struct{}
	// serving counts the goroutines that accept connections.
	serving sync.WaitGroup

	mu sync.Mutex
	// The fields below are guarded by mu. The listener and the server are nil
	// before the start and while connections are refused.
	listener *tracked.Listener
	server   *http.Server
	control  *http.Server
	address  string
	closed   bool
	retry    *time.Timer
	// documents holds the newest versions by key, oldest first.
	documents map[string][]platformapi.Document
	// changed is closed and replaced when a version or a fault changes.
	changed chan struct{}
	hosts   []hostsAt
	rules   map[Fault]*rule
	limiter *rate.Limiter
	rng     *rand.Rand
}

// hostsAt is a host list and the time since which it holds.
type hostsAt struct {
	since time.Time
	hosts []platformapi.Host
}

// New returns a platform with the documents and hosts of the settings. Errors
// are of type *status.Error.
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
		rules:          make(map[Fault]*rule),
		rng:            rand.New(rand.NewPCG(staleSeed, staleSeed)),
	}
	p.setRate(s.CallsPerSecond)
	for _, key := range s.keys() {
		value, err := s.read(key)
		if err != nil {
			return nil, status.Wrap(err, status.InvalidArgument, "", "document %q cannot be published", key)
		}
		if _, err := p.Publish(key, value); err != nil {
			return nil, err
		}
	}
	// The first list is in force from the beginning, without lag.
	p.hosts = []hostsAt{{hosts: slices.Clone(s.Hosts)}}
	return p, nil
}

// Publish stores a new version of key and wakes its watches. It returns the
// version. The error has the code invalid_argument or too_large.
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
	p.wake()
	p.log.Info().Str("key", key).Uint64("version", version).Msg("published")
	return version, nil
}

// wake makes the waiting watches look again. It needs p.mu.
func (p *Platform) wake() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// SetHosts replaces the host list. Readers see it after the lag.
func (p *Platform) SetHosts(hosts []platformapi.Host) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hosts = append(p.hosts, hostsAt{since: time.Now(), hosts: slices.Clone(hosts)})
	if len(p.hosts) > maxHostLists {
		p.hosts = p.hosts[1:]
	}
}

// visibleHosts returns the list that was current one lag ago.
func (p *Platform) visibleHosts(now time.Time) []platformapi.Host {
	p.mu.Lock()
	defer p.mu.Unlock()
	lag := p.hostsLag
	if r := p.rules[FaultHostsLag]; r != nil {
		lag = time.Duration(r.LagMS) * time.Millisecond
	}
	then := now.Add(-lag)
	for _, list := range slices.Backward(p.hosts) {
		if !list.since.After(then) {
			return list.hosts
		}
	}
	return p.hosts[0].hosts
}

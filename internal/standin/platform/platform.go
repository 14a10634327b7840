// Package platform is a stand-in for the platform's configuration service and
// host list. It shows faults on command.
package platform

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/balsamstall/balsamstall/protocol/platformapi"
	"github.com/balsamstall/balsamstall/protocol/status"
)

// maxValueBytes is the largest value that the platform holds.
const maxValueBytes = 1 << 20

// maxVersions bounds the versions kept per key for stale replicas.
const maxVersions = 64

// maxHostLists bounds the host lists kept for the lag.
const maxHostLists = 1_024

// Platform is a stand-in platform.
type Platform struct {
	log zerolog.Logger
	// closing is closed by Shutdown and Close. It ends waiting watches.
	closing   chan struct{}
	closeOnce sync.Once

	mu sync.Mutex
	// The fields below are guarded by mu.
	server    *http.Server
	address   string
	documents map[string]*history
	hosts     []hostsAt
	hostsLag  time.Duration
}

// history holds the newest versions of one key, oldest first.
type history struct {
	versions []platformapi.Document
	// changed is closed and replaced when a version is added.
	changed chan struct{}
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
		log:       log,
		closing:   make(chan struct{}),
		address:   s.Address,
		documents: make(map[string]*history),
		hostsLag:  time.Duration(s.HostsLagMS) * time.Millisecond,
	}
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

// Addr returns the address that the platform listens on.
func (p *Platform) Addr() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.address
}

// Listen opens the configured address and starts to serve it. The error is a
// *status.Error with the code unavailable.
func (p *Platform) Listen() error {
	ln, err := net.Listen("tcp", p.Addr())
	if err != nil {
		return status.Wrap(err, status.Unavailable, "", "the platform cannot listen on %s", p.Addr())
	}
	p.Start(ln)
	return nil
}

// Start serves ln in the background until Shutdown or Close.
func (p *Platform) Start(ln net.Listener) {
	server := &http.Server{Handler: p.handler()}
	p.mu.Lock()
	p.server = server
	p.address = ln.Addr().String()
	p.mu.Unlock()
	go func() {
		if err := server.Serve(ln); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			p.log.Error().Err(err).Msg("listener failed")
		}
	}()
}

// Shutdown ends waiting watches, stops accepting connections and waits for
// running calls until ctx ends.
func (p *Platform) Shutdown(ctx context.Context) error {
	p.closeOnce.Do(func() { close(p.closing) })
	p.mu.Lock()
	server := p.server
	p.mu.Unlock()
	if server == nil {
		return nil
	}
	if err := server.Shutdown(ctx); err != nil {
		server.Close()
		return status.Wrap(err, status.DeadlineExceeded, "", "the platform still had running calls")
	}
	return nil
}

// Close stops the platform at once.
func (p *Platform) Close() {
	p.closeOnce.Do(func() { close(p.closing) })
	p.mu.Lock()
	server := p.server
	p.mu.Unlock()
	if server != nil {
		server.Close() // Only the listener's close can fail, and it is gone either way.
	}
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
	h := p.history(key)
	version := uint64(1)
	if n := len(h.versions); n > 0 {
		version = h.versions[n-1].Version + 1
	}
	h.versions = append(h.versions, platformapi.Document{Key: key, Version: version, Value: slices.Clone(value)})
	if len(h.versions) > maxVersions {
		h.versions = h.versions[1:]
	}
	close(h.changed)
	h.changed = make(chan struct{})
	p.log.Info().Str("key", key).Uint64("version", version).Msg("published")
	return version, nil
}

// history returns the versions of key. It needs p.mu.
func (p *Platform) history(key string) *history {
	h := p.documents[key]
	if h == nil {
		h = &history{changed: make(chan struct{})}
		p.documents[key] = h
	}
	return h
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

// SetHostsLag sets the age of the host list that readers see.
func (p *Platform) SetHostsLag(lag time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hostsLag = lag
}

// visibleHosts returns the list that was current one lag ago.
func (p *Platform) visibleHosts(now time.Time) []platformapi.Host {
	p.mu.Lock()
	defer p.mu.Unlock()
	then := now.Add(-p.hostsLag)
	for _, list := range slices.Backward(p.hosts) {
		if !list.since.After(then) {
			return list.hosts
		}
	}
	return p.hosts[0].hosts
}

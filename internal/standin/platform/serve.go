package platform

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/balsamstall/balsamstall/internal/standin/tracked"
	"github.com/balsamstall/balsamstall/protocol/status"
)

// listenRetry is the pause between attempts to listen again after an outage,
// should the port be taken for a moment.
const listenRetry = 50 * time.Millisecond

// Addr returns the address that the platform listens on.
func (p *Platform) Addr() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.address
}

// Listen opens the configured addresses and starts to serve them. The error is
// a *status.Error with the code unavailable.
func (p *Platform) Listen() error {
	ln, err := net.Listen("tcp", p.Addr())
	if err != nil {
		return status.Wrap(err, status.Unavailable, "", "the platform cannot listen on %s", p.Addr())
	}
	if p.controlAddress != "" {
		control, err := net.Listen("tcp", p.controlAddress)
		if err != nil {
			ln.Close() // Nothing has used it.
			return status.Wrap(err, status.Unavailable, "", "the control interface cannot listen on %s", p.controlAddress)
		}
		p.startControl(control)
	}
	p.Start(ln)
	return nil
}

// Start serves ln in the background until Shutdown, Close or an outage that
// refuses connections. A closed platform closes ln.
func (p *Platform) Start(ln net.Listener) {
	listener := tracked.NewListener(ln, 0, &p.connections)
	server := &http.Server{Handler: p.handler(), ConnContext: tracked.Context}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		ln.Close() // Nothing has used it.
		return
	}
	p.listener, p.server = listener, server
	p.address = ln.Addr().String()
	p.serve(server, listener)
}

func (p *Platform) startControl(ln net.Listener) {
	server := &http.Server{Handler: p.controlHandler()}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.control = server
	p.serve(server, ln)
}

// serve needs p.mu, so that Close waits for the new goroutine.
func (p *Platform) serve(server *http.Server, ln net.Listener) {
	p.serving.Go(func() {
		if err := server.Serve(ln); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			p.log.Error().Err(err).Msg("listener failed")
		}
	})
}

// stopListening resets all connections but keep, and refuses new ones.
func (p *Platform) stopListening(keep *tracked.Conn) {
	p.mu.Lock()
	listener := p.listener
	p.listener, p.server = nil, nil
	p.mu.Unlock()
	if listener != nil {
		listener.Shut(keep)
	}
}

// relisten serves the address again.
func (p *Platform) relisten() {
	ln, err := net.Listen("tcp", p.Addr())
	if err == nil {
		p.Start(ln)
		return
	}
	p.log.Warn().Err(err).Msg("cannot listen again yet")
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.closed {
		p.retry = time.AfterFunc(listenRetry, p.relisten)
	}
}

// Shutdown ends waiting watches, stops accepting connections and waits for
// running calls until ctx ends.
func (p *Platform) Shutdown(ctx context.Context) error {
	var failed error
	for _, server := range p.stop() {
		if err := server.Shutdown(ctx); err != nil {
			server.Close()
			failed = status.Wrap(err, status.DeadlineExceeded, "", "the platform still had running calls")
		}
	}
	p.serving.Wait()
	return failed
}

// Close stops the platform at once.
func (p *Platform) Close() {
	for _, server := range p.stop() {
		server.Close() // Only the listener's close can fail, and it is gone either way.
	}
	p.serving.Wait()
}

// stop ends waits and restarts for ever and returns the running servers.
func (p *Platform) stop() []*http.Server {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.closed {
		p.closed = true
		close(p.closing)
	}
	for _, r := range p.rules {
		if r.expiry != nil {
			r.expiry.Stop()
		}
	}
	if p.retry != nil {
		p.retry.Stop()
	}
	var servers []*http.Server
	for _, server := range []*http.Server{p.server, p.control} {
		if server != nil {
			servers = append(servers, server)
		}
	}
	return servers
}

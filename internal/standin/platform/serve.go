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

// listenRetryInterval is the pause between attempts to listen again after an outage if the port is
// in use.
const listenRetryInterval = 50 * time.Millisecond

// Addr returns the address that the platform listens on.
func (p *Platform) Addr() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.address
}

// Listen listens on the configured addresses and starts to serve them. The error is a *status.Error
// with the code unavailable.
func (p *Platform) Listen() error {
	ln, err := net.Listen("tcp", p.Addr())
	if err != nil {
		return status.Wrap(err, status.Unavailable, "", "the platform cannot listen on %s", p.Addr())
	}
	if p.controlAddress != "" {
		control, err := net.Listen("tcp", p.controlAddress)
		if err != nil {
			ln.Close() // It has accepted no connection.
			return status.Wrap(err, status.Unavailable, "", "the control interface cannot listen on %s", p.controlAddress)
		}
		p.startControl(control)
	}
	p.Start(ln)
	return nil
}

// Start serves ln in the background until Shutdown, Close or an outage that refuses connections. If
// the platform is closed, Start closes ln.
func (p *Platform) Start(ln net.Listener) {
	listener := tracked.NewListener(ln, 0, &p.connections)
	server := &http.Server{Handler: p.handler(), ConnContext: tracked.ConnContext}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		ln.Close() // It has accepted no connection.
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
	p.controlServer = server
	p.serve(server, ln)
}

// serve starts a goroutine that serves ln. p.mu must be held, so that Close waits for the goroutine.
func (p *Platform) serve(server *http.Server, ln net.Listener) {
	p.serving.Go(func() {
		if err := server.Serve(ln); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			p.log.Error().Err(err).Msg("listener failed")
		}
	})
}

// stopListening closes the listener, so that new connections are refused, and resets the open ones
// except keep, which may be nil.
func (p *Platform) stopListening(keep *tracked.Conn) {
	p.mu.Lock()
	listener := p.listener
	p.listener, p.server = nil, nil
	p.mu.Unlock()
	if listener != nil {
		listener.CloseAndReset(keep)
	}
}

// resumeListening listens on the address again, with retries, and serves it.
func (p *Platform) resumeListening() {
	ln, err := net.Listen("tcp", p.Addr())
	if err == nil {
		p.Start(ln)
		return
	}
	p.log.Warn().Err(err).Msg("cannot listen again yet")
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.closed {
		p.listenRetryTimer = time.AfterFunc(listenRetryInterval, p.resumeListening)
	}
}

// Shutdown ends waiting watches, stops accepting connections and waits for running calls until ctx
// ends.
func (p *Platform) Shutdown(ctx context.Context) error {
	var shutdownErr error
	for _, server := range p.stop() {
		if err := server.Shutdown(ctx); err != nil {
			server.Close()
			shutdownErr = status.Wrap(err, status.DeadlineExceeded, "", "the platform still had running calls")
		}
	}
	p.serving.Wait()
	return shutdownErr
}

// Close stops the platform immediately.
func (p *Platform) Close() {
	for _, server := range p.stop() {
		server.Close() // It only returns the error of closing the listener.
	}
	p.serving.Wait()
}

// stop marks the platform as closed, which ends waiting calls, stops the timers and returns the
// running servers.
func (p *Platform) stop() []*http.Server {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.closed {
		p.closed = true
		close(p.closing)
	}
	for _, active := range p.activeFaults {
		if active.expiry != nil {
			active.expiry.Stop()
		}
	}
	if p.listenRetryTimer != nil {
		p.listenRetryTimer.Stop()
	}
	var servers []*http.Server
	for _, server := range []*http.Server{p.server, p.controlServer} {
		if server != nil {
			servers = append(servers, server)
		}
	}
	return servers
}

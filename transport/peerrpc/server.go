package peerrpc

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/balsamstall/balsamstall/protocol/peerpb"
	"github.com/balsamstall/balsamstall/protocol/status"
	"github.com/rs/zerolog"
	"storj.io/drpc"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
)

const (
	// handshakeTimeout bounds the handshake of an accepted connection.
	handshakeTimeout = 2 * time.Second
	// maxConnections bounds the connections that a server keeps open. It
	// holds several connections of each of 100 peers at once.
	maxConnections = 1024
	// idleTimeout closes a connection on which no call starts. It is longer
	// than the pool's, so that the caller's side closes first.
	idleTimeout = 5 * time.Minute
	// acceptPause is the pause after a failed accept, as when the process has
	// no file descriptor left.
	acceptPause = 50 * time.Millisecond
)

// Server serves the peer protocol.
type Server struct {
	key     []byte
	handler peerpb.DRPCPeerServer
	log     zerolog.Logger
}

// NewServer returns a server that authenticates connections with key, the
// secret shared by all entries, and passes calls to handler. The handler runs
// in many goroutines; the context of a call ends when its connection closes.
func NewServer(key []byte, handler peerpb.DRPCPeerServer, log zerolog.Logger) *Server {
	return &Server{key: key, handler: handler, log: log}
}

// statusHandler sends the code and the message of a status.Error to the caller.
type statusHandler struct{ mux *drpcmux.Mux }

func (h statusHandler) HandleRPC(stream drpc.Stream, rpc string) error {
	if err := h.mux.HandleRPC(stream, rpc); err != nil {
		return encodeError(err)
	}
	return nil
}

// Serve accepts connections until ctx ends, closes the listener and all
// connections, and returns nil when every handler has returned. It returns an
// error when the listener fails for another reason. Serve owns the listener.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	mux := drpcmux.New()
	if err := peerpb.DRPCRegisterPeer(mux, s.handler); err != nil {
		listener.Close()
		return status.Wrap(err, status.Internal, "", "register the peer protocol")
	}
	server := drpcserver.NewWithOptions(statusHandler{mux}, drpcserver.Options{Manager: managerOptions(idleTimeout)})

	ctx, cancel := context.WithCancel(ctx)
	var running sync.WaitGroup
	defer running.Wait()
	defer cancel()
	defer listener.Close()
	stopListening := context.AfterFunc(ctx, func() { listener.Close() })
	defer stopListening()

	slots := make(chan struct{}, maxConnections)
	for {
		conn, err := listener.Accept()
		switch {
		case ctx.Err() != nil:
			if err == nil {
				conn.Close()
			}
			return nil
		case errors.Is(err, net.ErrClosed):
			return status.Wrap(err, status.Unavailable, "", "peer listener was closed")
		case err != nil:
			s.log.Warn().Err(err).Msg("peer listener: accept failed")
			select {
			case <-ctx.Done():
			case <-time.After(acceptPause):
			}
			continue
		}
		select {
		case slots <- struct{}{}:
		default:
			s.log.Warn().Int("limit", maxConnections).Msg("peer connection refused: too many connections")
			conn.Close()
			continue
		}
		running.Go(func() {
			defer func() { <-slots }()
			s.serveConn(ctx, server, conn)
		})
	}
}

func (s *Server) serveConn(ctx context.Context, server *drpcserver.Server, conn net.Conn) {
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	if err := serverHandshake(conn, s.key, time.Now().Add(handshakeTimeout)); err != nil {
		if ctx.Err() == nil {
			s.log.Warn().Err(err).Stringer("remote", conn.RemoteAddr()).Msg("peer connection refused")
		}
		return
	}
	if err := server.ServeOne(ctx, boundedConn{conn}); err != nil && ctx.Err() == nil {
		s.log.Debug().Err(err).Stringer("remote", conn.RemoteAddr()).Msg("peer connection closed")
	}
}

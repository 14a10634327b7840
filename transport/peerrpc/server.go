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
	// maxConnections bounds the open connections of a server. It leaves room for several
	// connections from each of 100 peers.
	maxConnections = 1024
	// idleTimeout is the time after which a server closes a connection without calls. It is
	// longer than the pool's DefaultIdleTimeout, so that the client closes first.
	idleTimeout = 5 * time.Minute
	// acceptRetryDelay is the delay after a failed accept, for example when the process has no
	// file descriptors left.
	acceptRetryDelay = 50 * time.Millisecond
)

// Server serves the peer protocol.
type Server struct {
	key     []byte
	handler peerpb.DRPCPeerServer
	log     zerolog.Logger
}

// NewServer returns a server that authenticates connections with key, the secret shared by all
// entries, and passes calls to handler. The handler must be safe for concurrent use. The context
// of a call ends when its connection closes.
func NewServer(key []byte, handler peerpb.DRPCPeerServer, log zerolog.Logger) *Server {
	return &Server{key: key, handler: handler, log: log}
}

// statusHandler returns the code and the message of a status.Error to the client.
type statusHandler struct{ mux *drpcmux.Mux }

func (h statusHandler) HandleRPC(stream drpc.Stream, rpc string) error {
	if err := h.mux.HandleRPC(stream, rpc); err != nil {
		return encodeError(err)
	}
	return nil
}

// Serve accepts connections until ctx ends. Then it closes the listener and all connections, waits
// for the handlers to return, and returns nil. It returns an error if the listener is closed for
// another reason. Serve owns the listener.
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
			case <-time.After(acceptRetryDelay):
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

// serveConn authenticates a connection and serves its calls.
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
	if err := server.ServeOne(ctx, writeDeadlineConn{conn}); err != nil && ctx.Err() == nil {
		s.log.Debug().Err(err).Stringer("remote", conn.RemoteAddr()).Msg("peer connection closed")
	}
}

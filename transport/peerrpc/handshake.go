package peerrpc

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"io"
	"net"
	"time"

	"github.com/balsamstall/balsamstall/protocol/status"
)

// The messages of the handshake have fixed sizes, so an unauthenticated peer can make the other
// side read at most 68 bytes:
//
//	client: magic (4), client nonce (32)
//	server: server nonce (32), HMAC(server label, client nonce, server nonce) (32)
//	client: HMAC(client label, client nonce, server nonce) (32)
//	server: acceptance byte (1)
//
// The labels differ by role, so that a proof cannot be reflected to its sender. The acceptance
// byte tells the client that the server has accepted it before the client sends the first byte of
// a call.
const (
	handshakeMagic = "BSP1"
	nonceSize      = 32
	labelServer    = "balsamstall peer server v1"
	labelClient    = "balsamstall peer client v1"
	acceptedByte   = 1
)

// handshakeError returns the error of a handshake that failed at the given step. No byte of a call
// has been sent at that point.
func handshakeError(cause error, step string) error {
	return status.Wrap(cause, status.ConnectionFailed, status.NotRun, "peer handshake: %s", step)
}

// proof returns the HMAC that proves knowledge of the key for one handshake and role.
func proof(key []byte, label string, clientNonce, serverNonce []byte) []byte {
	mac := hmac.New(sha256.New, key)
	mac.Write([]byte(label))
	mac.Write(clientNonce)
	mac.Write(serverNonce)
	return mac.Sum(nil)
}

// clientHandshake runs the client side of the mutual authentication on conn before deadline.
func clientHandshake(conn net.Conn, key []byte, deadline time.Time) error {
	if err := conn.SetDeadline(deadline); err != nil {
		return handshakeError(err, "set deadline")
	}
	hello := make([]byte, len(handshakeMagic)+nonceSize)
	copy(hello, handshakeMagic)
	clientNonce := hello[len(handshakeMagic):]
	rand.Read(clientNonce)
	if _, err := conn.Write(hello); err != nil {
		return handshakeError(err, "send challenge")
	}
	var reply [nonceSize + sha256.Size]byte
	if _, err := io.ReadFull(conn, reply[:]); err != nil {
		return handshakeError(err, "read server proof")
	}
	serverNonce := reply[:nonceSize]
	if !hmac.Equal(reply[nonceSize:], proof(key, labelServer, clientNonce, serverNonce)) {
		return status.New(status.Unauthenticated, status.NotRun, "peer handshake: server proof does not match the shared key")
	}
	if _, err := conn.Write(proof(key, labelClient, clientNonce, serverNonce)); err != nil {
		return handshakeError(err, "send client proof")
	}
	var accepted [1]byte
	if _, err := io.ReadFull(conn, accepted[:]); err != nil {
		return handshakeError(err, "read acceptance")
	}
	if accepted[0] != acceptedByte {
		return status.New(status.Unauthenticated, status.NotRun, "peer handshake: server did not accept the client")
	}
	return clearDeadline(conn)
}

// serverHandshake runs the server side of the mutual authentication on conn before deadline.
func serverHandshake(conn net.Conn, key []byte, deadline time.Time) error {
	if err := conn.SetDeadline(deadline); err != nil {
		return handshakeError(err, "set deadline")
	}
	var hello [len(handshakeMagic) + nonceSize]byte
	if _, err := io.ReadFull(conn, hello[:]); err != nil {
		return handshakeError(err, "read challenge")
	}
	if string(hello[:len(handshakeMagic)]) != handshakeMagic {
		return status.New(status.Unauthenticated, status.NotRun, "peer handshake: unknown protocol")
	}
	clientNonce := hello[len(handshakeMagic):]
	reply := make([]byte, nonceSize, nonceSize+sha256.Size)
	rand.Read(reply)
	serverNonce := reply[:nonceSize]
	reply = append(reply, proof(key, labelServer, clientNonce, serverNonce)...)
	if _, err := conn.Write(reply); err != nil {
		return handshakeError(err, "send server proof")
	}
	var clientProof [sha256.Size]byte
	if _, err := io.ReadFull(conn, clientProof[:]); err != nil {
		return handshakeError(err, "read client proof")
	}
	if !hmac.Equal(clientProof[:], proof(key, labelClient, clientNonce, serverNonce)) {
		return status.New(status.Unauthenticated, status.NotRun, "peer handshake: client proof does not match the shared key")
	}
	if _, err := conn.Write([]byte{acceptedByte}); err != nil {
		return handshakeError(err, "send acceptance")
	}
	return clearDeadline(conn)
}

func clearDeadline(conn net.Conn) error {
	if err := conn.SetDeadline(time.Time{}); err != nil {
		return handshakeError(err, "clear deadline")
	}
	return nil
}

// Package peerpb holds the messages and the drpc service between entries. The
// code is generated from peer.proto; see generate.sh.
package peerpb

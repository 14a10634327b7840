// Package inflight counts running requests so that a graceful shutdown can wait for them.
package inflight

import (
	"context"
	"sync"

	"github.com/balsamstall/balsamstall/protocol/status"
)

// shardCount is the number of independently locked shards, which reduces lock contention.
const shardCount = 32

// Table counts running requests in independently locked shards. The zero value is ready to use.
// All methods are safe for concurrent use.
type Table struct {
	shards [shardCount]shard
}

type shard struct {
	mu sync.Mutex
	// running is guarded by mu.
	running int
	// closed is guarded by mu.
	closed bool
	// idle is closed once the shard is closed and has no running request. Guarded by mu.
	idle chan struct{}
}

// Begin adds a running request and reports whether it may run. It returns false after Close.
// seq selects the shard; the matching End must get the same value.
func (t *Table) Begin(seq uint64) bool {
	s := &t.shards[seq%shardCount]
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.running++
	return true
}

// End removes a request for which Begin returned true.
func (t *Table) End(seq uint64) {
	s := &t.shards[seq%shardCount]
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	if s.closed && s.running == 0 {
		close(s.idle)
	}
}

// Running returns the number of running requests.
func (t *Table) Running() int {
	n := 0
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		n += s.running
		s.mu.Unlock()
	}
	return n
}

// Close makes every later Begin return false.
func (t *Table) Close() {
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		if !s.closed {
			s.closed = true
			s.idle = make(chan struct{})
			if s.running == 0 {
				close(s.idle)
			}
		}
		s.mu.Unlock()
	}
}

// Wait blocks until no request is running. Close must have been called before. If ctx ends first,
// Wait returns a *status.Error with the code DeadlineExceeded.
func (t *Table) Wait(ctx context.Context) error {
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		idle := s.idle
		s.mu.Unlock()
		select {
		case <-idle:
		case <-ctx.Done():
			return status.Wrap(ctx.Err(), status.DeadlineExceeded, "", "%d requests are still running", t.Running())
		}
	}
	return nil
}

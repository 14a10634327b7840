// Package inflight counts the requests that are running, so that a planned stop
// can wait for them.
package inflight

import (
	"context"
	"sync"

	"github.com/balsamstall/balsamstall/protocol/status"
)

// shardCount spreads the lock over concurrent requests.
const shardCount = 32

// Table counts running requests in shards. The zero value is ready for use and
// safe for concurrent use.
type Table struct {
	shards [shardCount]shard
}

type shard struct {
	mu sync.Mutex
	// running is guarded by mu.
	running int
	// closed is guarded by mu.
	closed bool
	// idle is closed when a closed shard has no running request. Guarded by mu.
	idle chan struct{}
}

// Begin counts a request and reports whether it may run. It may not after Close.
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

// End uncounts a request for which Begin returned true.
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

// Close makes Begin refuse every later request.
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

// Wait waits after Close until no request is running. It returns a
// DeadlineExceeded error when ctx ends first.
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

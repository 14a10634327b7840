// Package targets maps target ids to per-target records, each protected by its own lock.
package targets

import (
	"sync"
	"sync/atomic"
)

// Table maps target ids to records of type V. Lookups take no lock because SetTargets replaces the
// whole map. All methods are safe for concurrent use.
type Table[V any] struct {
	// mu serializes calls of SetTargets.
	mu      sync.Mutex
	current atomic.Pointer[map[string]*Record[V]]
}

// Record holds the value of one target and the lock that guards it.
type Record[V any] struct {
	mu    sync.Mutex
	value V // Guarded by mu.
}

// Lock locks the record and returns a pointer to its value. The caller must call Unlock and must
// not use the pointer afterwards.
func (r *Record[V]) Lock() *V {
	r.mu.Lock()
	return &r.value
}

// Unlock unlocks the record.
func (r *Record[V]) Unlock() { r.mu.Unlock() }

// SetTargets replaces the set of known targets with ids. Targets that are already known keep their
// records; create returns the initial value for each new one.
func (t *Table[V]) SetTargets(ids []string, create func(id string) V) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.load()
	next := make(map[string]*Record[V], len(ids))
	for _, id := range ids {
		if r := old[id]; r != nil {
			next[id] = r
		} else {
			next[id] = &Record[V]{value: create(id)}
		}
	}
	t.current.Store(&next)
}

// Get returns the record of a target, or nil if the target is unknown.
func (t *Table[V]) Get(id string) *Record[V] { return t.load()[id] }

// ForEach calls f for every target without holding a lock.
func (t *Table[V]) ForEach(f func(id string, r *Record[V])) {
	for id, r := range t.load() {
		f(id, r)
	}
}

func (t *Table[V]) load() map[string]*Record[V] {
	if m := t.current.Load(); m != nil {
		return *m
	}
	return nil
}

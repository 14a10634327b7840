// Package targets holds one record per target, each under a lock of its own.
package targets

import (
	"sync"
	"sync/atomic"
)

// Table maps target ids to records of type V. Lookups take no lock: the map is
// replaced as a whole when the set of targets changes.
type Table[V any] struct {
	// mu serialises SetTargets.
	mu      sync.Mutex
	current atomic.Pointer[map[string]*Cell[V]]
}

// Cell is the record of one target.
type Cell[V any] struct {
	mu    sync.Mutex
	value V // Guarded by mu.
}

// Lock locks the record and returns it. Unlock must follow.
func (c *Cell[V]) Lock() *V {
	c.mu.Lock()
	return &c.value
}

// Unlock ends the access that Lock began.
func (c *Cell[V]) Unlock() { c.mu.Unlock() }

// SetTargets makes ids the known targets. Records of targets that stay are
// kept; new ones are made by create.
func (t *Table[V]) SetTargets(ids []string, create func(id string) V) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.load()
	next := make(map[string]*Cell[V], len(ids))
	for _, id := range ids {
		if c := old[id]; c != nil {
			next[id] = c
		} else {
			next[id] = &Cell[V]{value: create(id)}
		}
	}
	t.current.Store(&next)
}

// Get returns the record of a target, or nil when the target is not known.
func (t *Table[V]) Get(id string) *Cell[V] { return t.load()[id] }

// All calls f for every target without holding a lock.
func (t *Table[V]) All(f func(id string, c *Cell[V])) {
	for id, c := range t.load() {
		f(id, c)
	}
}

func (t *Table[V]) load() map[string]*Cell[V] {
	if m := t.current.Load(); m != nil {
		return *m
	}
	return nil
}

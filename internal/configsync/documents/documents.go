// Package documents holds the configuration documents in force and the recent
// ones that serve as bases of deltas.
package documents

import (
	"sync"
	"sync/atomic"

	"github.com/balsamstall/balsamstall/coordination/delta"
	"github.com/balsamstall/balsamstall/coordination/revision"
)

// HistoryLength is the number of earlier documents kept for each key. At 50,000
// changes a day it covers 13 s, four times the bound within which a change
// reaches every entry. With documents of 1 MB it takes 8 MB for each key.
const HistoryLength = 8

// Document is an accepted document. It is immutable.
type Document struct {
	Version revision.Version
	Content *delta.Document
	// Value is the decoded document.
	Value any
}

// Store holds the documents of a fixed set of keys. It may be used by many
// goroutines; reading the document in force takes no lock.
type Store struct {
	slots map[string]*slot
}

type slot struct {
	current atomic.Pointer[Document]

	// mu guards history and serializes replacements of current.
	mu sync.Mutex
	// history holds the documents before current, the latest last.
	history []*Document
}

// New returns a store without documents for the given keys.
func New(keys ...string) *Store {
	s := &Store{slots: make(map[string]*slot, len(keys))}
	for _, key := range keys {
		s.slots[key] = &slot{}
	}
	return s
}

// Current returns the document in force, or nil when there is none or the key
// is unknown.
func (s *Store) Current(key string) *Document {
	if slot := s.slots[key]; slot != nil {
		return slot.current.Load()
	}
	return nil
}

// Version returns the version in force, or the zero Version.
func (s *Store) Version(key string) revision.Version {
	if doc := s.Current(key); doc != nil {
		return doc.Version
	}
	return revision.Version{}
}

// Replace decides about a valid candidate and puts it in force when the
// decision is Accept. An unknown key is Faulty.
func (s *Store) Replace(key string, candidate *Document) revision.Decision {
	slot := s.slots[key]
	if slot == nil {
		return revision.Faulty
	}
	slot.mu.Lock()
	defer slot.mu.Unlock()
	before := slot.current.Load()
	var inForce revision.Version
	if before != nil {
		inForce = before.Version
	}
	decision := revision.Decide(inForce, candidate.Version, true)
	if decision != revision.Accept {
		return decision
	}
	if before != nil {
		if len(slot.history) == HistoryLength {
			slot.history = append(slot.history[:0], slot.history[1:]...)
		}
		slot.history = append(slot.history, before)
	}
	slot.current.Store(candidate)
	return decision
}

// Find returns the document with the given version if it is in force or recent,
// or nil.
func (s *Store) Find(key string, version revision.Version) *Document {
	slot := s.slots[key]
	if slot == nil {
		return nil
	}
	slot.mu.Lock()
	defer slot.mu.Unlock()
	if doc := slot.current.Load(); doc != nil && doc.Version == version {
		return doc
	}
	for _, doc := range slot.history {
		if doc.Version == version {
			return doc
		}
	}
	return nil
}

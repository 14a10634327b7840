// Package documents stores the current configuration documents and recent ones, which serve as
// bases of deltas.
package documents

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/balsamstall/balsamstall/coordination/delta"
	"github.com/balsamstall/balsamstall/coordination/revision"
)

// HistoryLength is the number of previous documents kept for each key. At 50,000 changes a day it
// covers 13 s, four times the bound within which a change reaches every entry. With documents of
// 1 MB it takes 8 MB for each key.
const HistoryLength = 8

// Document is an accepted document. It is immutable.
type Document struct {
	Version revision.Version
	Content *delta.Document
	// Value is the decoded document.
	Value any
	// Source is the actor that the document was accepted from, and ReadAt the time at which its oldest
	// part was read from the platform or, for a document of a peer, at which it was received.
	Source string
	ReadAt time.Time
	// Settled is set if the platform has confirmed that the revision has this document; see
	// revision.Claim.
	Settled bool
}

// Store holds the documents of a fixed set of keys. It is safe for concurrent use. Reading the
// current document takes no lock.
type Store struct {
	byKey map[string]*keyDocuments
}

type keyDocuments struct {
	current atomic.Pointer[Document]

	// mu guards history and serializes replacements of current.
	mu sync.Mutex
	// history holds the documents that preceded current, oldest first.
	history []*Document
}

// New returns an empty store for the given keys.
func New(keys ...string) *Store {
	s := &Store{byKey: make(map[string]*keyDocuments, len(keys))}
	for _, key := range keys {
		s.byKey[key] = &keyDocuments{}
	}
	return s
}

// Current returns the current document, or nil if there is none or the key is unknown.
func (s *Store) Current(key string) *Document {
	if docs := s.byKey[key]; docs != nil {
		return docs.current.Load()
	}
	return nil
}

// Version returns the version of the current document, or the zero Version if there is none.
func (s *Store) Version(key string) revision.Version {
	if doc := s.Current(key); doc != nil {
		return doc.Version
	}
	return revision.Version{}
}

// Claim returns the version of the current document and whether it is settled.
func (s *Store) Claim(key string) revision.Claim { return s.Current(key).Claim() }

// Claim returns the version of d and whether it is settled. It is the zero Claim if d is nil.
func (d *Document) Claim() revision.Claim {
	if d == nil {
		return revision.Claim{}
	}
	return revision.Claim{Version: d.Version, Settled: d.Settled}
}

// Settle marks the current document as settled if it has the given version.
func (s *Store) Settle(key string, version revision.Version) {
	docs := s.byKey[key]
	if docs == nil {
		return
	}
	docs.mu.Lock()
	defer docs.mu.Unlock()
	if current := docs.current.Load(); current != nil && current.Version == version && !current.Settled {
		settled := *current
		settled.Settled = true
		docs.current.Store(&settled)
	}
}

// Replace makes a valid candidate the current document if it is newer or settles a conflict, and returns
// the decision.
// For an unknown key it returns Faulty.
func (s *Store) Replace(key string, candidate *Document) revision.Decision {
	docs := s.byKey[key]
	if docs == nil {
		return revision.Faulty
	}
	docs.mu.Lock()
	defer docs.mu.Unlock()
	previous := docs.current.Load()
	decision := revision.DecideClaim(previous.Claim(), candidate.Claim(), true)
	if decision != revision.Accept {
		return decision
	}
	if previous != nil {
		if len(docs.history) == HistoryLength {
			docs.history = append(docs.history[:0], docs.history[1:]...)
		}
		docs.history = append(docs.history, previous)
	}
	docs.current.Store(candidate)
	return decision
}

// Find returns the document with the given version if it is the current or a recent one, or nil.
func (s *Store) Find(key string, version revision.Version) *Document {
	docs := s.byKey[key]
	if docs == nil {
		return nil
	}
	docs.mu.Lock()
	defer docs.mu.Unlock()
	if doc := docs.current.Load(); doc != nil && doc.Version == version {
		return doc
	}
	for _, doc := range docs.history {
		if doc.Version == version {
			return doc
		}
	}
	return nil
}

package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// change is one change of the store: an item as it was written, or its removal.
type change struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  uint64 `json:"revision"`
	CreatedAt uint64 `json:"created_at,omitempty"`
	Removed   bool   `json:"removed,omitempty"`

	at time.Time
}

// store is a stand-in of the platform's metadata store.
type store struct {
	address string

	mu       sync.Mutex
	all      []change // Every change, in order.
	forgot   uint64   // Watches after a lower revision get 410.
	revision uint64
	changed  chan struct{}
	mute     bool // Watches hear nothing.
	down     bool // No call is answered.
	// lag returns the age of the state that a stale read of the path gets.
	lag func(path string) time.Duration
	// log records the reads that are not watches.
	log func(format string, args ...any)
}

func newStore(ip string, log func(string, ...any)) *store {
	s := &store{revision: 100, forgot: 100, changed: make(chan struct{}), lag: func(string) time.Duration { return 0 }, log: log}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", s.serveKey)
	mux.HandleFunc("GET /kv-range", s.serveRange)
	mux.HandleFunc("GET /kv-watch", s.serveWatch)
	l, err := net.Listen("tcp", ip+":0")
	check(err)
	s.address = l.Addr().String()
	go http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.isDown() {
			<-r.Context().Done() // The connection returns nothing further.
			return
		}
		mux.ServeHTTP(w, r)
	}))
	return s
}

// put writes an item and returns the time of the acknowledgement.
func (s *store) put(key string, value any) time.Time {
	data, err := json.Marshal(value)
	check(err)
	return s.record(change{Key: key, Value: data})
}

func (s *store) remove(key string) { s.record(change{Key: key, Removed: true}) }

func (s *store) record(c change) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	c.Revision, c.at = s.revision, time.Now()
	if !c.Removed {
		c.CreatedAt = s.revision
	}
	s.all = append(s.all, c)
	close(s.changed)
	s.changed = make(chan struct{})
	return c.at
}

// compact discards the history, so that watches that continue from before get 410, and cuts the
// watches that are waiting.
func (s *store) compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forgot, s.mute = s.revision, false
	close(s.changed)
	s.changed = make(chan struct{})
}

// silence keeps watches from hearing of changes until the history is discarded.
func (s *store) silence() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mute = true
}

// setDown begins or ends an outage in which the store is silent.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

func (s *store) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

// state returns the items and the revision as of a time.
func (s *store) state(asOf time.Time) (map[string]change, uint64) {
	items, at := make(map[string]change), uint64(100)
	for _, c := range s.all {
		if c.at.After(asOf) {
			break
		}
		at = c.Revision
		if c.Removed {
			delete(items, c.Key)
		} else {
			items[c.Key] = c
		}
	}
	return items, at
}

// asOf returns the time whose state a read gets.
func (s *store) asOf(r *http.Request) (time.Time, time.Duration) {
	lag := time.Duration(0)
	if r.URL.Query().Get("stale_read") == "1" {
		lag = s.lag(r.URL.Path)
	}
	return time.Now().Add(-lag), lag
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	asOf, lag := s.asOf(r)
	items, at := s.state(asOf)
	s.mu.Unlock()
	it, ok := items[r.URL.Query().Get("key")]
	s.log("store: %s is read, %v old, at %d", r.URL.Query().Get("key"), lag, at)
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, map[string]any{"key": it.Key, "value": it.Value, "revision": it.Revision, "created_at": it.CreatedAt, "lease": 0, "at": at})
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	asOf, lag := s.asOf(r)
	items, at := s.state(asOf)
	s.mu.Unlock()
	s.log("store: %s* is read, %v old, at %d", q.Get("path_prefix"), lag, at)
	list := []change{}
	for key, it := range items {
		if strings.HasPrefix(key, q.Get("path_prefix")) && key > q.Get("after") {
			list = append(list, it)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Key < list[j].Key })
	more := len(list) > 500
	if more {
		list = list[:500]
	}
	writeJSON(w, map[string]any{"items": list, "has_more": more, "at": at})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	end := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer end.Stop()
	for timeout := false; ; {
		s.mu.Lock()
		events := []change{}
		for _, c := range s.all {
			if c.Revision > after && strings.HasPrefix(c.Key, q.Get("path_prefix")) {
				events = append(events, c)
			}
		}
		forgot, at, changed := s.forgot, s.revision, s.changed
		if s.mute {
			events, at = nil, after
		}
		s.mu.Unlock()
		switch {
		case after < forgot:
			s.log("store: watch after %d: 410", after)
			w.WriteHeader(http.StatusGone)
			return
		case len(events) > 0 || timeout || wait == 0:
			if s.isDown() {
				<-r.Context().Done()
				return
			}
			writeJSON(w, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-end.C:
			timeout = true
		case <-r.Context().Done():
			return
		}
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

package main

import (
	"encoding/base64"
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key of the platform's store, or in the history a change of one.
type item struct {
	Key      string `json:"key"`
	Value    string `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created_at,omitempty"`
	Lease    uint64 `json:"lease"`
	Removed  bool   `json:"removed,omitempty"`
}

// store is a stand-in of the platform's store as PROTOCOL.md describes it. It answers at once, keeps its
// whole history and lets every caller read.
type store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]item
	history  []item
	changed  chan struct{}
	// watched holds the time of the last watch at each of the store's addresses.
	watched map[string]time.Time
}

func startStore() *store {
	return &store{revision: 100, items: make(map[string]item), changed: make(chan struct{}), watched: make(map[string]time.Time)}
}

// listen opens another address of the store and returns it. Each entry has its own, so that the store can
// tell who watches.
func (s *store) listen(address string) string {
	lis, err := net.Listen("tcp", address)
	if err != nil {
		fatal("store: %v", err)
	}
	own := lis.Addr().String()
	go func() {
		_ = http.Serve(lis, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(own, w, r) }))
	}()
	return own
}

// put writes a value. Its return is the acknowledgement.
func (s *store) put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		fatal("encode %s: %v", key, err)
	}
	s.change(item{Key: key, Value: base64.StdEncoding.EncodeToString(data)})
}

func (s *store) remove(key string) { s.change(item{Key: key, Removed: true}) }

func (s *store) change(it item) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	it.Revision = s.revision
	if it.Removed {
		delete(s.items, it.Key)
	} else {
		it.Created = s.revision
		if old, ok := s.items[it.Key]; ok {
			it.Created = old.Created
		}
		s.items[it.Key] = it
	}
	s.history = append(s.history, it)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) serve(own string, w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	switch r.URL.Path {
	case "/kv-key":
		s.mu.Lock()
		it, ok := s.items[q.Get("key")]
		at := s.revision
		s.mu.Unlock()
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		reply(w, struct {
			item
			At uint64 `json:"at"`
		}{it, at})
	case "/kv-range":
		s.mu.Lock()
		var items []item
		for key, it := range s.items {
			if strings.HasPrefix(key, q.Get("path_prefix")) && key > q.Get("after") {
				items = append(items, it)
			}
		}
		at := s.revision
		s.mu.Unlock()
		sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
		const page = 500
		more := len(items) > page
		items = items[:min(len(items), page)]
		if items == nil {
			items = []item{}
		}
		reply(w, map[string]any{"items": items, "has_more": more, "at": at})
	case "/kv-watch":
		s.watch(own, w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) watch(own string, w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	if wait > 0 {
		s.mu.Lock()
		s.watched[own] = time.Now()
		s.mu.Unlock()
	}
	for {
		s.mu.Lock()
		events := []item{}
		for _, it := range s.history {
			if it.Revision > after && strings.HasPrefix(it.Key, q.Get("path_prefix")) {
				events = append(events, it)
			}
		}
		at, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			reply(w, map[string]any{"events": events, "at": at})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // A failed write means that the caller has left.
}

// watching reports whether the caller at an address of the store has watched within the last two seconds.
func (s *store) watching(own string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.watched[own]) < 2*time.Second
}

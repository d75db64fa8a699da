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

// store stands in for the platform's metadata store. It loses nothing, answers at once and
// keeps its whole history.
type store struct {
	mu       sync.Mutex
	revision int64
	items    map[string]storedItem
	history  []storedItem
	changed  chan struct{}
	leases   map[int64]*lease
	nextID   int64
	server   *http.Server
	address  string
	silent   time.Time // until when it answers nothing
}

type storedItem struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Lease    int64  `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

type lease struct {
	ttl  time.Duration
	ends time.Time
}

func newStore(ip string) (*store, error) {
	s := &store{revision: 100, items: make(map[string]storedItem), changed: make(chan struct{}), leases: make(map[int64]*lease), nextID: 7000}
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	s.address = l.Addr().String()
	m := http.NewServeMux()
	m.HandleFunc("GET /v1/kv-key", s.serveKey)
	m.HandleFunc("GET /v1/kv-range", s.serveRange)
	m.HandleFunc("GET /v1/kv-watch", s.serveWatch)
	m.HandleFunc("POST /v1/kv-txn", s.serveTxn)
	m.HandleFunc("POST /v1/kv-lease", s.serveGrant)
	m.HandleFunc("POST /v1/kv-keep/{id}", s.serveKeep)
	m.HandleFunc("DELETE /v1/kv-lease-end/{id}", s.serveEnd)
	s.server = &http.Server{Handler: s.handler(m)}
	go func() { _ = s.server.Serve(l) }()
	go s.expireLeases()
	return s, nil
}

func (s *store) close() { _ = s.server.Close() }

// put writes a key as the operator or a worker does.
func (s *store) put(key string, value any) {
	b, _ := json.Marshal(value)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.writeLocked(key, b, 0)
	s.signalLocked()
}

// remove deletes a key.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	s.deleteLocked(key)
	s.signalLocked()
}

func (s *store) writeLocked(key string, value []byte, lease int64) {
	created := s.revision
	if before, ok := s.items[key]; ok {
		created = before.Created
	}
	i := storedItem{Key: key, Value: value, Revision: s.revision, Created: created, Lease: lease}
	s.items[key] = i
	s.history = append(s.history, i)
}

func (s *store) deleteLocked(key string) {
	delete(s.items, key)
	s.history = append(s.history, storedItem{Key: key, Revision: s.revision, Deleted: true})
}

func (s *store) signalLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) expireLeases() {
	for range time.Tick(100 * time.Millisecond) {
		s.mu.Lock()
		for id, l := range s.leases {
			if time.Now().After(l.ends) {
				s.endLocked(id)
			}
		}
		s.mu.Unlock()
	}
}

func (s *store) endLocked(id int64) {
	delete(s.leases, id)
	var keys []string
	for k, i := range s.items {
		if i.Lease == id {
			keys = append(keys, k)
		}
	}
	if len(keys) == 0 {
		return
	}
	s.revision++
	for _, k := range keys {
		s.deleteLocked(k)
	}
	s.signalLocked()
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", "1")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		reply(w, http.StatusNotFound, map[string]any{"at": s.revision})
		return
	}
	reply(w, http.StatusOK, struct {
		storedItem
		At int64 `json:"at"`
	}{i, s.revision})
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	const pageItems = 500
	prefix, after := r.URL.Query().Get("path_prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for k := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	more := len(keys) > pageItems
	if more {
		keys = keys[:pageItems]
	}
	entries := make([]storedItem, 0, len(keys))
	for _, k := range keys {
		entries = append(entries, s.items[k])
	}
	reply(w, http.StatusOK, map[string]any{"entries": entries, "has_more": more, "at": s.revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	end := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []storedItem{}
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, q.Get("path_prefix")) {
				events = append(events, i)
			}
		}
		at, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-end:
			reply(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveTxn(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Expected []struct {
			Key      string `json:"key"`
			Revision int64  `json:"revision"`
		} `json:"expected_revision"`
		Write []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease int64  `json:"lease"`
		} `json:"write"`
		Delete []string `json:"delete"`
	}
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		reply(w, http.StatusBadRequest, map[string]any{"error": err.Error()})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	held := true
	entries := []storedItem{}
	for _, e := range t.Expected {
		i, ok := s.items[e.Key]
		held = held && i.Revision == e.Revision
		if ok {
			entries = append(entries, i)
		}
	}
	if !held {
		reply(w, http.StatusPreconditionFailed, map[string]any{"entries": entries})
		return
	}
	for _, i := range t.Write {
		if i.Lease != 0 && s.leases[i.Lease] == nil {
			reply(w, http.StatusNotFound, map[string]any{})
			return
		}
		if strings.HasPrefix(i.Key, "op/") || strings.HasPrefix(i.Key, "servers/") {
			reply(w, http.StatusForbidden, map[string]any{})
			return
		}
	}
	s.revision++
	for _, i := range t.Write {
		s.writeLocked(i.Key, i.Value, i.Lease)
	}
	for _, k := range t.Delete {
		if _, ok := s.items[k]; ok {
			s.deleteLocked(k)
		}
	}
	s.signalLocked()
	reply(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func (s *store) serveGrant(w http.ResponseWriter, r *http.Request) {
	var q struct {
		TTL float64 `json:"ttl_ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
		reply(w, http.StatusBadRequest, map[string]any{"error": err.Error()})
		return
	}
	ttl := time.Duration(max(1000, min(q.TTL, 600000))) * time.Millisecond
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextID++
	s.leases[s.nextID] = &lease{ttl, time.Now().Add(ttl)}
	reply(w, http.StatusOK, map[string]any{"lease": s.nextID, "ttl_ms": ttl.Milliseconds()})
}

func (s *store) serveKeep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		reply(w, http.StatusNotFound, map[string]any{})
		return
	}
	l.ends = time.Now().Add(l.ttl)
	reply(w, http.StatusOK, map[string]any{"ttl_ms": l.ttl.Milliseconds()})
}

func (s *store) serveEnd(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endLocked(id)
	reply(w, http.StatusOK, map[string]any{})
}

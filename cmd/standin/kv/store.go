package kv

import (
	"bytes"
	"slices"
	"sort"
	"sync"
)

// This file defines the store: keys, revisions and the history of changes.

const (
	maxValueSize = 1 << 20 // bytes
	maxTxnOps    = 128
	maxHistory   = 100_000 // events
)

// store holds all keys. It is safe for concurrent use.
type store struct {
	mu       sync.Mutex
	revision int64
	keys     keySet
	values   map[string]keyValue
	leases   map[int64]*lease
	nextID   int64
	// history holds the latest events in order of revision. Events before
	// revision compacted have been discarded.
	history   []event
	compacted int64
	changed   chan struct{}
	// dirty reports whether keys changed since the last commit.
	dirty bool
}

func newStore() *store {
	return &store{
		revision: 1,
		values:   make(map[string]keyValue),
		leases:   make(map[int64]*lease),
		nextID:   1,
		changed:  make(chan struct{}),
	}
}

// span is a range of keys as in the gateway's requests: an empty end means
// the single key, and an end of one zero byte means all keys from key on.
type span struct {
	key, end []byte
}

func (s span) contains(key string) bool {
	k := []byte(key)
	if len(s.end) == 0 {
		return bytes.Equal(k, s.key)
	}
	return bytes.Compare(k, s.key) >= 0 && (s.unbounded() || bytes.Compare(k, s.end) < 0)
}

func (s span) unbounded() bool { return len(s.end) == 1 && s.end[0] == 0 }

// keysIn returns the keys in p, sorted.
func (s *store) keysIn(p span) []string {
	if len(p.end) > 0 {
		return s.keys.keysIn(p)
	}
	if _, ok := s.values[string(p.key)]; ok {
		return []string{string(p.key)}
	}
	return nil
}

func (s *store) rangeKeys(r *rangeRequest) *rangeResponse {
	keys := s.keysIn(span{r.Key, r.RangeEnd})
	resp := &rangeResponse{Count: number(len(keys))}
	if r.CountOnly {
		return resp
	}
	if r.SortOrder == "DESCEND" {
		slices.Reverse(keys)
	}
	if r.Limit > 0 && len(keys) > int(r.Limit) {
		keys, resp.More = keys[:r.Limit], true
	}
	for _, k := range keys {
		v := s.values[k]
		if r.KeysOnly {
			v.Value = nil
		}
		resp.KVs = append(resp.KVs, v)
	}
	return resp
}

// put sets a key at the given revision.
func (s *store) put(r *putRequest, revision int64) {
	k := string(r.Key)
	v, ok := s.values[k]
	if !ok {
		s.keys.add(k)
		v = keyValue{Key: r.Key, CreateRevision: number(revision)}
	}
	s.detachLease(k, v.Lease)
	v.Value = r.Value
	v.Lease = r.Lease
	v.ModRevision = number(revision)
	v.Version++
	s.values[k] = v
	if l := s.leases[int64(r.Lease)]; l != nil {
		l.keys[k] = true
	}
	s.appendEvent(event{KV: v})
}

// deleteSpan deletes the keys in p at the given revision and returns their
// number.
func (s *store) deleteSpan(p span, revision int64) int {
	keys := s.keysIn(p)
	for _, k := range keys {
		s.keys.remove(k)
		s.detachLease(k, s.values[k].Lease)
		delete(s.values, k)
		s.appendEvent(event{Type: "DELETE", KV: keyValue{Key: []byte(k), ModRevision: number(revision)}})
	}
	return len(keys)
}

// commit advances the revision and wakes all watches if a key has changed
// since the last commit.
func (s *store) commit() {
	if !s.dirty {
		return
	}
	s.dirty = false
	s.revision++
	close(s.changed)
	s.changed = make(chan struct{})
}

// appendEvent appends an event to the history.
func (s *store) appendEvent(e event) {
	s.history = append(s.history, e)
	if len(s.history) > maxHistory {
		s.compacted = int64(s.history[0].KV.ModRevision) + 1
		s.history = s.history[1:]
	}
	s.dirty = true
}

// batch is a part of the history.
type batch struct {
	events []event
	// next is the revision that follows the batch.
	next int64
	// changed is closed at the next change.
	changed <-chan struct{}
	// compacted reports that a requested revision was discarded.
	compacted bool
}

// eventsFrom returns the events in p at or after a revision.
func (s *store) eventsFrom(p span, revision int64) batch {
	s.mu.Lock()
	defer s.mu.Unlock()
	if revision < s.compacted {
		return batch{next: s.compacted, compacted: true}
	}
	b := batch{next: max(revision, s.revision+1), changed: s.changed}
	i := sort.Search(len(s.history), func(i int) bool { return int64(s.history[i].KV.ModRevision) >= revision })
	for _, e := range s.history[i:] {
		if p.contains(string(e.KV.Key)) {
			b.events = append(b.events, e)
		}
	}
	return b
}

// header returns the header of a response.
func (s *store) header() *header { return &header{Revision: number(s.revision)} }

// currentRevision returns the revision of the last change.
func (s *store) currentRevision() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

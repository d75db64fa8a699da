package engine

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2/simplelru"

	"fescuelatch"
)

// This file defines the prefix cache and its events.

const maxCacheEvents = 10_000 // events

type cacheKey struct {
	version fescuelatch.VersionID
	prefix  uint64
}

// cacheEvent is a change of the cache.
type cacheEvent struct {
	Seq     int64                 `json:"seq"`
	Kind    string                `json:"kind"`
	Version fescuelatch.VersionID `json:"version"`
	Prefix  string                `json:"prefix"`
	at      time.Time
}

// cacheEvents is the response to GET /cache-events.
type cacheEvents struct {
	Events []cacheEvent `json:"events"`
	// Next is the value of the after parameter for the next request.
	Next int64 `json:"next"`
}

// cache is an LRU cache of prompt prefixes.
type cache struct {
	mu      sync.Mutex
	entries *lru.LRU[cacheKey, struct{}]
	seq     int64
	events  []cacheEvent
}

func newCache(size int) *cache {
	c := new(cache)
	evicted := func(k cacheKey, _ struct{}) { c.recordEvent("evicted", k) }
	// NewLRU fails only for a size below 1.
	c.entries, _ = lru.NewLRU(max(1, size), evicted)
	return c
}

// getOrAdd adds a prefix and reports whether it was already cached.
func (c *cache) getOrAdd(v fescuelatch.VersionID, prefix uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := cacheKey{v, prefix}
	if _, ok := c.entries.Get(k); ok {
		return true
	}
	c.entries.Add(k, struct{}{})
	c.recordEvent("stored", k)
	return false
}

// clear evicts all prefixes.
func (c *cache) clear() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.entries.Purge()
}

func (c *cache) recordEvent(kind string, k cacheKey) {
	c.seq++
	e := cacheEvent{c.seq, kind, k.version, fmt.Sprintf("%016x", k.prefix), time.Now()}
	c.events = append(c.events, e)
	c.events = c.events[max(0, len(c.events)-maxCacheEvents):]
}

// after returns the events numbered above seq that are older than lag. It
// omits each event with probability gap.
func (c *cache) after(seq int64, lag time.Duration, gap float64) cacheEvents {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := cacheEvents{Events: []cacheEvent{}, Next: seq}
	until := time.Now().Add(-lag)
	for _, e := range c.events {
		if e.Seq <= seq || e.at.After(until) {
			continue
		}
		r.Next = e.Seq
		if rand.Float64() >= gap {
			r.Events = append(r.Events, e)
		}
	}
	return r
}

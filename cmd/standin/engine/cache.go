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

const cacheHistory = 10_000 // events

type cacheKey struct {
	version fescuelatch.VersionID
	prefix  uint64
}

// cacheEvent is one change of the cache.
type cacheEvent struct {
	Seq     int64                 `json:"seq"`
	Kind    string                `json:"kind"`
	Version fescuelatch.VersionID `json:"version"`
	Prefix  string                `json:"prefix"`
	at      time.Time
}

// cacheEvents is an answer to GET /cache-events.
type cacheEvents struct {
	Events []cacheEvent `json:"events"`
	// Next is the number to ask for events after.
	Next int64 `json:"next"`
}

// cache holds the prefixes used last.
type cache struct {
	mu     sync.Mutex
	held   *lru.LRU[cacheKey, struct{}]
	seq    int64
	events []cacheEvent
}

func newCache(size int) *cache {
	c := new(cache)
	evicted := func(k cacheKey, _ struct{}) { c.note("evicted", k) }
	// The size is at least 1, so that there is no error.
	c.held, _ = lru.NewLRU(max(1, size), evicted)
	return c
}

// use adds a prefix and reports whether it was held.
func (c *cache) use(v fescuelatch.VersionID, prefix uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := cacheKey{v, prefix}
	if _, ok := c.held.Get(k); ok {
		return true
	}
	c.held.Add(k, struct{}{})
	c.note("stored", k)
	return false
}

// clear evicts all prefixes.
func (c *cache) clear() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.held.Purge()
}

func (c *cache) note(kind string, k cacheKey) {
	c.seq++
	e := cacheEvent{c.seq, kind, k.version, fmt.Sprintf("%016x", k.prefix), time.Now()}
	c.events = append(c.events, e)
	c.events = c.events[max(0, len(c.events)-cacheHistory):]
}

// after returns the events with a higher number than seq that are older than
// the lag. Each is left out with the given probability.
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

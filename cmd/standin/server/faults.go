package server

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"sync"
)

// This file defines faults that clients read and set over HTTP.

const maxFaultsBytes = 1 << 20 // bytes

// Chance decides when a fault occurs: on each of the next Next occasions,
// then with Probability.
type Chance struct {
	Next        int     `json:"next"`
	Probability float64 `json:"probability"`
}

// fires reports whether the fault occurs on this occasion.
func (c *Chance) fires() bool {
	if c.Next > 0 {
		c.Next--
		return true
	}
	return c.Probability > 0 && rand.Float64() < c.Probability
}

// Faults holds the faults of a stand-in, of type T. The zero value holds the
// zero T. It is safe for concurrent use.
type Faults[T any] struct {
	mu      sync.Mutex
	value   T
	changed chan struct{}
	onPost  func(T) T
}

// Get returns the faults. The result must not be modified.
func (f *Faults[T]) Get() T {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.value
}

// Set replaces the faults.
func (f *Faults[T]) Set(v T) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.set(v)
}

// OnPost sets a function that maps the faults of each POST to those to store.
// It must not call methods of f.
func (f *Faults[T]) OnPost(apply func(T) T) { f.onPost = apply }

// Fires reports whether the fault that field selects occurs now.
func (f *Faults[T]) Fires(field func(*T) *Chance) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return field(&f.value).fires()
}

// Changed returns a channel that is closed at the next Set or POST.
func (f *Faults[T]) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.changed == nil {
		f.changed = make(chan struct{})
	}
	return f.changed
}

func (f *Faults[T]) set(v T) {
	f.value = v
	if f.changed != nil {
		close(f.changed)
		f.changed = nil
	}
}

// ServeHTTP merges a POST into the faults and responds with the faults.
func (f *Faults[T]) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost && !f.post(w, r) {
		return
	}
	WriteJSON(w, http.StatusOK, f.Get())
}

func (f *Faults[T]) post(w http.ResponseWriter, r *http.Request) bool {
	var patch json.RawMessage
	if !ReadJSON(w, r, maxFaultsBytes, &patch) {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	next, err := merge(f.value, patch)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	if f.onPost != nil {
		next = f.onPost(next)
	}
	f.set(next)
	return true
}

// merge returns a deep copy of v with the fields of patch set.
func merge[T any](v T, patch json.RawMessage) (T, error) {
	var next T
	old, err := json.Marshal(v)
	if err != nil {
		return next, err
	}
	if err := json.Unmarshal(old, &next); err != nil {
		return next, err
	}
	return next, decodeStrict(patch, &next)
}

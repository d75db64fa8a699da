package engine

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"fescuelatch"
	"fescuelatch/cmd/standin/server"
	"fescuelatch/internal/pause"
)

// This file defines orders: to load or unload a version, or to set a role.

const (
	orderLimit   = 1 << 16 // bytes
	maxOrders    = 10_000
	weightsRetry = time.Second
	loadTimeout  = 10 * time.Minute
)

// Order kinds.
const (
	orderLoad    = "load"
	orderUnload  = "unload"
	orderSetRole = "set-role"
)

// order is one order and what became of it.
type order struct {
	Fencing int64                 `json:"fencing"`
	Kind    string                `json:"kind"`
	Version fescuelatch.VersionID `json:"version,omitempty"`
	Role    string                `json:"role,omitempty"`
}

// orderEntry is one order in the record.
type orderEntry struct {
	order
	At       time.Time `json:"at"`
	Accepted bool      `json:"accepted"`
}

// orders records orders and the highest fencing number. The zero value has
// seen none.
type orders struct {
	mu      sync.Mutex
	fencing int64
	role    string
	list    []orderEntry
}

// take records an order and reports whether it is accepted.
func (l *orders) take(o order, ignoreFencing bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	ok := ignoreFencing || o.Fencing >= l.fencing
	l.fencing = max(l.fencing, o.Fencing)
	if ok && o.Kind == orderSetRole {
		l.role = o.Role
	}
	l.list = append(l.list, orderEntry{o, time.Now(), ok})
	l.list = l.list[max(0, len(l.list)-maxOrders):]
	return ok
}

// serveOrder accepts an order. A version that is being loaded shows in the
// load report once it is ready.
func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o order
	if !server.ReadJSON(w, r, orderLimit, &o) {
		return
	}
	if o.Kind != orderLoad && o.Kind != orderUnload && o.Kind != orderSetRole {
		http.Error(w, "unknown kind", http.StatusBadRequest)
		return
	}
	if !e.orders.take(o, e.faults.Get().IgnoreFencing) {
		writeError(w, http.StatusConflict, "old-fencing")
		return
	}
	switch o.Kind {
	case orderLoad:
		go e.loadVersion(o.Version)
	case orderUnload:
		e.setLoaded(o.Version, false)
	}
	server.WriteJSON(w, http.StatusOK, o)
}

func (e *Engine) serveOrders(w http.ResponseWriter, _ *http.Request) {
	e.orders.mu.Lock()
	defer e.orders.mu.Unlock()
	server.WriteJSON(w, http.StatusOK, struct {
		Fencing int64        `json:"fencing"`
		Role    string       `json:"role"`
		Orders  []orderEntry `json:"orders"`
	}{e.orders.fencing, e.orders.role, e.orders.list})
}

func (e *Engine) setLoaded(v fescuelatch.VersionID, loaded bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if loaded {
		e.versions[v] = true
	} else {
		delete(e.versions, v)
	}
}

// loadVersion fetches the weights of a version, when there is a store, and
// loads it.
func (e *Engine) loadVersion(v fescuelatch.VersionID) {
	ctx, cancel := context.WithTimeout(context.Background(), loadTimeout)
	defer cancel()
	if e.settings.Weights.IsValid() {
		if err := e.fetchWeights(ctx, v); err != nil {
			e.log.Warn("version not loaded", "version", v, "error", err.Error())
			return
		}
	}
	if pause.For(ctx, e.settings.LoadTime) {
		e.setLoaded(v, true)
	}
}

// fetchWeights repeats the fetch until it succeeds or ctx ends.
func (e *Engine) fetchWeights(ctx context.Context, v fescuelatch.VersionID) error {
	for {
		err := fetch(ctx, fmt.Sprintf("http://%s/weights/%s", e.settings.Weights, v))
		if err == nil {
			return nil
		}
		if !pause.For(ctx, weightsRetry) {
			return &Error{Op: "load", Kind: KindWeights, Err: err}
		}
	}
}

func fetch(ctx context.Context, url string) error {
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return err
	}
	r, err := http.DefaultClient.Do(q)
	if err != nil {
		return err
	}
	defer func() { _ = r.Body.Close() }()
	if r.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", r.StatusCode)
	}
	_, err = io.Copy(io.Discard, r.Body)
	return err
}

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

// This file defines orders, which load or unload a version or set a role.

const (
	maxOrderBytes        = 1 << 16 // bytes
	maxOrders            = 10_000
	weightsRetryInterval = time.Second
	loadTimeout          = 10 * time.Minute
)

// Order kinds.
const (
	orderLoad    = "load"
	orderUnload  = "unload"
	orderSetRole = "set-role"
)

// order is an order as received.
type order struct {
	Fencing int64                 `json:"fencing"`
	Kind    string                `json:"kind"`
	Version fescuelatch.VersionID `json:"version,omitempty"`
	Role    string                `json:"role,omitempty"`
}

// orderEntry is an order in the log, with its outcome.
type orderEntry struct {
	order
	At       time.Time `json:"at"`
	Accepted bool      `json:"accepted"`
}

// orderLog records orders and the highest fencing number. The zero value is
// empty.
type orderLog struct {
	mu      sync.Mutex
	fencing int64
	role    string
	list    []orderEntry
}

// accept records an order and reports whether its fencing number is valid.
func (l *orderLog) accept(o order, ignoreFencing bool) bool {
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

// serveOrder handles an order. A version appears in the load report once it
// has been loaded.
func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o order
	if !server.ReadJSON(w, r, maxOrderBytes, &o) {
		return
	}
	if o.Kind != orderLoad && o.Kind != orderUnload && o.Kind != orderSetRole {
		http.Error(w, "unknown kind", http.StatusBadRequest)
		return
	}
	if !e.orders.accept(o, e.faults.Get().IgnoreFencing) {
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

// loadVersion loads a version, after fetching its weights if there is a store.
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

// fetchWeights retries the fetch until it succeeds or ctx ends.
func (e *Engine) fetchWeights(ctx context.Context, v fescuelatch.VersionID) error {
	for {
		err := fetch(ctx, fmt.Sprintf("http://%s/weights/%s", e.settings.Weights, v))
		if err == nil {
			return nil
		}
		if !pause.For(ctx, weightsRetryInterval) {
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

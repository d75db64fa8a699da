// Package weights simulates the rate-limited store of model weights.
package weights

import (
	"bytes"
	"context"
	"log/slog"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/gorilla/mux"

	"fescuelatch/cmd/standin/server"
	"fescuelatch/internal/pause"
)

// This file defines the store.

const retryAfter = "1" // seconds

// Settings configure the store.
type Settings struct {
	Listen netip.AddrPort `arg:"--listen,required,env:STANDIN_LISTEN" help:"address to serve at"`
	Rate   float64        `arg:"--rate,env:STANDIN_RATE" default:"1" help:"fetches a second, 0 for no limit"`
	Time   time.Duration  `arg:"--time,env:STANDIN_TIME" default:"500ms" help:"time of a fetch"`
	Size   int            `arg:"--size,env:STANDIN_SIZE" default:"65536" help:"bytes of a version's weights"`
}

// Run serves until ctx ends.
func (s *Settings) Run(ctx context.Context, log *slog.Logger) error {
	t := New(Faults{Rate: s.Rate, Time: s.Time, Size: s.Size})
	return server.Run(ctx, log, s.Listen, t.Handler())
}

// Faults are the faults of the store.
type Faults struct {
	// Rate limits the fetches per second; 0 means no limit.
	Rate float64 `json:"rate"`
	// Time is the duration of a fetch, Size its size in bytes.
	Time time.Duration `json:"time"`
	Size int           `json:"size"`
	// Outage closes all connections.
	Outage bool `json:"outage"`
}

// Store serves weights.
type Store struct {
	faults server.Faults[Faults]
	limit  server.Limiter
}

// New returns a store with the given faults.
func New(f Faults) *Store {
	s := new(Store)
	s.faults.Set(f)
	return s
}

// Handler returns the HTTP handler.
func (s *Store) Handler() http.Handler {
	r := mux.NewRouter()
	r.Handle("/faults", &s.faults).Methods(http.MethodGet, http.MethodPost)
	r.HandleFunc("/weights/{version}", s.get).Methods(http.MethodGet)
	return r
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	f := s.faults.Get()
	if f.Outage {
		server.Abort()
	}
	if !s.limit.Allow(f.Rate) {
		w.Header().Set("Retry-After", retryAfter)
		http.Error(w, "too many requests", http.StatusTooManyRequests)
		return
	}
	if !pause.For(r.Context(), f.Time) {
		server.Abort()
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(f.Size))
	_, _ = w.Write(bytes.Repeat([]byte{0}, f.Size))
}

// Package engine simulates a model engine with continuous batching.
package engine

import (
	"context"
	"log/slog"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/gorilla/mux"
	lru "github.com/hashicorp/golang-lru/v2/simplelru"

	"fescuelatch"
	"fescuelatch/cmd/standin/endpoint"
	"fescuelatch/cmd/standin/server"
)

// This file defines the engine, its settings and its load report.

const (
	// cachedFirstToken scales the time to the first token when the prefix
	// is cached.
	cachedFirstToken = 0.3
	// coldSlowdown scales the time of a step while cold.
	coldSlowdown  = 2.0
	maxRuns       = 4096
	maxRecentRuns = 8
)

// Settings configure an engine.
type Settings struct {
	Listen        netip.AddrPort                    `arg:"--listen,required,env:STANDIN_LISTEN" help:"address to serve at"`
	Endpoint      fescuelatch.EndpointID            `arg:"--endpoint,env:STANDIN_ENDPOINT" help:"identifier in load reports"`
	Versions      []fescuelatch.VersionID           `arg:"--versions,env:STANDIN_VERSIONS" help:"versions loaded at the start"`
	Quality       map[fescuelatch.VersionID]float64 `arg:"--quality,env:STANDIN_QUALITY" help:"probability of good answers, VERSION=NUMBER for each version"`
	Slots         int                               `arg:"--slots,env:STANDIN_SLOTS" default:"8" help:"requests that run at once"`
	Queue         int                               `arg:"--queue,env:STANDIN_QUEUE" default:"64" help:"requests that may wait"`
	ColdSlots     int                               `arg:"--cold-slots,env:STANDIN_COLD_SLOTS" default:"2" help:"requests borne when cold, 0 for no limit"`
	ColdStart     time.Duration                     `arg:"--cold-start,env:STANDIN_COLD_START" default:"0s" help:"time for which a new process is cold"`
	FallOver      time.Duration                     `arg:"--fall-over,env:STANDIN_FALL_OVER" default:"5s" help:"time without service after falling over"`
	FirstToken    time.Duration                     `arg:"--first-token,env:STANDIN_FIRST_TOKEN" default:"40ms" help:"time to the first token of a lone request"`
	BetweenTokens time.Duration                     `arg:"--between-tokens,env:STANDIN_BETWEEN_TOKENS" default:"4ms" help:"time between tokens of a lone request"`
	Growth        float64                           `arg:"--growth,env:STANDIN_GROWTH" default:"1" help:"growth of these times up to full concurrency"`
	LoadLag       time.Duration                     `arg:"--load-lag,env:STANDIN_LOAD_LAG" default:"200ms" help:"lag of load reports"`
	CacheLag      time.Duration                     `arg:"--cache-lag,env:STANDIN_CACHE_LAG" default:"200ms" help:"lag of cache events"`
	CacheSize     int                               `arg:"--cache-size,env:STANDIN_CACHE_SIZE" default:"256" help:"prefixes held"`
	LoadTime      time.Duration                     `arg:"--load-time,env:STANDIN_LOAD_TIME" default:"500ms" help:"time to load a version"`
	Weights       netip.AddrPort                    `arg:"--weights,env:STANDIN_WEIGHTS" help:"weight store to load versions from"`
	IgnoreFencing bool                              `arg:"--ignore-fencing,env:STANDIN_IGNORE_FENCING" help:"accept orders with an old fencing number"`
}

// Run serves until ctx ends.
func (s *Settings) Run(ctx context.Context, log *slog.Logger) error {
	e := New(*s, log)
	go e.Sample(ctx)
	return server.Run(ctx, log, s.Listen, e.Handler())
}

// Engine is a simulated model engine.
type Engine struct {
	settings Settings
	log      *slog.Logger
	faults   server.Faults[Faults]
	record   *recorder
	cache    *cache
	load     endpoint.LoadReports
	orders   orderLog

	mu          sync.Mutex
	incarnation fescuelatch.Incarnation
	versions    map[fescuelatch.VersionID]bool
	arrivals    int64
	running     map[*run]bool
	queue       queue
	runs        *lru.LRU[fescuelatch.AttemptID, *run]
	recent      []*run // ended most recently, for crossed responses
	cold        endpoint.ColdStart
}

// New returns an engine whose cold start begins now.
func New(s Settings, log *slog.Logger) *Engine {
	s.Slots = max(1, s.Slots)
	e := &Engine{
		settings:    s,
		log:         log,
		record:      newRecorder(),
		cache:       newCache(s.CacheSize),
		incarnation: endpoint.NewIncarnation(),
		versions:    make(map[fescuelatch.VersionID]bool),
		running:     make(map[*run]bool),
		cold:        endpoint.ColdStart{Slots: s.ColdSlots, Time: s.ColdStart, FallOver: s.FallOver},
	}
	e.cold.Begin(time.Now())
	e.load.Lag = func() time.Duration { return e.faults.Get().LoadLag }
	e.load.Report = e.report
	// NewLRU fails only for a size below 1.
	e.runs, _ = lru.NewLRU[fescuelatch.AttemptID, *run](maxRuns, nil)
	for _, v := range s.Versions {
		e.versions[v] = true
	}
	e.faults.Set(Faults{
		Quality:       s.Quality,
		LoadLag:       s.LoadLag,
		CacheLag:      s.CacheLag,
		IgnoreFencing: s.IgnoreFencing,
	})
	e.faults.OnPost(e.apply)
	return e
}

// Handler returns the HTTP handler.
func (e *Engine) Handler() http.Handler {
	r := mux.NewRouter()
	r.Handle("/faults", &e.faults).Methods(http.MethodGet, http.MethodPost)
	r.HandleFunc("/counts", e.serveCounts).Methods(http.MethodGet)
	r.HandleFunc("/starts", e.serveStarts).Methods(http.MethodGet)
	s := r.NewRoute().Subrouter()
	s.Use(e.abortWhenDown)
	s.HandleFunc("/v1/chat/completions", e.serveCompletion).Methods(http.MethodPost)
	s.HandleFunc("/v1/requests/{id}/cancel", e.serveCancel).Methods(http.MethodPost)
	s.HandleFunc("/v1/requests/{id}/stream", e.serveResume).Methods(http.MethodGet)
	s.Handle("/load", &e.load).Methods(http.MethodGet)
	s.HandleFunc("/cache-events", e.serveCacheEvents).Methods(http.MethodGet)
	s.HandleFunc("/orders", e.serveOrder).Methods(http.MethodPost)
	s.HandleFunc("/orders", e.serveOrders).Methods(http.MethodGet)
	return r
}

// abortWhenDown closes all connections while the engine is down.
func (e *Engine) abortWhenDown(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if e.down() {
			server.Abort()
		}
		h.ServeHTTP(w, r)
	})
}

func (e *Engine) down() bool {
	f := e.faults.Get()
	e.mu.Lock()
	defer e.mu.Unlock()
	return f.Down || e.cold.Down(time.Now())
}

// Sample samples the load until ctx ends.
func (e *Engine) Sample(ctx context.Context) { e.load.Sample(ctx) }

// report returns the current load.
func (e *Engine) report() fescuelatch.LoadReport {
	f := e.faults.Get()
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	r := fescuelatch.LoadReport{
		Endpoint:    e.settings.Endpoint,
		Incarnation: e.incarnation,
		State:       endpoint.State(&e.cold, f.Leaving, now),
		Running:     len(e.running),
		Waiting:     len(e.queue),
		Slots:       e.settings.Slots,
		Generated:   now,
	}
	for v := range e.versions {
		r.Versions = append(r.Versions, v)
	}
	slices.Sort(r.Versions)
	return r
}

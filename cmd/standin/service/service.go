// Package service simulates services other than model engines.
package service

import (
	"context"
	"log/slog"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"fescuelatch"
	"fescuelatch/cmd/standin/endpoint"
	"fescuelatch/cmd/standin/server"
)

// This file defines the service, its settings, faults and load.

// Settings configure a service.
type Settings struct {
	Listen      netip.AddrPort         `arg:"--listen,required,env:STANDIN_LISTEN" help:"address to serve at"`
	Endpoint    fescuelatch.EndpointID `arg:"--endpoint,env:STANDIN_ENDPOINT" help:"identifier in load reports"`
	Slots       int                    `arg:"--slots,env:STANDIN_SLOTS" default:"16" help:"calls that run at once"`
	ColdSlots   int                    `arg:"--cold-slots,env:STANDIN_COLD_SLOTS" default:"0" help:"calls borne when cold, 0 for no limit"`
	ColdStart   time.Duration          `arg:"--cold-start,env:STANDIN_COLD_START" default:"0s" help:"time for which a new process is cold"`
	FallOver    time.Duration          `arg:"--fall-over,env:STANDIN_FALL_OVER" default:"5s" help:"time without service after falling over"`
	ServiceTime time.Duration          `arg:"--service-time,env:STANDIN_SERVICE_TIME" default:"10ms" help:"time of a call"`
	LoadLag     time.Duration          `arg:"--load-lag,env:STANDIN_LOAD_LAG" default:"200ms" help:"lag of load reports"`
}

// Run serves until ctx ends.
func (s *Settings) Run(ctx context.Context, log *slog.Logger) error {
	v := New(*s)
	go v.Sample(ctx)
	return server.Run(ctx, log, s.Listen, v.Handler())
}

// Faults are the faults of a service.
type Faults struct {
	// LoadLag delays load reports.
	LoadLag time.Duration `json:"load-lag"`
	// Late delays responses by LateBy after the execution.
	Late   server.Chance `json:"late"`
	LateBy time.Duration `json:"late-by"`
	// Crossed sends the response of another call.
	Crossed server.Chance `json:"crossed"`
	// Cut closes the connection after the execution, CutBefore before it.
	Cut       server.Chance `json:"cut"`
	CutBefore server.Chance `json:"cut-before"`
	// ErrorBefore and ErrorAfter respond 500 before and after execution.
	ErrorBefore server.Chance `json:"error-before"`
	ErrorAfter  server.Chance `json:"error-after"`
	// Unavailable responds 503 without execution.
	Unavailable server.Chance `json:"unavailable"`
	// Leaving is reported in the load. Down closes all connections.
	Leaving bool `json:"leaving"`
	Down    bool `json:"down"`
	// Cold makes the service cold once; the active faults omit it.
	Cold *endpoint.Cold `json:"cold,omitempty"`
}

// counts is the response to GET /counts.
type counts struct {
	Calls      int `json:"calls"`
	Executions int `json:"executions"`
	FallOvers  int `json:"fall-overs"`
	MaxCold    int `json:"max-cold-concurrency"`
	MaxRunning int `json:"max-concurrency"`
	// AfterLeaving counts calls received while leaving.
	AfterLeaving int `json:"received-while-leaving"`
}

// Service runs calls and records each execution.
type Service struct {
	settings Settings
	faults   server.Faults[Faults]
	load     endpoint.LoadReports

	mu          sync.Mutex
	incarnation fescuelatch.Incarnation
	cold        endpoint.ColdStart
	running     int
	// aborted is closed when the calls in progress are aborted.
	aborted      chan struct{}
	counts       counts
	executions   []execution
	lastResponse callResponse
}

// New returns a service whose cold start begins now.
func New(s Settings) *Service {
	v := &Service{
		settings:     s,
		incarnation:  endpoint.NewIncarnation(),
		cold:         endpoint.ColdStart{Slots: s.ColdSlots, Time: s.ColdStart, FallOver: s.FallOver},
		aborted:      make(chan struct{}),
		lastResponse: callResponse{Nonce: "other", Attempt: "other", Result: resultDone},
	}
	v.cold.Begin(time.Now())
	v.load.Lag = func() time.Duration { return v.faults.Get().LoadLag }
	v.load.Report = v.report
	v.faults.Set(Faults{LoadLag: s.LoadLag})
	v.faults.OnPost(v.apply)
	return v
}

// Handler returns the HTTP handler.
func (s *Service) Handler() http.Handler {
	r := mux.NewRouter()
	r.Handle("/faults", &s.faults).Methods(http.MethodGet, http.MethodPost)
	r.HandleFunc("/executions", s.serveExecutions).Methods(http.MethodGet)
	r.HandleFunc("/counts", s.serveCounts).Methods(http.MethodGet)
	r.HandleFunc("/v1/services/{service}/{operation}", s.serveCall).Methods(http.MethodPost)
	r.HandleFunc("/load", s.serveLoad).Methods(http.MethodGet)
	return r
}

// apply performs the one-time effects of a change of faults and returns the
// faults that stay active.
func (s *Service) apply(f Faults) Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := f.Cold
	if f.Down || (c != nil && c.Break) {
		s.abortAll()
	}
	if c != nil {
		if c.NewIncarnation {
			s.incarnation = endpoint.NewIncarnation()
		}
		s.cold.MakeCold(c, time.Now())
		f.Cold = nil
	}
	return f
}

// abortAll aborts the calls in progress.
func (s *Service) abortAll() {
	close(s.aborted)
	s.aborted = make(chan struct{})
	s.running = 0
}

// Sample samples the load until ctx ends.
func (s *Service) Sample(ctx context.Context) { s.load.Sample(ctx) }

// report returns the current load.
func (s *Service) report() fescuelatch.LoadReport {
	leaving := s.faults.Get().Leaving
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	return fescuelatch.LoadReport{
		Endpoint:    s.settings.Endpoint,
		Incarnation: s.incarnation,
		State:       endpoint.State(&s.cold, leaving, now),
		Running:     s.running,
		Slots:       s.settings.Slots,
		Generated:   now,
	}
}

// down reports whether the service is down.
func (s *Service) down() bool {
	f := s.faults.Get()
	s.mu.Lock()
	defer s.mu.Unlock()
	return f.Down || s.cold.Down(time.Now())
}

func (s *Service) serveLoad(w http.ResponseWriter, r *http.Request) {
	if s.down() {
		server.Abort()
	}
	s.load.ServeHTTP(w, r)
}

func (s *Service) serveExecutions(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	es := append([]execution{}, s.executions...)
	s.mu.Unlock()
	server.WriteJSON(w, http.StatusOK, struct {
		Executions []execution `json:"executions"`
	}{es})
}

func (s *Service) serveCounts(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	c := s.counts
	c.Executions = len(s.executions)
	c.FallOvers, c.MaxCold = s.cold.FallOvers(), s.cold.MaxCold()
	s.mu.Unlock()
	server.WriteJSON(w, http.StatusOK, c)
}

// Package service stands for plain services beside the model engines.
package service

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/gorilla/mux"

	"fescuelatch"
	"fescuelatch/cmd/standin/server"
)

// This file defines the service, its settings and its executions.

const (
	requestLimit = 8 << 20 // bytes
	retryAfter   = "1"     // seconds
)

// Settings are the settings of a service.
type Settings struct {
	Listen      netip.AddrPort         `arg:"--listen,required,env:STANDIN_LISTEN" help:"address to serve at"`
	Endpoint    fescuelatch.EndpointID `arg:"--endpoint,env:STANDIN_ENDPOINT" help:"identifier in load reports"`
	Slots       int                    `arg:"--slots,env:STANDIN_SLOTS" default:"16" help:"calls that run at once"`
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
	// Late delays answers by LateBy after the execution.
	Late   server.Chance `json:"late"`
	LateBy time.Duration `json:"late-by"`
	// Crossed answers with the answer of another call.
	Crossed server.Chance `json:"crossed"`
	// Cut breaks the connection after the execution, CutBefore without one.
	Cut       server.Chance `json:"cut"`
	CutBefore server.Chance `json:"cut-before"`
	// ErrorBefore and ErrorAfter answer 500 without and with execution.
	ErrorBefore server.Chance `json:"error-before"`
	ErrorAfter  server.Chance `json:"error-after"`
	// Unavailable answers 503 without execution.
	Unavailable server.Chance `json:"unavailable"`
	// Leaving is reported in the load. Down breaks all connections.
	Leaving bool `json:"leaving"`
	Down    bool `json:"down"`
}

// execution is one execution of a call.
type execution struct {
	Key       string                  `json:"key"`
	Service   fescuelatch.ServiceID   `json:"service"`
	Operation fescuelatch.OperationID `json:"operation"`
	Attempt   fescuelatch.AttemptID   `json:"attempt"`
	At        time.Time               `json:"at"`
}

// answer is the answer to a call.
type answer struct {
	Nonce   string                `json:"nonce"`
	Attempt fescuelatch.AttemptID `json:"attempt"`
	Result  string                `json:"result"`
}

// Service runs calls and keeps a record of each execution.
type Service struct {
	settings    Settings
	faults      server.Faults[Faults]
	load        server.Lag[fescuelatch.LoadReport]
	incarnation fescuelatch.Incarnation

	mu         sync.Mutex
	running    int
	executions []execution
	last       answer
}

// New returns a service that starts now.
func New(s Settings) *Service {
	v := &Service{settings: s, incarnation: fescuelatch.Incarnation(uuid.NewString())}
	v.last = answer{Nonce: "other", Attempt: "other", Result: "done"}
	v.faults.Set(Faults{LoadLag: s.LoadLag})
	return v
}

// Handler returns the HTTP handler.
func (s *Service) Handler() http.Handler {
	r := mux.NewRouter()
	r.Handle("/faults", &s.faults).Methods(http.MethodGet, http.MethodPost)
	r.HandleFunc("/executions", s.serveExecutions).Methods(http.MethodGet)
	r.HandleFunc("/v1/services/{service}/{operation}", s.serveCall).Methods(http.MethodPost)
	r.HandleFunc("/load", s.serveLoad).Methods(http.MethodGet)
	return r
}

// serveCall runs a call.
func (s *Service) serveCall(w http.ResponseWriter, r *http.Request) {
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, requestLimit))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if s.refuses(w) {
		return
	}
	if !s.acquire() {
		writeUnavailable(w)
		return
	}
	defer s.release()
	a := s.execute(r, b)
	s.answer(r.Context(), w, a)
}

// refuses applies the faults that precede an execution and reports whether
// the call has been answered.
func (s *Service) refuses(w http.ResponseWriter) bool {
	switch {
	case s.faults.Get().Down || s.takes(func(f *Faults) *server.Chance { return &f.CutBefore }):
		server.Abort()
	case s.takes(func(f *Faults) *server.Chance { return &f.Unavailable }):
		writeUnavailable(w)
	case s.takes(func(f *Faults) *server.Chance { return &f.ErrorBefore }):
		http.Error(w, "internal error", http.StatusInternalServerError)
	default:
		return false
	}
	return true
}

func (s *Service) takes(field func(*Faults) *server.Chance) bool { return s.faults.Take(field) }

func writeUnavailable(w http.ResponseWriter) {
	w.Header().Set("Retry-After", retryAfter)
	http.Error(w, "unavailable", http.StatusServiceUnavailable)
}

func (s *Service) acquire() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running >= s.settings.Slots {
		return false
	}
	s.running++
	return true
}

func (s *Service) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

// execute records the execution and takes the service time, also when the
// client is gone.
func (s *Service) execute(r *http.Request, body []byte) answer {
	var q struct {
		Nonce string `json:"nonce"`
	}
	// A body without a nonce is served as well.
	_ = json.Unmarshal(body, &q)
	key := r.Header.Get("Idempotency-Key")
	if key == "" {
		key = q.Nonce
	}
	v := mux.Vars(r)
	e := execution{
		Key:       key,
		Service:   fescuelatch.ServiceID(v["service"]),
		Operation: fescuelatch.OperationID(v["operation"]),
		Attempt:   fescuelatch.AttemptID(r.Header.Get("X-Request-Id")),
		At:        time.Now(),
	}
	s.mu.Lock()
	s.executions = append(s.executions, e)
	s.mu.Unlock()
	server.Sleep(context.WithoutCancel(r.Context()), s.settings.ServiceTime)
	return answer{Nonce: q.Nonce, Attempt: e.Attempt, Result: "done"}
}

// answer sends an answer, with the faults that apply.
func (s *Service) answer(ctx context.Context, w http.ResponseWriter, a answer) {
	if s.takes(func(f *Faults) *server.Chance { return &f.Late }) {
		server.Sleep(ctx, s.faults.Get().LateBy)
	}
	if s.takes(func(f *Faults) *server.Chance { return &f.Cut }) {
		server.Abort()
	}
	if s.takes(func(f *Faults) *server.Chance { return &f.ErrorAfter }) {
		http.Error(w, "internal error", http.StatusInternalServerError)
		return
	}
	s.mu.Lock()
	other := s.last
	s.last = a
	s.mu.Unlock()
	if s.takes(func(f *Faults) *server.Chance { return &f.Crossed }) {
		a = other
	}
	w.Header().Set("X-Request-Id", string(a.Attempt))
	server.WriteJSON(w, http.StatusOK, a)
}

func (s *Service) serveExecutions(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	es := append([]execution{}, s.executions...)
	s.mu.Unlock()
	server.WriteJSON(w, http.StatusOK, struct {
		Executions []execution `json:"executions"`
	}{es})
}

// Sample records the load until ctx ends.
func (s *Service) Sample(ctx context.Context) {
	lag := func() time.Duration { return s.faults.Get().LoadLag }
	s.load.Sample(ctx, lag, s.report)
}

func (s *Service) report() fescuelatch.LoadReport {
	state := fescuelatch.EndpointWarm
	if s.faults.Get().Leaving {
		state = fescuelatch.EndpointLeaving
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return fescuelatch.LoadReport{
		Endpoint:    s.settings.Endpoint,
		Incarnation: s.incarnation,
		State:       state,
		Running:     s.running,
		Slots:       s.settings.Slots,
		Generated:   time.Now(),
	}
}

func (s *Service) serveLoad(w http.ResponseWriter, _ *http.Request) {
	f := s.faults.Get()
	if f.Down {
		server.Abort()
	}
	report := s.load.At(time.Now().Add(-f.LoadLag))
	if f.LoadLag == 0 || report.Generated.IsZero() {
		report = s.report()
	}
	server.WriteJSON(w, http.StatusOK, report)
}

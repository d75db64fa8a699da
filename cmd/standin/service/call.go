package service

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/gorilla/mux"

	"fescuelatch"
	"fescuelatch/cmd/standin/endpoint"
	"fescuelatch/cmd/standin/server"
	"fescuelatch/internal/pause"
)

// This file defines calls and their executions.

const (
	requestLimit = 8 << 20 // bytes
	resultDone   = "done"
)

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
	a, done := s.execute(r, b)
	if !done {
		server.Abort()
	}
	s.answer(r.Context(), w, a)
}

// refuses applies the faults that precede an execution and reports whether
// the call has been answered.
func (s *Service) refuses(w http.ResponseWriter) bool {
	switch {
	case s.down() || s.takes(func(f *Faults) *server.Chance { return &f.CutBefore }):
		server.Abort()
	case s.takes(func(f *Faults) *server.Chance { return &f.ErrorBefore }):
		http.Error(w, "internal error", http.StatusInternalServerError)
	case s.takes(func(f *Faults) *server.Chance { return &f.Unavailable }), !s.admit():
		endpoint.AdviseRetry(w)
		http.Error(w, "unavailable", http.StatusServiceUnavailable)
	default:
		return false
	}
	return true
}

func (s *Service) takes(field func(*Faults) *server.Chance) bool { return s.faults.Take(field) }

// admit takes a slot. It reports false when none is free, and breaks the
// connection when the service falls over.
func (s *Service) admit() bool {
	leaving := s.faults.Get().Leaving
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Calls++
	if leaving {
		s.counts.AfterLeaving++
	}
	if !s.cold.Admit(time.Now(), s.running+1) {
		s.breakAll()
		s.incarnation = endpoint.NewIncarnation()
		server.Abort()
	}
	if s.running >= s.settings.Slots {
		return false
	}
	s.running++
	s.counts.MaxRunning = max(s.counts.MaxRunning, s.running)
	return true
}

// execute records the execution and takes the service time, also when the
// client is gone. It reports false when the call broke.
func (s *Service) execute(r *http.Request, body []byte) (answer, bool) {
	e, nonce := newExecution(r, body)
	s.mu.Lock()
	s.executions = append(s.executions, e)
	broken := s.broken
	s.mu.Unlock()
	t := time.NewTimer(s.settings.ServiceTime)
	defer t.Stop()
	select {
	case <-t.C:
	case <-broken:
		return answer{}, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.broken != broken {
		return answer{}, false
	}
	s.running--
	return answer{Nonce: nonce, Attempt: e.Attempt, Result: resultDone}, true
}

// newExecution returns the execution of a call and the nonce of its body.
func newExecution(r *http.Request, body []byte) (execution, string) {
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
	return execution{
		Key:       key,
		Service:   fescuelatch.ServiceID(v["service"]),
		Operation: fescuelatch.OperationID(v["operation"]),
		Attempt:   fescuelatch.AttemptID(r.Header.Get("X-Request-Id")),
		At:        time.Now(),
	}, q.Nonce
}

// answer sends an answer, with the faults that apply.
func (s *Service) answer(ctx context.Context, w http.ResponseWriter, a answer) {
	if s.takes(func(f *Faults) *server.Chance { return &f.Late }) {
		pause.For(ctx, s.faults.Get().LateBy)
	}
	if s.takes(func(f *Faults) *server.Chance { return &f.Cut }) {
		server.Abort()
	}
	if s.takes(func(f *Faults) *server.Chance { return &f.ErrorAfter }) {
		http.Error(w, "internal error", http.StatusInternalServerError)
		return
	}
	if other := s.swapLast(a); s.takes(func(f *Faults) *server.Chance { return &f.Crossed }) {
		a = other
	}
	w.Header().Set("X-Request-Id", string(a.Attempt))
	server.WriteJSON(w, http.StatusOK, a)
}

// swapLast keeps an answer for crossing and returns the one before it.
func (s *Service) swapLast(a answer) answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	other := s.last
	s.last = a
	return other
}

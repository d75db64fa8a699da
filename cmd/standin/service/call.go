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
	maxRequestBytes = 8 << 20 // bytes
	resultDone      = "done"
)

// execution is one execution of a call.
type execution struct {
	Key       string                  `json:"key"`
	Service   fescuelatch.ServiceID   `json:"service"`
	Operation fescuelatch.OperationID `json:"operation"`
	Attempt   fescuelatch.AttemptID   `json:"attempt"`
	At        time.Time               `json:"at"`
}

// callResponse is the response to a call.
type callResponse struct {
	Nonce   string                `json:"nonce"`
	Attempt fescuelatch.AttemptID `json:"attempt"`
	Result  string                `json:"result"`
}

// serveCall runs a call.
func (s *Service) serveCall(w http.ResponseWriter, r *http.Request) {
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if s.reject(w) {
		return
	}
	a, done := s.execute(r, b)
	if !done {
		server.Abort()
	}
	s.respond(r.Context(), w, a)
}

// reject applies the faults that precede an execution. It reports whether it
// has sent a response.
func (s *Service) reject(w http.ResponseWriter) bool {
	switch {
	case s.down() || s.triggered(func(f *Faults) *server.Chance { return &f.CutBefore }):
		server.Abort()
	case s.triggered(func(f *Faults) *server.Chance { return &f.ErrorBefore }):
		http.Error(w, "internal error", http.StatusInternalServerError)
	case s.triggered(func(f *Faults) *server.Chance { return &f.Unavailable }), !s.admit():
		endpoint.SetRetryAfter(w)
		http.Error(w, "unavailable", http.StatusServiceUnavailable)
	default:
		return false
	}
	return true
}

func (s *Service) triggered(field func(*Faults) *server.Chance) bool { return s.faults.Fires(field) }

// admit takes a slot. It returns false if none is free and closes the
// connection if the service falls over.
func (s *Service) admit() bool {
	leaving := s.faults.Get().Leaving
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Calls++
	if leaving {
		s.counts.AfterLeaving++
	}
	if !s.cold.Admit(time.Now(), s.running+1) {
		s.abortAll()
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

// execute records the execution and waits for the service time, even if the
// client disconnects. It returns false if the call was aborted.
func (s *Service) execute(r *http.Request, body []byte) (callResponse, bool) {
	e, nonce := newExecution(r, body)
	s.mu.Lock()
	s.executions = append(s.executions, e)
	aborted := s.aborted
	s.mu.Unlock()
	t := time.NewTimer(s.settings.ServiceTime)
	defer t.Stop()
	select {
	case <-t.C:
	case <-aborted:
		return callResponse{}, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.aborted != aborted {
		return callResponse{}, false
	}
	s.running--
	return callResponse{Nonce: nonce, Attempt: e.Attempt, Result: resultDone}, true
}

// newExecution returns the execution of a call and the nonce of its body.
func newExecution(r *http.Request, body []byte) (execution, string) {
	var q struct {
		Nonce string `json:"nonce"`
	}
	// A body without a nonce is valid too.
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

// respond sends a response, with the faults that apply.
func (s *Service) respond(ctx context.Context, w http.ResponseWriter, a callResponse) {
	if s.triggered(func(f *Faults) *server.Chance { return &f.Late }) {
		pause.For(ctx, s.faults.Get().LateBy)
	}
	if s.triggered(func(f *Faults) *server.Chance { return &f.Cut }) {
		server.Abort()
	}
	if s.triggered(func(f *Faults) *server.Chance { return &f.ErrorAfter }) {
		http.Error(w, "internal error", http.StatusInternalServerError)
		return
	}
	if other := s.swapLast(a); s.triggered(func(f *Faults) *server.Chance { return &f.Crossed }) {
		a = other
	}
	w.Header().Set("X-Request-Id", string(a.Attempt))
	server.WriteJSON(w, http.StatusOK, a)
}

// swapLast stores a response for Faults.Crossed and returns the previous one.
func (s *Service) swapLast(a callResponse) callResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	other := s.lastResponse
	s.lastResponse = a
	return other
}

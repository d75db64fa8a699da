package engine

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"
	"github.com/gorilla/mux"

	"fescuelatch"
	"fescuelatch/cmd/standin/endpoint"
	"fescuelatch/cmd/standin/server"
)

// This file defines the HTTP handlers of the engine.

const maxRequestBytes = 8 << 20 // bytes

func (e *Engine) triggered(field func(*Faults) *server.Chance) bool { return e.faults.Fires(field) }

// serveCompletion runs a chat completion.
func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request) {
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	var q completionRequest
	if err == nil {
		err = json.Unmarshal(b, &q)
	}
	if err != nil {
		writeError(w, http.StatusBadRequest, "invalid-request")
		return
	}
	switch {
	case e.triggered(func(f *Faults) *server.Chance { return &f.Unavailable }):
		writeUnavailable(w)
		return
	case e.triggered(func(f *Faults) *server.Chance { return &f.ErrorBefore }):
		writeError(w, http.StatusInternalServerError, "internal")
		return
	}
	n := newRun(attemptOf(r), q)
	if err := e.admit(n); err != nil {
		writeRunError(w, err)
		return
	}
	defer e.handleDisconnect(r.Context(), n)
	e.respond(r.Context(), w, n)
}

func attemptOf(r *http.Request) fescuelatch.AttemptID {
	if id := r.Header.Get("X-Request-Id"); id != "" {
		return fescuelatch.AttemptID(id)
	}
	return fescuelatch.AttemptID(uuid.NewString())
}

// handleDisconnect ends a run whose client has disconnected. A running stream
// continues, as the client may resume it.
func (e *Engine) handleDisconnect(ctx context.Context, n *run) {
	if ctx.Err() == nil {
		return
	}
	e.mu.Lock()
	ends := e.queue.remove(n) || !n.request.Stream
	e.mu.Unlock()
	if ends {
		n.finish(&Error{Op: "run", Kind: KindCancelled})
	}
}

func kindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return ""
}

// writeRunError responds to a request whose run failed.
func writeRunError(w http.ResponseWriter, err error) {
	switch kindOf(err) {
	case KindNotStarted:
		writeUnavailable(w)
	case KindNotLoaded:
		writeError(w, http.StatusNotFound, "version-not-loaded")
	case KindCancelled:
		writeError(w, http.StatusInternalServerError, string(KindCancelled))
	default:
		server.Abort()
	}
}

func writeUnavailable(w http.ResponseWriter) {
	endpoint.SetRetryAfter(w)
	writeError(w, http.StatusServiceUnavailable, "unavailable")
}

func writeError(w http.ResponseWriter, status int, code string) {
	server.WriteJSON(w, status, errorBody(code))
}

func errorBody(code string) apiError {
	return apiError{apiErrorBody{Message: code, Type: "engine_error", Code: code}}
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	if !e.cancelRun(fescuelatch.AttemptID(mux.Vars(r)["id"])) {
		writeError(w, http.StatusNotFound, "unknown-request")
		return
	}
	server.WriteJSON(w, http.StatusOK, struct{}{})
}

func (e *Engine) serveResume(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	n, ok := e.runs.Get(fescuelatch.AttemptID(mux.Vars(r)["id"]))
	e.mu.Unlock()
	if !ok {
		writeError(w, http.StatusNotFound, "unknown-request")
		return
	}
	from, err := strconv.Atoi(r.FormValue("from"))
	if err != nil || from < 0 {
		writeError(w, http.StatusBadRequest, "invalid-from")
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	d := &delivery{run: n, copies: 1, cutAt: noCut}
	d.sendChunks(r.Context(), w, from)
}

func (e *Engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseInt(r.FormValue("after"), 10, 64)
	if err != nil && r.FormValue("after") != "" {
		writeError(w, http.StatusBadRequest, "invalid-after")
		return
	}
	f := e.faults.Get()
	server.WriteJSON(w, http.StatusOK, e.cache.after(after, f.CacheLag, f.CacheGap))
}

func (e *Engine) serveCounts(w http.ResponseWriter, _ *http.Request) {
	c := e.record.snapshot()
	e.mu.Lock()
	c.FallOvers, c.MaxCold = e.cold.FallOvers(), e.cold.MaxCold()
	e.mu.Unlock()
	server.WriteJSON(w, http.StatusOK, c)
}

// serveStarts returns the latest starts, optionally only those since a time.
func (e *Engine) serveStarts(w http.ResponseWriter, r *http.Request) {
	var since time.Time
	if s := r.FormValue("since"); s != "" {
		if err := since.UnmarshalText([]byte(s)); err != nil {
			writeError(w, http.StatusBadRequest, "invalid-since")
			return
		}
	}
	server.WriteJSON(w, http.StatusOK, struct {
		Starts []requestRecord `json:"starts"`
	}{e.record.latest(since)})
}

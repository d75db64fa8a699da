// Package server holds what every stand-in needs: an HTTP server that stops
// gracefully, JSON bodies, faults that are set at run time, and values that
// are seen with a lag.
package server

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"time"
)

// This file defines the HTTP server and its helpers.

const (
	readHeaderTimeout = 10 * time.Second
	// stopGrace is the time that requests in progress have on a stop.
	stopGrace = 2 * time.Second
)

// Run serves h at the address until ctx ends, then stops gracefully.
func Run(ctx context.Context, log *slog.Logger, listen netip.AddrPort, h http.Handler) error {
	var c net.ListenConfig
	l, err := c.Listen(ctx, "tcp", listen.String())
	if err != nil {
		return &Error{Op: "listen", Kind: KindNetwork, Err: err}
	}
	log.Info("listening", "address", l.Addr().String())
	base, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	s := &http.Server{
		Handler:           h,
		ReadHeaderTimeout: readHeaderTimeout,
		BaseContext:       func(net.Listener) context.Context { return base },
		ErrorLog:          slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		<-ctx.Done()
		stop(s, cancel)
	}()
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return &Error{Op: "serve", Kind: KindNetwork, Err: err}
	}
	<-stopped
	log.Info("stopped")
	return nil
}

// stop lets requests in progress end within stopGrace, then breaks them.
func stop(s *http.Server, cancel context.CancelFunc) {
	ctx, done := context.WithTimeout(context.Background(), stopGrace)
	defer done()
	if s.Shutdown(ctx) != nil {
		cancel()
		_ = s.Close()
	}
}

// WriteJSON answers with a status and a JSON body.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The client may be gone, which is no concern of a stand-in.
	_ = json.NewEncoder(w).Encode(v)
}

// ReadJSON decodes a body of at most limit bytes into v. It answers with 400
// and reports false when the body is not the JSON of v.
func ReadJSON(w http.ResponseWriter, r *http.Request, limit int64, v any) bool {
	// The server notices that a client is gone only once the body is read.
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	if err == nil {
		err = decodeStrict(b, v)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// Abort breaks the connection of the request without an answer.
func Abort() { panic(http.ErrAbortHandler) }

func decodeStrict(b []byte, v any) error {
	d := json.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	return d.Decode(v)
}

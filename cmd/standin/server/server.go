// Package server provides the common parts of all stand-ins: an HTTP server
// with graceful shutdown, JSON bodies, faults set at run time and values read
// with a lag.
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
	// shutdownTimeout is the time for requests in progress to complete.
	shutdownTimeout = 2 * time.Second
)

// Run serves h at the address until ctx ends, then shuts down gracefully.
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
		shutdown(s, cancel)
	}()
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return &Error{Op: "serve", Kind: KindNetwork, Err: err}
	}
	<-stopped
	log.Info("stopped")
	return nil
}

// shutdown aborts requests that are in progress after shutdownTimeout.
func shutdown(s *http.Server, cancel context.CancelFunc) {
	ctx, done := context.WithTimeout(context.Background(), shutdownTimeout)
	defer done()
	if s.Shutdown(ctx) != nil {
		cancel()
		_ = s.Close()
	}
}

// WriteJSON writes a response with a status and a JSON body.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A stand-in ignores clients that have disconnected.
	_ = json.NewEncoder(w).Encode(v)
}

// ReadJSON decodes a body of at most limit bytes into v. If the body is not
// valid JSON for v, it responds with 400 and returns false.
func ReadJSON(w http.ResponseWriter, r *http.Request, limit int64, v any) bool {
	// The server detects a disconnected client only once the body is read.
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

// Abort closes the connection of the request without a response.
func Abort() { panic(http.ErrAbortHandler) }

func decodeStrict(b []byte, v any) error {
	d := json.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	return d.Decode(v)
}

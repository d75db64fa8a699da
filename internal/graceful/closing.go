// Package graceful stops HTTP servers without losing a request: connections in
// the kernel's accept queue are passed to the server, and answers announce that
// their connection closes.
package graceful

import (
	"net/http"
	"sync/atomic"
	"time"
)

// This file defines how a stopping daemon closes its callers' connections. If
// an idle connection is closed, the caller may already have sent its next
// request there and cannot tell whether it was received. So the answers of a
// stopping daemon announce the close.

// lingerTimeout is how long a connection whose answer did not announce the close
// stays open for one more request, which is then rejected.
const lingerTimeout = 500 * time.Millisecond

// Closing announces the close of connections after Begin. Its zero value is
// ready to use.
type Closing struct {
	begun atomic.Bool
	// redirecting reports that callers should open other connections.
	redirecting atomic.Bool
	// lastKeptOpen is the end of the last answer that did not announce the
	// close, in Unix nanoseconds.
	lastKeptOpen atomic.Int64
}

// Begin announces the close in all answers whose headers are not yet written.
func (k *Closing) Begin() { k.begun.Store(true) }

// Redirect starts or stops announcing the close, for a daemon that continues
// to run.
func (k *Closing) Redirect(on bool) { k.redirecting.Store(on) }

// Begun reports whether Begin was called.
func (k *Closing) Begun() bool { return k.begun.Load() }

// Handler wraps h so that its answers announce the close.
func (k *Closing) Handler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		a := &closingWriter{ResponseWriter: w, closing: k}
		h.ServeHTTP(a, r)
		if !a.closes {
			k.lastKeptOpen.Store(time.Now().UnixNano())
		}
	})
}

// Remaining returns the remaining time for which connections should stay open.
func (k *Closing) Remaining(now time.Time) time.Duration {
	return max(0, time.Unix(0, k.lastKeptOpen.Load()).Add(lingerTimeout).Sub(now))
}

// closingWriter decides when the headers are written, since the stop may have
// begun after the request arrived.
type closingWriter struct {
	http.ResponseWriter
	closing *Closing
	written bool
	closes  bool
}

// WriteHeader implements http.ResponseWriter.
func (w *closingWriter) WriteHeader(status int) {
	if !w.written {
		w.written = true
		w.closes = w.closing.begun.Load() || w.closing.redirecting.Load()
	}
	if w.closes {
		w.Header().Set("Connection", "close")
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *closingWriter) Write(b []byte) (int, error) {
	if !w.written {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(b)
}

// Unwrap returns the underlying writer for http.ResponseController.
func (w *closingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// Package graceful stops HTTP servers without losing a request: connections
// that the kernel has opened are passed to the server, and answers announce that their
// connection closes.
package graceful

import (
	"net/http"
	"sync/atomic"
	"time"
)

// This file defines how a stopping daemon gets rid of its callers'
// connections. A connection that is closed while idle may be in use by the
// next request of its caller, who cannot tell whether that was received. So
// the answers of a stopping daemon announce the close.

// keptTime is how long a connection whose answer did not announce the close
// stays open for one more request, which is then refused.
const keptTime = 500 * time.Millisecond

// Closing announces the close of connections once it has begun. The zero
// value has not begun.
type Closing struct {
	begun atomic.Bool
	// redirects reports that callers are better served on other connections.
	redirects atomic.Bool
	// kept is when an answer last ended that did not announce the close, in
	// Unix nanoseconds.
	kept atomic.Int64
}

// Begin announces the close with all answers whose head is not yet written.
func (k *Closing) Begin() { k.begun.Store(true) }

// Redirect announces the close, or no longer does, for a daemon that goes on
// running.
func (k *Closing) Redirect(on bool) { k.redirects.Store(on) }

// Begun reports whether Begin was called.
func (k *Closing) Begun() bool { return k.begun.Load() }

// Handler returns h with answers that announce the close.
func (k *Closing) Handler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		a := &closingWriter{ResponseWriter: w, closing: k}
		h.ServeHTTP(a, r)
		if !a.closes {
			k.kept.Store(time.Now().UnixNano())
		}
	})
}

// Left returns how much longer the connections should be kept open.
func (k *Closing) Left(now time.Time) time.Duration {
	return max(0, time.Unix(0, k.kept.Load()).Add(keptTime).Sub(now))
}

// closingWriter decides when the head of an answer is written: the stop may
// have begun since its request came.
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
		w.closes = w.closing.begun.Load() || w.closing.redirects.Load()
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

// Unwrap gives http.ResponseController the writer below.
func (w *closingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

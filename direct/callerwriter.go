package direct

import (
	"net/http"
	"sync/atomic"
	"time"
)

// This file defines the writer of an answer to a caller.

// callerWriter writes an answer to a caller and shows whether a write is in progress.
// Only a write that does not end shows that the caller does not read: an attempt may
// also wait for the processor or for a decision.
type callerWriter struct {
	http.ResponseWriter
	// writes is the number of writes so far, and current the number of the one in
	// progress, or zero.
	writes  uint64
	current atomic.Uint64
}

// Write implements io.Writer.
func (w *callerWriter) Write(b []byte) (int, error) {
	w.begin()
	defer w.end()
	return w.ResponseWriter.Write(b) //nolint:wrapcheck,gosec // The caller has disconnected. Answers are relayed unchanged.
}

// FlushError is called by http.ResponseController.
func (w *callerWriter) FlushError() error {
	w.begin()
	defer w.end()
	return http.NewResponseController(w.ResponseWriter).Flush() //nolint:wrapcheck // As above.
}

// Unwrap is called by http.ResponseController.
func (w *callerWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (w *callerWriter) begin() {
	w.writes++
	w.current.Store(w.writes)
}

func (w *callerWriter) end() { w.current.Store(0) }

// awaitBlocked waits until done is closed or a write has been in progress for d. It
// reports whether a write is blocked.
func (w *callerWriter) awaitBlocked(done <-chan struct{}, d time.Duration) bool {
	var seen uint64
	for {
		select {
		case <-done:
			return false
		case <-time.After(d):
		}
		current := w.current.Load()
		if current != 0 && current == seen {
			return true
		}
		seen = current
	}
}

// abort makes the write in progress and all later ones fail.
func (w *callerWriter) abort() {
	// An error means that the connection is closed.
	_ = http.NewResponseController(w.ResponseWriter).SetWriteDeadline(time.Now())
}

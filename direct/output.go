package direct

import (
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"fescuelatch"
	"fescuelatch/endpoint"
	"fescuelatch/sse"
)

// This file defines the answer to a caller.

// bufferedAnswer is an endpoint's complete answer.
type bufferedAnswer struct {
	status int
	header http.Header
	body   []byte
}

// received is what a caller has received of an answer.
type received struct {
	started bool
	// status is that of the relayed answer, and stream reports whether it is a stream
	// of events.
	status int
	stream bool
	// lastEvent is the identifier of the last event sent to the caller. Events with
	// data, but without identifiers, have followed it if unplaced is set: then no
	// endpoint can resume the stream.
	lastEvent string
	unplaced  bool
}

// output is the answer to a caller. Only one attempt at a time writes to it.
type output struct {
	received
	// truncated reports that the answer must not appear complete.
	truncated bool
	timing    streamTiming
	// servedBy is the endpoint to name to the daemon that has passed the request on.
	servedBy fescuelatch.EndpointID
}

// streamTiming records when a caller was sent events. Only the attempt writes it,
// while the log may read first and longest.
type streamTiming struct {
	first, longest atomic.Int64 // time to the first event, longest gap between two
	lastAt         time.Time    // of the last event
}

func (p *streamTiming) record(now, arrived time.Time) {
	if p.lastAt.IsZero() {
		p.first.Store(int64(now.Sub(arrived)))
	} else if gap := int64(now.Sub(p.lastAt)); gap > p.longest.Load() {
		p.longest.Store(gap)
	}
	p.lastAt = now
}

// logAttributes returns the stream timing as log attributes.
func (p *streamTiming) logAttributes() []any {
	if p.first.Load() == 0 {
		return nil
	}
	return []any{"first", time.Duration(p.first.Load()).String(), "longest-gap", time.Duration(p.longest.Load()).String()}
}

// writeHeader writes the status and header of an answer. Only those of the first
// relayed attempt are written.
func (o *output) writeHeader(w http.ResponseWriter, dialect fescuelatch.HeaderCodec, a *endpoint.Answer) {
	if o.started {
		return
	}
	o.started, o.status, o.stream = true, a.Status, isStream(a)
	status := callerStatus(a.Status)
	o.copyHeader(w, dialect, a.Header, status != a.Status)
	w.WriteHeader(status)
}

// callerStatus returns the status that the caller gets for that of an answer. One which implies
// that the request did not run, although it may have, is replaced by a neutral one.
func callerStatus(status int) int {
	if impliesNotRun(status) {
		return http.StatusBadGateway
	}
	return status
}

// copyHeader copies the header of an endpoint's answer. It adds no Date field if
// the endpoint sent none.
func (o *output) copyHeader(w http.ResponseWriter, dialect fescuelatch.HeaderCodec, from http.Header, plain bool) {
	dialect.WriteAnswer(w.Header(), from, plain)
	if o.servedBy != "" {
		dialect.WriteServedBy(w.Header(), o.servedBy)
	}
	if _, dated := w.Header()["Date"]; !dated {
		w.Header()["Date"] = nil
	}
}

// writeEvent writes one event. When another endpoint resumes a stream, events that
// the caller has already received are skipped.
func (o *output) writeEvent(w http.ResponseWriter, e sse.Event, flush bool) error {
	if e.ID != "" {
		if !later(e.ID, o.lastEvent) {
			return nil
		}
		o.lastEvent = e.ID
	}
	o.unplaced = e.ID == "" && (e.Data || o.unplaced)
	if _, err := w.Write(e.Bytes); err != nil {
		return err //nolint:wrapcheck // The caller has disconnected.
	}
	if !flush {
		return nil
	}
	return http.NewResponseController(w).Flush() //nolint:wrapcheck // As above.
}

// later reports whether an event follows another one. Identifiers are
// increasing numbers; others cannot be compared and count as later.
func later(id, last string) bool {
	a, err := strconv.ParseInt(id, 10, 64)
	if err != nil {
		return true
	}
	b, err := strconv.ParseInt(last, 10, 64)
	return err != nil || a > b
}

// writeBuffered writes a buffered answer, without its body if its status is replaced.
func (o *output) writeBuffered(w http.ResponseWriter, dialect fescuelatch.HeaderCodec, a *bufferedAnswer) {
	o.started = true
	status := callerStatus(a.status)
	body := a.body
	o.copyHeader(w, dialect, a.header, status != a.status)
	if status != a.status {
		body = nil
		w.Header().Del("Content-Type")
	}
	if status != http.StatusNoContent && status != http.StatusNotModified {
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	w.WriteHeader(status)
	// An error means that the caller has disconnected.
	_, _ = w.Write(body) //nolint:gosec // The endpoint's answer is relayed unchanged.
}

// storeAnswer stores the buffered answer of an attempt.
func (s *activeRequest) storeAnswer(id fescuelatch.AttemptID, a *bufferedAnswer) {
	s.daemon.mu.Lock()
	defer s.daemon.mu.Unlock()
	s.answers[id] = a
}

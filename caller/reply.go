package caller

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"fescuelatch"
	"fescuelatch/engine"
	"fescuelatch/openai"
)

// This file defines Reply, which writes answers.

// Meta holds the header values common to all answers.
type Meta struct {
	Request fescuelatch.RequestID
	Version fescuelatch.VersionID
	// Session is the session token, or empty.
	Session string
}

// Failure is an error answer.
type Failure struct {
	Status     int
	Code       string
	Message    string
	Outcome    fescuelatch.Outcome
	RetryAfter time.Duration
}

// Reply writes one answer. The user calls either exactly one of Chat, Call and
// Fail, or StartStream, then Chunk any number of times, then Finish or Abort.
type Reply struct {
	w          http.ResponseWriter
	controller *http.ResponseController
	// id, if set, replaces the attempt ID in answers.
	id     string
	begun  bool
	closed bool
	// buffer holds the event being written.
	buffer []byte
}

// Framing of a server-sent event.
const (
	eventStart = "data: "
	eventEnd   = "\n\n"
)

// NewReply returns a reply that writes to w. A non-empty id replaces the
// attempt ID in answers.
func NewReply(w http.ResponseWriter, id string) *Reply {
	return &Reply{w: w, controller: http.NewResponseController(w), id: id}
}

// Started reports whether part of a streamed answer has been written.
func (r *Reply) Started() bool { return r.begun }

func (r *Reply) setHeaders(m Meta) {
	h := r.w.Header()
	h.Set(HeaderRequestID, string(m.Request))
	if m.Version != "" {
		h.Set(HeaderVersion, string(m.Version))
	}
	if m.Session != "" {
		h.Set(HeaderSession, m.Session)
	}
}

// Chat writes a complete chat completion.
func (r *Reply) Chat(m Meta, a *openai.ChatResponse) error {
	r.setHeaders(m)
	r.w.Header().Set(HeaderOutcome, string(fescuelatch.OutcomeAnswered))
	return r.writeBody(http.StatusOK, a.AppendAs(nil, r.id))
}

// Call writes the answer of a plain service.
func (r *Reply) Call(m Meta, a *engine.Answer, attempt fescuelatch.AttemptID) error {
	r.setHeaders(m)
	h := r.w.Header()
	h.Set(HeaderOutcome, string(fescuelatch.OutcomeAnswered))
	h.Set("Content-Type", a.ContentType)
	if r.id == "" {
		h.Set(engine.HeaderAttempt, string(attempt))
	}
	r.w.WriteHeader(a.Status)
	_, err := r.w.Write(a.Body)
	return err
}

// StartStream writes the headers of a streamed answer.
func (r *Reply) StartStream(m Meta) {
	if r.begun {
		return
	}
	r.begun = true
	r.setHeaders(m)
	h := r.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-cache")
	h.Set("Trailer", HeaderOutcome)
	r.w.WriteHeader(http.StatusOK)
}

// Chunk writes one chunk of a streamed answer.
func (r *Reply) Chunk(c *openai.Chunk) error {
	r.buffer = append(r.buffer[:0], eventStart...)
	r.buffer = c.AppendAs(r.buffer, r.id)
	return r.sendEvent()
}

// Finish ends a complete streamed answer.
func (r *Reply) Finish() error {
	r.closed = true
	r.w.Header().Set(HeaderOutcome, string(fescuelatch.OutcomeAnswered))
	if _, err := r.w.Write([]byte("data: [DONE]\n\n")); err != nil {
		return err
	}
	return r.controller.Flush()
}

// Abort ends an incomplete streamed answer with an error event and without the
// [DONE] marker.
func (r *Reply) Abort(f Failure) error {
	r.closed = true
	r.w.Header().Set(HeaderOutcome, string(f.Outcome))
	b, err := json.Marshal(f.body())
	if err != nil {
		return err
	}
	r.buffer = append(r.buffer[:0], eventStart...)
	r.buffer = append(r.buffer, b...)
	return r.sendEvent()
}

// sendEvent terminates the buffered event, writes it and flushes.
func (r *Reply) sendEvent() error {
	r.buffer = append(r.buffer, eventEnd...)
	if _, err := r.w.Write(r.buffer); err != nil {
		return err
	}
	return r.controller.Flush()
}

// Fail writes an error answer.
func (r *Reply) Fail(m Meta, f Failure) error {
	r.setHeaders(m)
	h := r.w.Header()
	h.Set(HeaderOutcome, string(f.Outcome))
	if f.RetryAfter > 0 {
		h.Set(HeaderRetryAfter, strconv.Itoa(int(math.Ceil(f.RetryAfter.Seconds()))))
	}
	return r.writeJSON(f.Status, f.body())
}

func (f Failure) body() *openai.ErrorBody {
	return &openai.ErrorBody{Error: openai.ErrorObject{Message: f.Message, Type: errorType(f.Status), Code: f.Code}}
}

func errorType(status int) string {
	switch {
	case status == http.StatusUnauthorized:
		return "authentication_error"
	case status == http.StatusForbidden:
		return "permission_error"
	case status == http.StatusTooManyRequests:
		return "rate_limit_error"
	case status >= http.StatusInternalServerError:
		return "server_error"
	default:
		return "invalid_request_error"
	}
}

func (r *Reply) writeJSON(status int, v any) error {
	b, err := json.Marshal(v)
	if err != nil {
		return err
	}
	return r.writeBody(status, b)
}

func (r *Reply) writeBody(status int, b []byte) error {
	r.w.Header().Set("Content-Type", "application/json")
	r.w.WriteHeader(status)
	_, err := r.w.Write(b)
	return err
}

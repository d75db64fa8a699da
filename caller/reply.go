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

// This file defines the writing of answers.

// Meta is what every answer says of itself.
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

// Reply writes one answer. Exactly one of Chat, Call and Fail is called, or
// Begin followed by Chunk any number of times and one of Finish and Cut.
type Reply struct {
	w       http.ResponseWriter
	control *http.ResponseController
	// id replaces the attempt in answers, when set.
	id     string
	begun  bool
	closed bool
	// line is the event that is being written.
	line []byte
}

// Frame of a server-sent event.
const (
	eventStart = "data: "
	eventEnd   = "\n\n"
)

// NewReply returns a reply on w. Answers carry id in place of the attempt
// when id is not empty.
func NewReply(w http.ResponseWriter, id string) *Reply {
	return &Reply{w: w, control: http.NewResponseController(w), id: id}
}

// Begun reports whether part of a streamed answer has been written.
func (r *Reply) Begun() bool { return r.begun }

func (r *Reply) head(m Meta) {
	h := r.w.Header()
	h.Set(HeaderRequestID, string(m.Request))
	if m.Version != "" {
		h.Set(HeaderVersion, string(m.Version))
	}
	if m.Session != "" {
		h.Set(HeaderSession, m.Session)
	}
}

// Chat writes a whole chat completion.
func (r *Reply) Chat(m Meta, a *openai.ChatResponse) error {
	r.head(m)
	r.w.Header().Set(HeaderOutcome, string(fescuelatch.OutcomeAnswered))
	return r.body(http.StatusOK, a.AppendAs(nil, r.id))
}

// Call writes the answer of a plain service.
func (r *Reply) Call(m Meta, a *engine.Answer, attempt fescuelatch.AttemptID) error {
	r.head(m)
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

// Begin writes the head of a streamed answer.
func (r *Reply) Begin(m Meta) {
	if r.begun {
		return
	}
	r.begun = true
	r.head(m)
	h := r.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-cache")
	h.Set("Trailer", HeaderOutcome)
	r.w.WriteHeader(http.StatusOK)
}

// Chunk writes one part of a streamed answer.
func (r *Reply) Chunk(c *openai.Chunk) error {
	r.line = append(r.line[:0], eventStart...)
	r.line = c.AppendAs(r.line, r.id)
	return r.event()
}

// Finish ends a streamed answer that is whole.
func (r *Reply) Finish() error {
	r.closed = true
	r.w.Header().Set(HeaderOutcome, string(fescuelatch.OutcomeAnswered))
	if _, err := r.w.Write([]byte("data: [DONE]\n\n")); err != nil {
		return err
	}
	return r.control.Flush()
}

// Cut ends a streamed answer that is not whole: with an error and without
// the end mark.
func (r *Reply) Cut(f Failure) error {
	r.closed = true
	r.w.Header().Set(HeaderOutcome, string(f.Outcome))
	b, err := json.Marshal(f.body())
	if err != nil {
		return err
	}
	r.line = append(r.line[:0], eventStart...)
	r.line = append(r.line, b...)
	return r.event()
}

// event ends the event in line and sends it.
func (r *Reply) event() error {
	r.line = append(r.line, eventEnd...)
	if _, err := r.w.Write(r.line); err != nil {
		return err
	}
	return r.control.Flush()
}

// Fail writes an error answer.
func (r *Reply) Fail(m Meta, f Failure) error {
	r.head(m)
	h := r.w.Header()
	h.Set(HeaderOutcome, string(f.Outcome))
	if f.RetryAfter > 0 {
		h.Set(HeaderRetryAfter, strconv.Itoa(int(math.Ceil(f.RetryAfter.Seconds()))))
	}
	return r.json(f.Status, f.body())
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

func (r *Reply) json(status int, v any) error {
	b, err := json.Marshal(v)
	if err != nil {
		return err
	}
	return r.body(status, b)
}

func (r *Reply) body(status int, b []byte) error {
	r.w.Header().Set("Content-Type", "application/json")
	r.w.WriteHeader(status)
	_, err := r.w.Write(b)
	return err
}

package peer

import (
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/gorilla/mux"
	"github.com/pkg/errors"

	"fescuelatch"
	"fescuelatch/caller"
	"fescuelatch/engine"
	"fescuelatch/fleetkey"
	"fescuelatch/internal/intake"
	"fescuelatch/openai"
)

// This file defines forwarded requests. A daemon addresses the owner of an
// endpoint like an endpoint: with the same paths, below ForwardPath, and the
// attempt in the same header. Another header carries the accepted request.

// ForwardPath is the path prefix of forwarded requests.
const ForwardPath = "/v1/forward"

// returnMargin is subtracted from the remaining time that the owner receives,
// so that its refusal arrives before the deadline.
const returnMargin = 50 * time.Millisecond

// refusedRetryAfter is sent if there is no memory for the body of a request.
const refusedRetryAfter = time.Second

const (
	headerForward = "Fescuelatch-Forward"
	maxBodyBytes  = 4 << 20
)

// forwardedRequest is the wire format of a request that another daemon
// accepted. Remaining replaces the deadline since the clocks of VMs differ.
type forwardedRequest struct {
	Request   fescuelatch.Request `json:"request"`
	Share     float64             `json:"share"`
	ClaimKey  string              `json:"claim-key,omitempty"`
	Remaining time.Duration       `json:"remaining"`
}

// ForwardHeader returns the headers of a request forwarded to another daemon.
func ForwardHeader(keys fleetkey.Keys, c *caller.Call, v fescuelatch.VersionID, now time.Time) (http.Header, error) {
	q := *c.Request
	q.Forwarded = true
	q.Version = v
	b, err := json.Marshal(forwardedRequest{Request: q, Share: c.Share, ClaimKey: c.ClaimKey, Remaining: q.Deadline.Sub(now) - returnMargin})
	if err != nil {
		return nil, &Error{"encode request", KindInvalid, err}
	}
	h := make(http.Header)
	keys.SetHeader(h)
	h.Set(headerForward, string(b))
	return h, nil
}

// NewForwardHandler returns the handler of forwarded requests.
func NewForwardHandler(b caller.Backend, now func() time.Time) http.Handler {
	f := &forwardHandler{backend: b, now: now}
	m := mux.NewRouter()
	m.Methods(http.MethodPost).Path("/v1/chat/completions").HandlerFunc(f.chat)
	m.Methods(http.MethodPost).Path("/v1/services/{service}/{operation}").HandlerFunc(f.service)
	return m
}

type forwardHandler struct {
	backend caller.Backend
	now     func() time.Time
}

func (f *forwardHandler) chat(w http.ResponseWriter, r *http.Request) {
	c, err := f.read(w, r)
	if err == nil {
		c.Chat = new(openai.ChatRequest)
		err = json.Unmarshal(c.Body, c.Chat)
	}
	f.serve(w, r, c, err)
}

func (f *forwardHandler) service(w http.ResponseWriter, r *http.Request) {
	c, err := f.read(w, r)
	f.serve(w, r, c, err)
}

func (f *forwardHandler) serve(w http.ResponseWriter, r *http.Request, c *caller.Call, err error) {
	reply := caller.NewReply(w, "")
	if err != nil {
		failure := caller.Failure{
			Status: http.StatusBadRequest, Code: string(KindInvalid), Message: err.Error(), Outcome: fescuelatch.OutcomeNotRun,
		}
		if intake.Refused(err) {
			failure.Status, failure.Code, failure.RetryAfter = http.StatusServiceUnavailable, string(KindRefused), refusedRetryAfter
		}
		_ = reply.Fail(caller.Meta{}, failure)
		return
	}
	f.backend.Serve(r.Context(), c, reply)
}

func (f *forwardHandler) read(w http.ResponseWriter, r *http.Request) (*caller.Call, error) {
	const op = "read forwarded request"
	var v forwardedRequest
	if err := json.Unmarshal([]byte(r.Header.Get(headerForward)), &v); err != nil {
		return nil, &Error{op, KindInvalid, err}
	}
	attempt := r.Header.Get(engine.HeaderAttempt)
	if v.Request.ID == "" || v.Request.Account == "" || attempt == "" {
		return nil, &Error{op, KindInvalid, errors.New("request, account or attempt is missing")}
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if intake.Refused(err) {
		return nil, &Error{op, KindRefused, err}
	}
	if err != nil {
		return nil, &Error{op, KindInvalid, err}
	}
	now := f.now()
	// Two attempts of a request may be forwarded here; the attempt is the
	// identifier that distinguishes them.
	v.Request.ID = fescuelatch.RequestID(attempt)
	v.Request.Forwarded = true
	v.Request.Arrived = now
	v.Request.Deadline = now.Add(v.Remaining)
	return &caller.Call{
		Request: &v.Request, Share: v.Share, Attempt: fescuelatch.AttemptID(attempt),
		ClaimKey: v.ClaimKey, Body: body, Key: r.Header.Get(engine.HeaderIdempotencyKey),
	}, nil
}

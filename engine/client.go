package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"fescuelatch"
	"fescuelatch/openai"
)

// This file defines the client of endpoints.

// HeaderAttempt carries the identifier of the attempt to an endpoint.
const HeaderAttempt = "X-Request-Id"

// HeaderIdempotencyKey carries the caller's idempotency key to an endpoint.
const HeaderIdempotencyKey = "Idempotency-Key"

// HeaderOutcome carries the outcome of a forwarded request.
const HeaderOutcome = "Fescuelatch-Outcome"

const (
	maxAnswerBytes = 8 << 20
	maxErrorBytes  = 64 << 10
)

// Client sends requests to endpoints and to daemons that own endpoints. It
// is safe for concurrent use.
type Client struct {
	HTTP *http.Client
}

// Target is the destination of an attempt: a base URL without a trailing slash,
// and additional headers.
type Target struct {
	URL    string
	Header http.Header
	// Resumable reports that the target can resume a truncated stream.
	Resumable bool
}

// Answer is the complete answer of a plain service.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
	// Outcome is the outcome reported by a daemon that owns the endpoint, or
	// empty.
	Outcome fescuelatch.Outcome
}

// Chat runs a chat completion and returns the answer; that of a streamed
// request has the usage but no choices. It calls first once, at the first token,
// and chunk for each chunk of a streamed answer. An error of chunk ends the
// attempt with KindCancelled. An incomplete answer, or that of another attempt,
// is an error of KindBroken.
func (c *Client) Chat(ctx context.Context, t Target, a fescuelatch.AttemptID, r *openai.ChatRequest,
	first func(), chunk func(*openai.Chunk) error,
) (*openai.ChatResponse, error) {
	const op = "chat"
	body, err := r.Encode()
	if err != nil {
		return nil, &Error{Op: op, Kind: KindNotStarted, Err: err}
	}
	resp, err := c.post(ctx, op, t, "/chat/completions", a, body, nil)
	if err != nil {
		return nil, err
	}
	defer closeBody(resp)
	if r.Stream {
		st := &streamReader{client: c, target: t, attempt: a, first: first, chunk: chunk}
		return st.read(ctx, resp.Body)
	}
	answer := new(openai.ChatResponse)
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxAnswerBytes)).Decode(answer); err != nil {
		return nil, interruptedError(ctx, op, err)
	}
	if answer.ID != string(a) {
		return nil, &Error{Op: op, Kind: KindBroken, Err: errors.Errorf("answer of attempt %q", answer.ID)}
	}
	if !answer.Complete() {
		return nil, &Error{Op: op, Kind: KindBroken, Err: errors.New("answer is not whole")}
	}
	first()
	return answer, nil
}

// Call runs an operation of a plain service.
func (c *Client) Call(ctx context.Context, t Target, a fescuelatch.AttemptID, s fescuelatch.ServiceID,
	o fescuelatch.OperationID, key string, body []byte,
) (*Answer, error) {
	const op = "call service"
	h := make(http.Header)
	if key != "" {
		h.Set(HeaderIdempotencyKey, key)
	}
	resp, err := c.post(ctx, op, t, "/services/"+string(s)+"/"+string(o), a, body, h)
	var refused *Error
	if errors.As(err, &refused) && refused.answer != nil {
		// The service has processed the request; its answer is returned as is.
		return refused.answer, nil
	}
	if err != nil {
		return nil, err
	}
	defer closeBody(resp)
	b, err := readWhole(resp.Body, maxAnswerBytes)
	if err != nil {
		return nil, interruptedError(ctx, op, err)
	}
	return &Answer{
		Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: b,
		Outcome: fescuelatch.Outcome(resp.Header.Get(HeaderOutcome)),
	}, nil
}

// Load fetches the load report of an endpoint.
func (c *Client) Load(ctx context.Context, t Target) (fescuelatch.LoadReport, error) {
	const op = "load report"
	var r fescuelatch.LoadReport
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, t.URL+"/load", nil)
	if err != nil {
		return r, &Error{Op: op, Kind: KindNotStarted, Err: err}
	}
	req.Header.Set("User-Agent", "") // An empty value omits the header.
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return r, &Error{Op: op, Kind: KindNotStarted, Err: err}
	}
	defer closeBody(resp)
	if resp.StatusCode != http.StatusOK {
		return r, &Error{Op: op, Kind: KindNotStarted, Err: errors.Errorf("status %d", resp.StatusCode)}
	}
	err = json.NewDecoder(io.LimitReader(resp.Body, maxErrorBytes)).Decode(&r)
	if err != nil {
		return r, &Error{Op: op, Kind: KindBroken, Err: err}
	}
	return r, nil
}

// Cancel asks the endpoint to abandon an attempt.
func (c *Client) Cancel(ctx context.Context, t Target, a fescuelatch.AttemptID) error {
	const op = "cancel"
	resp, err := c.post(ctx, op, t, "/requests/"+string(a)+"/cancel", a, nil, nil)
	if err != nil {
		return err
	}
	closeBody(resp)
	return nil
}

// post sends a request and classifies every failure. The response that it
// returns has a status of 200 to 299 or the outcome "answered" of another
// daemon.
func (c *Client) post(ctx context.Context, op string, t Target, path string, a fescuelatch.AttemptID,
	body []byte, h http.Header,
) (*http.Response, error) {
	var sent atomic.Bool
	var request upload
	trace := &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) {
			sent.Store(true)
			request.begin()
		},
		WroteRequest: func(i httptrace.WroteRequestInfo) { request.end(i.Err) },
	}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodPost, t.URL+"/v1"+path, bytes.NewReader(body))
	if err != nil {
		return nil, &Error{Op: op, Kind: KindNotStarted, Err: err}
	}
	// net/http retries a request on a new connection if it can rewind the
	// body and an idempotency key is set, which could run it twice. An opaque
	// body prevents the retry, even if it is empty.
	req.GetBody = nil
	req.Body = io.NopCloser(bytes.NewReader(body))
	for k, v := range t.Header {
		req.Header[k] = v
	}
	for k, v := range h {
		req.Header[k] = v
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(HeaderAttempt, string(a))
	resp, err := c.HTTP.Do(req)
	if err != nil {
		if !sent.Load() && ctx.Err() == nil {
			return nil, &Error{Op: op, Kind: KindNotStarted, Err: err}
		}
		if !sent.Load() {
			return nil, &Error{Op: op, Kind: KindNotStarted, Err: ctx.Err()}
		}
		return nil, interruptedError(ctx, op, err)
	}
	checkBody(resp, &request)
	if got := resp.Header.Get(HeaderAttempt); got != "" && got != string(a) {
		// Even a refusal does not apply to this attempt.
		closeBody(resp)
		return nil, &Error{Op: op, Kind: KindBroken, Err: errors.Errorf("answer of attempt %q", got)}
	}
	if resp.StatusCode/100 == 2 || fescuelatch.Outcome(resp.Header.Get(HeaderOutcome)) == fescuelatch.OutcomeAnswered {
		return resp, nil
	}
	defer closeBody(resp)
	return nil, statusError(op, resp)
}

// statusError classifies an error response.
func statusError(op string, resp *http.Response) *Error {
	b, cut := readWhole(resp.Body, maxErrorBytes)
	var v openai.ErrorBody
	_ = json.Unmarshal(b, &v)
	e := &Error{Op: op, Kind: KindBroken, Code: v.Error.Code, Err: errors.Errorf("status %d: %s", resp.StatusCode, v.Error.Message)}
	if n, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil {
		e.RetryAfter = time.Duration(n) * time.Second
	}
	outcome := fescuelatch.Outcome(resp.Header.Get(HeaderOutcome))
	switch {
	case outcome == fescuelatch.OutcomeUnknown && v.Error.Code == string(KindInProgress):
		e.Kind = KindInProgress
	case outcome == fescuelatch.OutcomeUnknown && v.Error.Code == string(KindClaimUnknown):
		e.Kind = KindClaimUnknown
	case outcome == fescuelatch.OutcomeUnknown:
		e.Kind = KindBroken
	case resp.StatusCode == http.StatusServiceUnavailable, resp.StatusCode == http.StatusTooManyRequests:
		e.Kind = KindOverloaded
	case outcome == fescuelatch.OutcomeNotRun && v.Error.Code == CodeRejected:
		e.Kind = KindRejected
	case resp.StatusCode == http.StatusNotFound, outcome == fescuelatch.OutcomeNotRun:
		e.Kind = KindNotStarted
	case resp.StatusCode/100 == 4:
		e.Kind = KindRejected
	}
	switch {
	case resp.StatusCode/100 != 4 || e.Kind == KindOverloaded || outcome != "":
	case cut != nil:
		// The service has processed the request, and its answer is lost.
		e.Kind, e.Err = KindBroken, cut
	default:
		e.answer = &Answer{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: b}
	}
	return e
}

// interruptedError returns the error of an attempt that may have run. A context
// canceled with a custom cause does not mean that the caller left.
func interruptedError(ctx context.Context, op string, err error) *Error {
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, context.Canceled):
		return &Error{Op: op, Kind: KindCancelled, Err: err}
	case errors.Is(cause, context.DeadlineExceeded):
		return &Error{Op: op, Kind: KindExpired, Err: err}
	}
	return &Error{Op: op, Kind: KindBroken, Err: err}
}

// closeBody drains and closes the body of a response, so that its connection
// can be reused.
func closeBody(resp *http.Response) {
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxErrorBytes))
	_ = resp.Body.Close()
}

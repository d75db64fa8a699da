package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"fescuelatch"
	"fescuelatch/caller"
)

// This file encodes the requests of calls and reads their answers.

const (
	eventPrefix   = "data: "
	eventDone     = "[DONE]"
	maxEventBytes = 1 << 20
	maxBodyBytes  = 4 << 20
	prefixLength  = 320 // bytes; longer than the part that prefix caches hash
)

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type chatRequest struct {
	Model     string    `json:"model"`
	Messages  []message `json:"messages"`
	MaxTokens int       `json:"max_tokens"`
	Stream    bool      `json:"stream,omitempty"`
}

type chatAnswer struct {
	ID      string `json:"id"`
	Choices []struct {
		Message message `json:"message"`
		Delta   message `json:"delta"`
	} `json:"choices"`
	Error *wireError `json:"error"`
}

func (a *chatAnswer) text(streamed bool) string {
	var b strings.Builder
	for _, c := range a.Choices {
		if streamed {
			b.WriteString(c.Delta.Content)
		} else {
			b.WriteString(c.Message.Content)
		}
	}
	return b.String()
}

type wireError struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
}

type serviceBody struct {
	Nonce string `json:"nonce"`
}

// requestBody returns the request body of c.
func requestBody(c *Call) ([]byte, error) {
	if c.IsService() {
		b, err := json.Marshal(serviceBody{Nonce: c.Nonce})
		return b, errors.WithStack(err)
	}
	b, err := json.Marshal(chatRequest{
		Model: c.Model,
		Messages: []message{
			{Role: "system", Content: systemPrompt(c)},
			{Role: "user", Content: userPrompt(c)},
		},
		MaxTokens: c.Tokens,
		Stream:    c.Streamed,
	})
	return b, errors.WithStack(err)
}

// systemPrompt returns the leading part of a prompt, which is the same for
// all calls of an account with the same prefix number.
func systemPrompt(c *Call) string {
	s := fmt.Sprintf("Guidelines %d of %s. ", c.Prefix, c.Account)
	return strings.Repeat(s, prefixLength/len(s)+1)
}

func userPrompt(c *Call) string {
	return nonceWord + c.Nonce + " classify the text of request " + c.Nonce
}

func requestPath(c *Call) string {
	if c.IsService() {
		return fmt.Sprintf("/v1/services/%s/%s", c.Service, c.Operation)
	}
	return "/v1/chat/completions"
}

// newRequest returns the HTTP request of c for a target.
func newRequest(ctx context.Context, c *Call, target, bearer, session string) (*http.Request, error) {
	b, err := requestBody(c)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+target+requestPath(c), bytes.NewReader(b))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	set := func(name, value string) {
		if value != "" {
			req.Header.Set(name, value)
		}
	}
	set("Content-Type", "application/json")
	set("Authorization", "Bearer "+bearer)
	set(caller.HeaderIdempotencyKey, c.Key)
	set(caller.HeaderSession, session)
	set(caller.HeaderPriority, c.Priority)
	set(caller.HeaderTimeout, c.Timeout.String())
	if c.Quality > 0 {
		set(caller.HeaderQuality, strconv.FormatFloat(c.Quality, 'f', 3, 64))
	}
	return req, nil
}

// receive reads the answer to r's call into r. It calls token for each token
// of a streamed answer with the time since the previous one.
func receive(r *Record, resp *http.Response, token func(gap time.Duration)) {
	r.Status = resp.StatusCode
	r.readHeader(resp.Header)
	var err error
	isStream := strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream")
	switch {
	case r.Status != http.StatusOK:
		err = r.readError(resp.Body)
	case isStream:
		err = r.readStream(resp.Body, token)
		r.readHeader(resp.Trailer)
	default:
		err = r.readWhole(resp.Body)
	}
	r.Ended = time.Now()
	r.Total = r.Ended.Sub(r.Sent)
	if err != nil && r.Message == "" {
		r.Message = err.Error()
	}
}

// readHeader sets fields of r from headers or trailers.
func (r *Record) readHeader(h http.Header) {
	if v := h.Get(caller.HeaderOutcome); v != "" {
		r.Outcome = fescuelatch.Outcome(v)
	}
	if v := h.Get(caller.HeaderRequestID); v != "" {
		r.RequestID = fescuelatch.RequestID(v)
	}
	if v := h.Get(caller.HeaderVersion); v != "" {
		r.Version = fescuelatch.VersionID(v)
	}
	if n, err := strconv.Atoi(h.Get(caller.HeaderRetryAfter)); err == nil {
		r.RetryAfter = time.Duration(n) * time.Second
	}
}

func (r *Record) setError(e *wireError) {
	r.Code = e.Code
	r.Message = e.Message
}

func (r *Record) readError(body io.Reader) error {
	b, err := io.ReadAll(io.LimitReader(body, maxBodyBytes))
	if err != nil {
		return &Error{"read error", KindBroken, errors.WithStack(err)}
	}
	var a chatAnswer
	if err := json.Unmarshal(b, &a); err != nil || a.Error == nil {
		r.Message = string(bytes.TrimSpace(b))
		return nil //nolint:nilerr // A body without an error object is kept as text.
	}
	r.setError(a.Error)
	return nil
}

func (r *Record) readWhole(body io.Reader) error {
	b, err := io.ReadAll(io.LimitReader(body, maxBodyBytes))
	if err != nil {
		return &Error{"read answer", KindBroken, errors.WithStack(err)}
	}
	if r.IsService() {
		return r.readService(b)
	}
	var a chatAnswer
	if err := json.Unmarshal(b, &a); err != nil {
		return &Error{"read answer", KindBroken, errors.WithStack(err)}
	}
	if a.Error != nil {
		r.setError(a.Error)
		return nil
	}
	r.Complete = true
	r.setAnswer(a.text(false))
	return nil
}

func (r *Record) readService(b []byte) error {
	var a serviceBody
	if err := json.Unmarshal(b, &a); err != nil {
		return &Error{"read answer", KindBroken, errors.WithStack(err)}
	}
	r.Complete = true
	switch a.Nonce {
	case r.Nonce:
	case "":
		r.Fault = FaultPartial
	default:
		r.Fault = FaultForeign
	}
	return nil
}

// readStream reads server-sent events until the end of the answer.
func (r *Record) readStream(body io.Reader, token func(time.Duration)) error {
	s := bufio.NewScanner(body)
	s.Buffer(nil, maxEventBytes)
	var text strings.Builder
	last := r.Sent
	for s.Scan() {
		data, ok := strings.CutPrefix(s.Text(), eventPrefix)
		if !ok {
			continue
		}
		if data == eventDone {
			r.Complete = true
			continue
		}
		var a chatAnswer
		if err := json.Unmarshal([]byte(data), &a); err != nil {
			return &Error{"read event", KindBroken, errors.WithStack(err)}
		}
		if a.Error != nil {
			r.setError(a.Error)
			continue
		}
		if t := a.text(true); t != "" {
			now := time.Now()
			token(now.Sub(last))
			if text.Len() == 0 {
				r.First = now.Sub(r.Sent)
			}
			last = now
			text.WriteString(t)
		}
	}
	r.setAnswer(text.String())
	return errors.WithStack(s.Err())
}

// PromptTokens returns the number of words in the prompt of a model call,
// which stand-ins use as its token count.
func PromptTokens(c *Call) int {
	return len(strings.Fields(systemPrompt(c))) + len(strings.Fields(userPrompt(c)))
}

package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"fescuelatch"
	"fescuelatch/internal/pause"
)

// This file defines the client of the operator API.

const (
	defaultAttemptTimeout = defaultTimeout + 5*time.Second
	maxAnswerBytes        = 64 << 20
	minBackoff            = 100 * time.Millisecond
	maxBackoff            = 2 * time.Second
	gracePeriod           = time.Second
)

// Client calls the operator API of a fleet. It tries Addresses in order until
// one answers or the context is done, and is safe for concurrent use.
// AttemptTimeout bounds one HTTP exchange with one daemon; zero means 20
// seconds. HTTP may be nil.
type Client struct {
	Addresses      []netip.AddrPort
	Key            string
	AttemptTimeout time.Duration
	HTTP           *http.Client
}

// NewHTTPClient returns an HTTP client for operators. It uses no proxy.
func NewHTTPClient(dialTimeout time.Duration) *http.Client {
	d := &net.Dialer{Timeout: dialTimeout}
	return &http.Client{Transport: &http.Transport{DialContext: d.DialContext}}
}

// Configuration returns the newest configuration that is active at any of the
// addresses, since a daemon that is cut off lags behind the others.
func (c *Client) Configuration(ctx context.Context) (*fescuelatch.Configuration, error) {
	found, err := queryAll[fescuelatch.Configuration](ctx, c, "get configuration", "/v1/configuration")
	if err != nil {
		return nil, err
	}
	newest := &found[0]
	for n := range found {
		if found[n].Generation > newest.Generation {
			newest = &found[n]
		}
	}
	return newest, nil
}

// History returns at most limit changes, newest first.
func (c *Client) History(ctx context.Context, limit int) ([]fescuelatch.Change, error) {
	var body historyBody
	err := c.getAny(ctx, "list changes", "/v1/changes?limit="+strconv.Itoa(limit), &body)
	return body.Changes, err
}

// Status returns the status of the first daemon that answers.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var s Status
	err := c.getAny(ctx, "get status", "/v1/status", &s)
	return s, err
}

// Dump returns the state dump of the first daemon that answers.
func (c *Client) Dump(ctx context.Context) (json.RawMessage, error) {
	var b json.RawMessage
	err := c.getAny(ctx, "dump state", "/v1/state", &b)
	return b, err
}

// getAny tries each address once and decodes the first answer into out. If none
// answers, it returns the last error.
func (c *Client) getAny(ctx context.Context, op, path string, out any) error {
	last := &Error{Op: op, Kind: KindInvalid, Err: errors.New("no operator address given")}
	for _, a := range c.Addresses {
		err := c.call(ctx, apiRequest{op: op, method: http.MethodGet, address: a, path: path}, out)
		if err == nil {
			return nil
		}
		last = err
		if err.Kind == KindUnauthorized || err.Kind == KindInvalid {
			break
		}
	}
	return readError(last)
}

// answer is the result of one of several concurrent calls.
type answer[T any] struct {
	value T
	err   *Error
}

// queryAll queries all addresses concurrently and returns the answers. After
// the first one, the others have gracePeriod left, so that a hanging daemon
// does not delay the command. The error is nil when there is at least one
// answer.
func queryAll[T any](ctx context.Context, c *Client, op, path string) ([]T, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan answer[T], len(c.Addresses))
	for _, a := range c.Addresses {
		go func() {
			var r answer[T]
			r.err = c.call(ctx, apiRequest{op: op, method: http.MethodGet, address: a, path: path}, &r.value)
			answers <- r
		}()
	}
	last := &Error{Op: op, Kind: KindInvalid, Err: errors.New("no operator address given")}
	var out []T
	for range c.Addresses {
		r := <-answers
		if r.err != nil {
			last = r.err
			continue
		}
		if len(out) == 0 {
			time.AfterFunc(gracePeriod, cancel)
		}
		out = append(out, r.value)
	}
	if len(out) == 0 {
		return nil, readError(last)
	}
	return out, nil
}

// readError returns the error of a read. It replaces KindUnknown, as a read has
// no effect.
func readError(e *Error) *Error {
	if e.Kind == KindUnknown {
		e.Kind = KindUnavailable
	}
	return e
}

// apiRequest is one HTTP request to one daemon.
type apiRequest struct {
	op      string
	method  string
	address netip.AddrPort
	path    string
	body    []byte
}

// call sends a request and decodes its answer into out. The error has
// KindUnavailable only when the daemon has done nothing.
func (c *Client) call(ctx context.Context, l apiRequest, out any) *Error {
	timeout := c.AttemptTimeout
	if timeout <= 0 {
		timeout = defaultAttemptTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	url := fmt.Sprintf("http://%s%s", l.address, l.path)
	req, err := http.NewRequestWithContext(ctx, l.method, url, bytes.NewReader(l.body))
	if err != nil {
		return &Error{Op: l.op, Kind: KindInvalid, Err: errors.WithStack(err)}
	}
	req.Header.Set("Authorization", bearerPrefix+c.Key)
	if l.body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := c.http().Do(req)
	if err != nil {
		return &Error{Op: l.op, Kind: kindOfTransportError(err), Err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return &Error{Op: l.op, Kind: KindUnknown, Err: errors.Wrapf(err, "answer of %s", l.address)}
	}
	if resp.StatusCode != http.StatusOK {
		return responseError(l, resp, b)
	}
	if err := json.Unmarshal(b, out); err != nil {
		return &Error{Op: l.op, Kind: KindUnknown, Err: errors.Wrapf(err, "answer of %s", l.address)}
	}
	return nil
}

func (c *Client) http() *http.Client {
	if c.HTTP != nil {
		return c.HTTP
	}
	return http.DefaultClient
}

// kindOfTransportError returns KindUnavailable if the request was never sent,
// and KindUnknown if it may have arrived.
func kindOfTransportError(err error) ErrorKind {
	var o *net.OpError
	if errors.As(err, &o) && o.Op == "dial" {
		return KindUnavailable
	}
	return KindUnknown
}

// responseError returns the error of an answer with a status other than 200.
func responseError(l apiRequest, resp *http.Response, body []byte) *Error {
	e := &Error{Op: l.op, Kind: kindOfStatus(resp.StatusCode)}
	if e.Kind == KindConflict {
		var winner fescuelatch.Change
		if err := json.Unmarshal(body, &winner); err == nil && winner.ID != "" {
			e.Winner = &winner
			return e
		}
	}
	var f failureBody
	if err := json.Unmarshal(body, &f); err != nil || f.Message == "" {
		e.Err = errors.Errorf("%s answered %s", l.address, resp.Status)
	} else {
		e.Err = errors.Errorf("%s answered %s", l.address, f.Message)
	}
	e.Faults = f.Faults
	if s, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil && s > 0 {
		e.RetryAfter = time.Duration(s) * time.Second
	}
	return e
}

func kindOfStatus(status int) ErrorKind {
	switch status {
	case http.StatusBadRequest, http.StatusNotFound, http.StatusMethodNotAllowed, http.StatusRequestEntityTooLarge:
		return KindInvalid
	case http.StatusUnauthorized, http.StatusForbidden:
		return KindUnauthorized
	case http.StatusConflict:
		return KindConflict
	case http.StatusUnprocessableEntity:
		return KindFaults
	case http.StatusServiceUnavailable:
		return KindUnavailable
	default:
		return KindUnknown
	}
}

// backOff waits after round n; the delay doubles each round up to a limit. It
// returns false when ctx is done.
func backOff(ctx context.Context, n int) bool {
	return pause.For(ctx, min(minBackoff<<min(n, 10), maxBackoff))
}

// Package etcd is a client of a key-value service with the JSON gateway of
// etcd v3.
package etcd

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"fescuelatch"
	"fescuelatch/keyvalue"
)

// This file defines the client, which distinguishes failures that had no effect
// from those that may have had one.

var _ fescuelatch.KV = (*Client)(nil)

const (
	// DefaultTimeout bounds a call whose context has no earlier deadline.
	DefaultTimeout = 2 * time.Second

	maxAnswerBytes = 64 << 20
	maxErrorBytes  = 4 << 10
	// watchBuffer lets the reader of a watch, which is idle while nothing
	// changes, accept a short burst without waiting for the receiver.
	watchBuffer = 16
)

// Client is a client of the key-value service at Server, the only required
// field. It is safe for concurrent use.
type Client struct {
	Server netip.AddrPort
	// HTTP makes the calls; nil means http.DefaultClient. It determines the
	// local address and TLS.
	HTTP *http.Client
	// Scheme is "http" unless set.
	Scheme string
	// Timeout replaces DefaultTimeout when set. Watches have no timeout.
	Timeout time.Duration
	// Clock, when set, observes the dates of responses.
	Clock *keyvalue.Clock

	calls atomic.Int64
}

// Calls returns the number of calls made so far, watches included.
func (c *Client) Calls() int64 { return c.calls.Load() }

// Get implements fescuelatch.KV.
func (c *Client) Get(ctx context.Context, key string) (fescuelatch.KeyValue, error) {
	var r rangeResponse
	if err := c.call(ctx, opGet, rangeRequest{Key: []byte(key)}, &r); err != nil {
		return fescuelatch.KeyValue{}, err
	}
	if len(r.KVs) == 0 {
		return fescuelatch.KeyValue{Key: key}, nil
	}
	return r.KVs[0].keyValue(), nil
}

// List implements fescuelatch.KV.
func (c *Client) List(ctx context.Context, from, to string, limit int) ([]fescuelatch.KeyValue, error) {
	var r rangeResponse
	q := rangeRequest{Key: []byte(from), RangeEnd: []byte(to), Limit: integer(limit)}
	if err := c.call(ctx, opList, q, &r); err != nil {
		return nil, err
	}
	return r.keyValues(), nil
}

// Txn implements fescuelatch.KV.
func (c *Client) Txn(ctx context.Context, t fescuelatch.KVTxn) (fescuelatch.KVTxnResult, error) {
	var r txnResponse
	o := opTxn
	o.write = hasWrites(t)
	if err := c.call(ctx, o, newTxnRequest(t), &r); err != nil {
		return fescuelatch.KVTxnResult{}, err
	}
	res, err := r.result(t)
	if err != nil {
		return res, o.decodeError(err)
	}
	return res, nil
}

// Grant implements fescuelatch.KV. It rounds ttl up to whole seconds, the unit
// of the service.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (int64, error) {
	var r leaseGrantResponse
	seconds := (ttl + time.Second - 1) / time.Second
	if err := c.call(ctx, opGrant, leaseGrantRequest{TTL: integer(seconds)}, &r); err != nil {
		return 0, err
	}
	if r.Error != "" || r.ID == 0 {
		return 0, &keyvalue.Error{Op: opGrant.name, Kind: keyvalue.KindInvalid, Err: errors.Errorf("lease %d: %s", r.ID, r.Error)}
	}
	return int64(r.ID), nil
}

// KeepAlive implements fescuelatch.KV. It returns zero for an expired lease.
func (c *Client) KeepAlive(ctx context.Context, lease int64) (time.Duration, error) {
	var r keepAliveResponse
	if err := c.call(ctx, opKeepAlive, keepAliveRequest{ID: integer(lease)}, &r); err != nil {
		return 0, err
	}
	return time.Duration(r.Result.TTL) * time.Second, nil
}

// Watch implements fescuelatch.KV. It returns once the service has confirmed
// the watch, and starts a goroutine that ends with the watch. A deleted key is
// sent without a value and with revision zero.
func (c *Client) Watch(ctx context.Context, from, to string, revision int64) (<-chan fescuelatch.KeyValue, error) {
	var q watchRequest
	q.Create.Key = []byte(from)
	q.Create.RangeEnd = []byte(to)
	if revision > 0 {
		q.Create.StartRevision = integer(revision + 1)
	}
	// The goroutine below closes the body at the end of the watch.
	res, err := c.send(ctx, opWatch, q) //nolint:bodyclose
	if err != nil {
		return nil, err
	}
	dec := json.NewDecoder(res.Body)
	if err := awaitCreated(dec); err != nil {
		closeBody(res)
		return nil, &keyvalue.Error{Op: opWatch.name, Kind: keyvalue.KindUnavailable, Err: err}
	}
	ch := make(chan fescuelatch.KeyValue, watchBuffer)
	go func() {
		defer close(ch)
		defer closeBody(res)
		forwardEvents(ctx, dec, ch)
	}()
	return ch, nil
}

func awaitCreated(dec *json.Decoder) error {
	var w watchResponse
	if err := dec.Decode(&w); err != nil {
		return errors.WithStack(err)
	}
	switch {
	case w.Error != nil:
		return errors.New(w.Error.Message)
	case w.Result.Canceled || !w.Result.Created:
		return errors.New("the service did not create the watch")
	}
	return nil
}

func forwardEvents(ctx context.Context, dec *json.Decoder, ch chan<- fescuelatch.KeyValue) {
	for {
		var w watchResponse
		if err := dec.Decode(&w); err != nil || w.Error != nil || w.Result.Canceled {
			return
		}
		for i := range w.Result.Events {
			select {
			case ch <- w.Result.Events[i].keyValue():
			case <-ctx.Done():
				return
			}
		}
	}
}

// operation describes a method of the gateway.
type operation struct {
	name  string
	path  string
	write bool
	// stream reports that the response is a stream. A call reads only its
	// first message.
	stream bool
}

var (
	opGet       = operation{name: "get", path: "/v3/kv/range"}
	opList      = operation{name: "list", path: "/v3/kv/range"}
	opTxn       = operation{name: "transaction", path: "/v3/kv/txn", write: true}
	opGrant     = operation{name: "grant lease", path: "/v3/lease/grant", write: true}
	opKeepAlive = operation{name: "keep lease alive", path: "/v3/lease/keepalive", write: true, stream: true}
	opWatch     = operation{name: "watch", path: "/v3/watch", stream: true}
)

// decodeError returns the error for a response that cannot be decoded. The
// service has processed the call.
func (o operation) decodeError(err error) error {
	if o.write {
		return &keyvalue.Error{Op: o.name, Kind: keyvalue.KindUnknown, Err: err}
	}
	return &keyvalue.Error{Op: o.name, Kind: keyvalue.KindInvalid, Err: err}
}

func hasWrites(t fescuelatch.KVTxn) bool {
	for _, ops := range [][]fescuelatch.KVOp{t.Then, t.Else} {
		for _, o := range ops {
			if o.Put != nil || o.Delete != "" || o.Txn != nil && hasWrites(*o.Txn) {
				return true
			}
		}
	}
	return false
}

func (c *Client) call(ctx context.Context, o operation, request, response any) error {
	timeout := c.Timeout
	if timeout == 0 {
		timeout = DefaultTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	res, err := c.send(ctx, o, request)
	if err != nil {
		return err
	}
	defer closeBody(res)
	body := io.LimitReader(res.Body, maxAnswerBytes)
	if err := json.NewDecoder(body).Decode(response); err != nil {
		return o.readError(err)
	}
	if !o.stream {
		// Draining the body allows reuse of the connection.
		_, _ = io.Copy(io.Discard, body)
	}
	return nil
}

// readError returns the error for a truncated or invalid response.
func (o operation) readError(err error) error {
	var syntax *json.SyntaxError
	var kind *json.UnmarshalTypeError
	if !o.write && !errors.As(err, &syntax) && !errors.As(err, &kind) {
		return &keyvalue.Error{Op: o.name, Kind: keyvalue.KindUnavailable, Err: errors.WithStack(err)}
	}
	return o.decodeError(errors.WithStack(err))
}

// send makes a call and returns a response with status 200.
func (c *Client) send(ctx context.Context, o operation, request any) (*http.Response, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return nil, &keyvalue.Error{Op: o.name, Kind: keyvalue.KindInvalid, Err: errors.WithStack(err)}
	}
	ctx, connected := keyvalue.TraceConnection(ctx)
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url(o.path), bytes.NewReader(body))
	if err != nil {
		return nil, &keyvalue.Error{Op: o.name, Kind: keyvalue.KindInvalid, Err: errors.WithStack(err)}
	}
	q.Header.Set("Content-Type", "application/json")
	c.calls.Add(1)
	began := time.Now()
	res, err := c.client().Do(q)
	if err == nil {
		c.Clock.Observe(began, res.Header)
	}
	if err != nil {
		kind := keyvalue.KindUnavailable
		if o.write && connected.Load() {
			kind = keyvalue.KindUnknown
		}
		return nil, &keyvalue.Error{Op: o.name, Kind: kind, Err: errors.WithStack(err)}
	}
	if res.StatusCode != http.StatusOK {
		defer closeBody(res)
		return nil, o.statusError(res)
	}
	return res, nil
}

func (c *Client) url(path string) string {
	scheme := c.Scheme
	if scheme == "" {
		scheme = "http"
	}
	return scheme + "://" + c.Server.String() + path
}

func (c *Client) client() *http.Client {
	if c.HTTP == nil {
		return http.DefaultClient
	}
	return c.HTTP
}

// statusError returns the error for a response with a status other than 200.
func (o operation) statusError(res *http.Response) error {
	text, _ := io.ReadAll(io.LimitReader(res.Body, maxErrorBytes))
	e := &keyvalue.Error{
		Op:         o.name,
		Kind:       keyvalue.KindUnknown,
		RetryAfter: retryAfter(res.Header),
		Err:        errors.Errorf("status %d: %s", res.StatusCode, strings.TrimSpace(string(text))),
	}
	switch {
	case res.StatusCode == http.StatusTooManyRequests:
		e.Kind = keyvalue.KindRateLimited
	case res.StatusCode >= 400 && res.StatusCode < 500 && res.StatusCode != http.StatusRequestTimeout:
		e.Kind = keyvalue.KindInvalid
	case !o.write:
		e.Kind = keyvalue.KindUnavailable
	case res.StatusCode == http.StatusServiceUnavailable && !isAmbiguous(string(text)):
		e.Kind = keyvalue.KindUnavailable
	}
	return e
}

// ambiguousMessages are messages that etcd sends with status 503 although a
// proposal may already be in progress.
var ambiguousMessages = []string{
	"timed out",
	"leader changed",
	"server stopped",
	"connection lost",
	"transport is closing",
	"EOF",
	"connection reset",
}

func isAmbiguous(text string) bool {
	for _, m := range ambiguousMessages {
		if strings.Contains(text, m) {
			return true
		}
	}
	return false
}

func retryAfter(h http.Header) time.Duration {
	n, err := strconv.Atoi(h.Get("Retry-After"))
	if err != nil || n < 0 {
		return 0
	}
	return time.Duration(n) * time.Second
}

func closeBody(res *http.Response) {
	// The callers have read the part of the body that they need.
	_ = res.Body.Close()
}

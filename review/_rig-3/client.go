package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// This file defines clients.

var lastCall atomic.Int64

// newCall returns the identifier of a client attempt.
func newCall() string { return fmt.Sprintf("9c41%012x", lastCall.Add(1)) }

// answer is what a client has got.
type answer struct {
	call   string
	status int
	header http.Header
	body   []byte
	err    error // why the answer is not complete, or why there is none
	took   time.Duration
}

func (a *answer) signature() string { return a.header.Get("Fescuelatch-Response-Signature") }

func (a *answer) String() string {
	if a.err != nil {
		return fmt.Sprintf("%s: status %d, %d bytes, not complete: %v, after %.3f s", a.call, a.status, len(a.body), a.err, a.took.Seconds())
	}
	return fmt.Sprintf("%s: status %d, signature %q, %d bytes, complete, after %.3f s", a.call, a.status, a.signature(), len(a.body), a.took.Seconds())
}

func setHeaders(q *http.Request, call, key string, within time.Duration) {
	q.Host = host
	q.Header.Set("Fescuelatch-Attempt-Id", call)
	q.Header.Set("Fescuelatch-Deadline-Ms", strconv.FormatInt(within.Milliseconds(), 10))
	q.Header.Set("X-Api-Key", key)
}

// send sends a request on a new connection, once, and reads the answer to its end.
func (s *site) send(d *daemon, method, path, key string, within time.Duration) *answer {
	a := &answer{call: newCall()}
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, method, "http://"+d.front.String()+path, strings.NewReader("award=7"))
	if err != nil {
		a.err = err
		return a
	}
	setHeaders(q, a.call, key, within)
	s.log("client sends %s %s %s to %s", a.call, method, path, d.name)
	began := time.Now()
	t := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	defer t.CloseIdleConnections()
	res, err := t.RoundTrip(q)
	if err == nil {
		defer func() { _ = res.Body.Close() }()
		a.status, a.header = res.StatusCode, res.Header
		a.body, err = io.ReadAll(res.Body)
	}
	a.err, a.took = err, time.Since(began)
	s.log("client got %s", a)
	return a
}

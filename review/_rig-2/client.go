package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// This file defines the clients.

// answer is what a client got.
type answer struct {
	call      string
	sent      time.Time
	took      time.Duration
	status    int // zero if there was none
	signature string
	body      string
	whole     bool // it ended as a complete answer
	err       error
}

// String describes the answer for the record.
func (a *answer) String() string {
	s := fmt.Sprintf("request %s: status %d after %d ms, signature %q, %d bytes, ended as complete %v", a.call, a.status, a.took.Milliseconds(), a.signature, len(a.body), a.whole)
	if a.err != nil {
		s += ", " + a.err.Error()
	}
	return s
}

// client sends requests to one daemon on kept connections.
type client struct {
	rig  *rig
	to   *daemonProcess
	http *http.Client
}

func (r *rig) newClient(to *daemonProcess) *client {
	dial := func(ctx context.Context, _, _ string) (net.Conn, error) {
		return (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp", to.frontend)
	}
	return &client{r, to, &http.Client{Transport: &http.Transport{DialContext: dial, DisableCompression: true, MaxIdleConnsPerHost: 64}}}
}

// newClients returns a client of each daemon.
func (r *rig) newClients(daemons []*daemonProcess) []*client {
	clients := make([]*client, len(daemons))
	for n, d := range daemons {
		clients[n] = r.newClient(d)
	}
	return clients
}

// send sends a request and reads its answer. Nothing is sent twice: the body cannot be read again.
func (c *client) send(method, host, path, call string, deadline time.Duration, headers map[string]string, body string) *answer {
	a := &answer{call: call, sent: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	var content io.Reader
	if body != "" {
		content = struct{ io.Reader }{bytes.NewReader([]byte(body))}
	}
	q, err := http.NewRequestWithContext(ctx, method, "http://"+c.to.frontend+path, content)
	if err != nil {
		a.err = err
		return a
	}
	if body != "" {
		q.ContentLength = int64(len(body))
	}
	q.Host = host
	q.Header.Set("Fescuelatch-Attempt-Id", call)
	q.Header.Set("Fescuelatch-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	for name, value := range headers {
		q.Header.Set(name, value)
	}
	c.rig.note("request %s: %s %s%s sent to %s", call, method, host, path, c.to.name)
	res, err := c.http.Do(q)
	if err != nil {
		a.took, a.err = time.Since(a.sent), err
		c.rig.note("%s", a)
		return a
	}
	defer func() { _ = res.Body.Close() }()
	b, err := io.ReadAll(res.Body)
	a.took, a.status, a.signature = time.Since(a.sent), res.StatusCode, res.Header.Get("Fescuelatch-Response-Signature")
	a.body, a.whole, a.err = string(b), err == nil, err
	c.rig.note("%s", a)
	return a
}

// succeeded reports whether the answer is a success in the rules' sense: 2xx with a signature.
func (a *answer) succeeded() bool {
	return a.status >= 200 && a.status < 300 && a.signature != "" && a.whole
}

// endsAsAnswer reports whether a body is the whole body of an answer.
func endsAsAnswer(body string) bool { return strings.HasSuffix(body, "\"end\":true}\n") }

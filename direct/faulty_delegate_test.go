package direct_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuelatch/platform/fakeplatform"
)

// This file tests a daemon that reaches no endpoint, and passes requests on to a daemon that
// answers wrongly.

// newDelegatingSite starts a daemon that reaches no endpoint, and one that reaches them. Requests
// that the first one passes on to the second get the given answers.
func newDelegatingSite(t *testing.T, service string, answers http.HandlerFunc) *site {
	s := newUnstartedSite(t, service, 1)
	s.domain = "b"
	s.startDaemon(t, "vm-b")
	s.awaitReady()
	faulty := httptest.NewServer(answers)
	t.Cleanup(faulty.Close)
	replace := strings.NewReplacer(
		fmt.Sprintf("%q", s.endpoints[0].Address()), fmt.Sprintf("%q", freeAddress(s.C)),
		fmt.Sprintf("%q", s.callers), fmt.Sprintf("%q", faulty.Listener.Addr()),
	)
	s.storeAddress = s.store.View(func(_ string, value []byte) []byte { return []byte(replace.Replace(string(value))) })
	s.domain = "a"
	s.startDaemon(t, "vm-a")
	s.awaitReady()
	// The daemon finds out that it reaches no endpoint, and who does.
	passedOn := make(chan struct{}, 64)
	answer := faulty.Config.Handler
	faulty.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case passedOn <- struct{}{}:
		default:
		}
		answer.ServeHTTP(w, r)
	})
	for range 40 {
		ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
		q, err := fakeplatform.NewCall(ctx, s.callers, http.MethodPost, service+".example", s.pathOf(service), fmt.Sprintf("first-%d", lastCall.Add(1)), callerKey, 300*time.Millisecond)
		s.Assert(err, qt.IsNil)
		if res, err := http.DefaultTransport.RoundTrip(q); err == nil {
			_, _ = io.Copy(io.Discard, res.Body)
			_ = res.Body.Close()
		}
		cancel()
		select {
		case <-passedOn:
			return s
		case <-time.After(100 * time.Millisecond):
		}
	}
	s.Fatal("no request is passed on")
	return nil
}

// pathOf returns the path of a route of a service whose requests may be repeated.
func (s *site) pathOf(service string) string {
	if service == "lm" {
		return "/write/"
	}
	return "/look/"
}

// TestEndlessAnswersOfDaemon guards against a daemon that reads the answer of another one without
// end.
func TestEndlessAnswersOfDaemon(t *testing.T) {
	const (
		patience = 2 * time.Second
		slack    = time.Second
	)
	filler := strings.Repeat("x", 8<<10)
	const status = "HTTP/1.1 200 OK\r\nFescuelatch-Attempt-Id: CALL\r\nFescuelatch-Response-Signature: s\r\n"
	tests := []struct{ name, service, begin string }{
		{"status line", "desk", "HTTP/1.1 200 "},
		{"header", "desk", status + "X-Long: "},
		{"body", "desk", status + "\r\n"},
		{"chunk extension", "desk", status + "Transfer-Encoding: chunked\r\n\r\n4;x="},
		{"trailer", "desk", status + "Transfer-Encoding: chunked\r\n\r\n0\r\nX-Trailer: "},
		{"event", "lm", status + "Content-Type: text/event-stream\r\n\r\ndata: "},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			var began, ended atomic.Int64
			endless := endlessly(test.begin, func(int) string { return filler }, &ended)
			s := newDelegatingSite(t, test.service, func(w http.ResponseWriter, r *http.Request) {
				began.Add(1)
				endless(w, r)
			})
			for n := range 3 {
				ctx, cancel := context.WithTimeout(context.Background(), patience)
				defer cancel()
				q, err := fakeplatform.NewCall(ctx, s.callers, http.MethodPost, test.service+".example", s.pathOf(test.service), fmt.Sprintf("%s-%d", test.name, n), callerKey, patience)
				s.Assert(err, qt.IsNil)
				res, err := http.DefaultTransport.RoundTrip(q)
				if err != nil {
					continue
				}
				_, err = io.Copy(io.Discard, res.Body)
				_ = res.Body.Close()
				s.Check(err == nil && res.StatusCode == http.StatusOK, qt.IsFalse)
			}
			time.Sleep(slack)
			s.Check(ended.Load(), qt.Equals, began.Load(), qt.Commentf("connections that were closed"))
		})
	}
}

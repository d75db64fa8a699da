package direct_test

import (
	"net/http"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"fescuelatch/platform/fakeplatform"
)

// This file tests answers that end with their connection.

// TestUnframedAnswer checks which answers without a length are taken for whole. The first
// attempt gets the answer, and a further one that of another endpoint.
func TestUnframedAnswer(t *testing.T) {
	const stream = "text/event-stream"
	tests := []struct {
		name, host, path  string
		contentType, body string
		reset             bool
		status            int
		want              string
		attempts          int
		truncated         bool
	}{
		{name: "whole answer", host: "desk.example", path: "/look/", body: "abc", status: 200, want: "abc", attempts: 1},
		{name: "empty answer", host: "desk.example", path: "/look/", body: "", status: 200, want: "", attempts: 1},
		{name: "reset answer", host: "desk.example", path: "/look/", body: "abc", reset: true, status: 200, want: "second", attempts: 2},
		{name: "reset answer that may not be repeated", host: "desk.example", path: "/ban/", body: "abc", reset: true, status: 502, attempts: 1},
		{name: "whole stream", host: "lm.example", path: "/write/", contentType: stream, body: events(4), status: 200, want: events(4), attempts: 1},
		{name: "stream that ends within an event", host: "lm.example", path: "/write/", contentType: stream, body: events(2) + "id: 3\nda", status: 200, want: events(4), attempts: 2},
		{name: "stream that ends before its first event", host: "lm.example", path: "/write/", contentType: stream, body: "", status: 200, want: events(4), attempts: 2},
		{name: "stream that is reset after an event", host: "lm.example", path: "/write/", contentType: stream, body: events(2), reset: true, status: 200, want: events(4), attempts: 2},
		{name: "stream that may not be resumed", host: "lm.example", path: "/whole/", contentType: stream, body: events(2) + "id: 3\nda", status: 200, want: events(2), attempts: 1, truncated: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			service := "desk"
			if test.host == "lm.example" {
				service = "lm"
			}
			s := newSite(t, service, 2)
			s.awaitReady()
			var first atomic.Bool
			for _, e := range s.endpoints {
				e.SetBehaviour(func(w http.ResponseWriter, r *http.Request) {
					if !first.Swap(true) {
						fakeplatform.Unframed(test.contentType, test.body, test.reset)(w, r)
						return
					}
					if service == "desk" {
						_, _ = w.Write([]byte("second"))
						return
					}
					fakeplatform.Stream(4, 0, "", 0)(w, r)
				})
			}
			a := s.call(http.MethodPost, test.host, test.path, "")
			s.Check(a.status, qt.Equals, test.status)
			s.Check(a.err != nil, qt.Equals, test.truncated, qt.Commentf("%v", a.err))
			if test.status == http.StatusOK {
				s.Check(a.body, qt.Equals, test.want)
			}
			s.Check(s.runs(), qt.HasLen, test.attempts)
		})
	}
}

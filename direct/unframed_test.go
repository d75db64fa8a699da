package direct_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

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

// TestEndOfAnswerAtConnectionLimit guards against whole answers that are taken for cut off, and
// against further connections, at an endpoint that accepts one at a time and resets others.
func TestEndOfAnswerAtConnectionLimit(t *testing.T) {
	for _, limited := range []bool{false, true} {
		t.Run(fmt.Sprintf("resets further connections: %t", limited), func(t *testing.T) {
			const calls = 12
			s := newSite(t, "desk", 1)
			s.awaitReady()
			l, err := net.Listen("tcp", "127.0.0.1:0")
			s.Assert(err, qt.IsNil)
			t.Cleanup(func() { _ = l.Close() })
			var accepted, reset, open atomic.Int64
			go func() {
				for {
					c, err := l.Accept()
					if err != nil {
						return
					}
					accepted.Add(1)
					if open.Add(1) > 1 && limited {
						reset.Add(1)
						_ = c.(*net.TCPConn).SetLinger(0)
						_ = c.Close()
						open.Add(-1)
						continue
					}
					go func() {
						answerUnframed(c, "abc")
						if !limited {
							open.Add(-1)
							return
						}
						time.Sleep(30 * time.Millisecond) // It notices late that the connection has ended.
						open.Add(-1)
					}()
				}
			}()
			s.store.Delete(s.endpoints[0].Key())
			s.store.Put("servers/s-raw", fakeplatform.EntryAt(netip.MustParseAddrPort(l.Addr().String()), "desk", "v1", "ready"))
			time.Sleep(time.Second) // The daemon reads the registrations.
			for range calls {
				a := s.call(http.MethodGet, "desk.example", "/look/x", "")
				s.Check(a.status, qt.Equals, http.StatusOK, qt.Commentf("%v", a.err))
				s.Check(a.body, qt.Equals, "abc")
				time.Sleep(100 * time.Millisecond)
			}
			s.Logf("%d connections, %d reset", accepted.Load(), reset.Load())
			if !limited {
				s.Check(accepted.Load() <= calls+2, qt.IsTrue, qt.Commentf("%d connections for %d calls", accepted.Load(), calls))
			}
		})
	}
}

// answerUnframed answers the request on a connection, which then ends.
func answerUnframed(c net.Conn, body string) {
	defer func() { _ = c.Close() }()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nFescuelatch-Attempt-Id: %s\r\nFescuelatch-Response-Signature: s\r\nConnection: close\r\n\r\n%s", r.Header.Get("Fescuelatch-Attempt-Id"), body)
}

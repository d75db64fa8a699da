package direct_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"fescuelatch/platform/fakeplatform"
)

// This file tests answers whose head breaks off.

// cutAfter answers with the first bytes of an answer, and ends the connection.
func cutAfter(answer string, length int, reset bool) fakeplatform.Behaviour {
	return func(w http.ResponseWriter, r *http.Request) {
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		answer := strings.ReplaceAll(answer, "CALL", r.Header.Get("Fescuelatch-Attempt-Id"))
		_, _ = io.WriteString(c, answer[:min(length, len(answer))])
		if t, ok := c.(*net.TCPConn); ok && reset {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
}

// Heads of answers to a call, whose identifier replaces CALL.
const (
	headStart    = "HTTP/1.1 200 OK\r\nFescuelatch-Attempt-Id: CALL\r\nFescuelatch-Response-Signature: s\r\n"
	lengthHead   = headStart + "Content-Length: 5\r\n\r\n"
	unframedHead = headStart + "\r\n"
	chunkedHead  = headStart + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	earlyHead    = "HTTP/1.1 103 Early Hints\r\nLink: </>\r\n\r\n" + lengthHead
)

// TestHeadIsCutAtEachByte guards against callers that get an answer that looks complete, after an
// endpoint has ended in the middle of its head.
func TestHeadIsCutAtEachByte(t *testing.T) {
	begun := fakeplatform.Stream(5, 2, "90", 0)
	tests := []struct {
		name, service, host, path, head string
		before, after                   fakeplatform.Behaviour // of the requests before and after, if any
		whole                           string                 // what the caller gets if the request is repeated
	}{
		{"lookup", "desk", "desk.example", "/look/", lengthHead, nil, plainAnswer, ""},
		{"lookup, nobody answers", "desk", "desk.example", "/look/", lengthHead, nil, nil, ""},
		{"lookup to the end of the connection", "desk", "desk.example", "/look/", unframedHead, nil, nil, ""},
		{"once", "desk", "desk.example", "/ban/", lengthHead, nil, nil, ""},
		{"once, after an informational answer", "desk", "desk.example", "/ban/", earlyHead, nil, nil, ""},
		{"stream", "lm", "lm.example", "/write/", chunkedHead, nil, fakeplatform.Stream(5, 0, "90", 0), events(5)},
		{"stream that is resumed", "lm", "lm.example", "/write/", chunkedHead, begun, fakeplatform.Stream(5, 0, "90", 0), events(5)},
		{"stream that is resumed by nobody", "lm", "lm.example", "/write/", chunkedHead, begun, nil, ""},
		{"stream once", "lm", "lm.example", "/whole/", chunkedHead, nil, nil, ""},
	}
	for _, test := range tests {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, reset %t", test.name, reset), func(t *testing.T) {
				t.Parallel()
				for length := range len(test.head) - len("CALL") + 1 {
					s := newSite(t, test.service, 3)
					s.awaitReady()
					cut := cutAfter(test.head, length, reset)
					all := []fakeplatform.Behaviour{cut}
					if test.before != nil {
						all = []fakeplatform.Behaviour{test.before, cut}
					}
					if test.after != nil {
						all = append(all, test.after)
					}
					s.inOrder(all...)
					a := s.call(http.MethodPost, test.host, test.path, "body", "Fescuelatch-Model", "*")
					looksWhole := a.err == nil && a.status == http.StatusOK
					s.Check(looksWhole, qt.Equals, test.after != nil, qt.Commentf("%q, status %d, body %q", test.head[:length], a.status, a.body))
					if looksWhole && test.whole != "" {
						s.Check(a.body, qt.Equals, test.whole)
					}
					if a.status == http.StatusOK {
						s.Check(a.header.Get("Fescuelatch-Response-Signature"), qt.Not(qt.Equals), "s")
					}
					s.stop()
				}
			})
		}
	}
}

// TestHeadOfDaemonIsCut is the same for the head of another daemon, to which a request was passed
// on.
func TestHeadOfDaemonIsCut(t *testing.T) {
	tests := []struct{ name, service, path, head string }{
		{"lookup", "desk", "/look/", lengthHead},
		{"once", "desk", "/ban/", lengthHead},
		{"stream", "lm", "/write/", chunkedHead},
	}
	for _, test := range tests {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, reset %t", test.name, reset), func(t *testing.T) {
				t.Parallel()
				length := 0
				s := newDelegatingSite(t, test.service, func(w http.ResponseWriter, r *http.Request) {
					cutAfter(test.head, length, reset)(w, r)
				})
				for length = range len(test.head) - len("CALL") + 1 {
					a := s.call(http.MethodPost, test.service+".example", test.path, "body", "Fescuelatch-Model", "*", "Fescuelatch-Deadline-Ms", "1000")
					s.Check(a.err == nil && a.status == http.StatusOK, qt.IsFalse, qt.Commentf("%q, status %d, body %q", test.head[:length], a.status, a.body))
				}
			})
		}
	}
}

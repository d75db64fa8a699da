package direct_test

import (
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"fescuelatch/platform/fakeplatform"
)

// This file tests answers that come from another program than the endpoint.

// unsigned answers as b does, without the endpoint's signature, and without the identifier of the
// call unless it is kept.
func unsigned(identified bool, b fakeplatform.Behaviour) fakeplatform.Behaviour {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Del("Fescuelatch-Response-Signature")
		if !identified {
			w.Header().Del("Fescuelatch-Attempt-Id")
		}
		b(w, r)
	}
}

// foreignPages are answers of other programs.
var foreignPages = []struct {
	name       string
	identified bool
	answer     fakeplatform.Behaviour
}{
	{"page", false, fakeplatform.Page{Status: http.StatusOK, Type: "text/html", Size: 44}.Behaviour},
	{"page with the identifier", true, fakeplatform.Page{Status: http.StatusOK, Type: "text/html", Size: 44}.Behaviour},
	{"page in chunks", false, fakeplatform.Page{Status: http.StatusOK, Type: "text/html", Size: 44, Chunked: true}.Behaviour},
	{"page of 2 MB", false, fakeplatform.Page{Status: http.StatusOK, Type: "text/html", Size: 2 << 20}.Behaviour},
	{"page to the end of the connection", false, cutAfter("HTTP/1.1 200 OK\r\n\r\nIt works!", 1<<10, false)},
	{"page of HTTP/1.0", false, cutAfter("HTTP/1.0 200 OK\r\nContent-Length: 9\r\n\r\nIt works!", 1<<10, false)},
	{"events", false, body(events(3), false)},
	{"no content", false, fakeplatform.Status(http.StatusNoContent)},
	{"not found", false, fakeplatform.Page{Status: http.StatusNotFound, Type: "text/html", Size: 44}.Behaviour},
	{"redirect", false, fakeplatform.Page{Status: http.StatusFound, Type: "text/html", Size: 44}.Behaviour},
	{"another endpoint", false, fakeplatform.Page{Status: http.StatusMisdirectedRequest, Type: "text/html", Size: 44}.Behaviour},
}

// TestForeignAnswerIsPassedOn guards against callers that get the answer of another program, which
// a faulty endpoint sends on a new connection, as that of their request.
func TestForeignAnswerIsPassedOn(t *testing.T) {
	sound := fakeplatform.Stream(5, 0, "90", 0)
	requests := []struct {
		name, service, path string
		before, after       fakeplatform.Behaviour // of the requests before and after, if any
		whole               string                 // what the caller gets if the request is repeated
	}{
		{"once", "desk", "/ban/", nil, nil, ""},
		{"lookup", "desk", "/look/", nil, nil, ""},
		{"lookup that is repeated", "desk", "/look/", nil, text(http.StatusOK, "text/plain", 12), "error text. "},
		{"stream once", "lm", "/whole/", nil, nil, ""},
		{"stream that is repeated", "lm", "/write/", nil, sound, events(5)},
		{"stream that is resumed", "lm", "/write/", fakeplatform.Stream(5, 2, "90", 0), sound, events(5)},
	}
	for _, page := range foreignPages {
		for _, test := range requests {
			t.Run(page.name+", "+test.name, func(t *testing.T) {
				t.Parallel()
				s := newSite(t, test.service, 3)
				s.awaitReady()
				var all []fakeplatform.Behaviour
				for _, b := range []fakeplatform.Behaviour{test.before, unsigned(page.identified, page.answer), test.after} {
					if b != nil {
						all = append(all, b)
					}
				}
				s.inOrder(all...)
				a := s.call(http.MethodPost, test.service+".example", test.path, "body", "Fescuelatch-Model", "*")
				if test.after == nil {
					// A request that waits for its deadline gets another status.
					s.Check(a.status, qt.Equals, http.StatusBadGateway, qt.Commentf("body %.60q", a.body))
					return
				}
				s.Check(a.status, qt.Equals, http.StatusOK)
				s.Check(a.header.Get("Fescuelatch-Response-Signature"), qt.Not(qt.Equals), "")
				s.Check(a.body, qt.Equals, test.whole)
			})
		}
	}
}

// TestForeignAnswerOfDaemonIsPassedOn is the same for a success that another daemon passes on
// without the signature of an endpoint.
func TestForeignAnswerOfDaemonIsPassedOn(t *testing.T) {
	for _, page := range foreignPages[:8] {
		t.Run(page.name, func(t *testing.T) {
			t.Parallel()
			s := newDelegatingSite(t, "desk", http.HandlerFunc(unsigned(page.identified, page.answer)))
			for _, path := range []string{"/ban/", "/look/"} {
				a := s.call(http.MethodPost, "desk.example", path, "body", "Fescuelatch-Deadline-Ms", "1000")
				s.Check(a.status >= http.StatusInternalServerError, qt.IsTrue, qt.Commentf("%s: status %d, body %.60q", path, a.status, a.body))
			}
		})
	}
}

package direct_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuelatch/direct"
	"fescuelatch/platform/fakeplatform"
)

// This file tests requests that have run, and that their endpoint answers with a failure of its own.

// failurePages are the answers of endpoints that fail requests after they have run them.
var failurePages = []struct {
	name    string
	size    int
	chunked bool
}{
	{"no body", 0, false},
	{"short", 800, false},
	{"40 kB", 40_000, false},
	{"1 MiB", 1 << 20, false},
	{"1.2 MB", 1_200_000, false},
	{"1.2 MB in chunks", 1_200_000, true},
	{"3 MB", 3 << 20, false},
}

// TestLargeFailureSaysNotRun guards against callers that are told by the status that their request
// has not run, after an endpoint has run it and has failed it in a page of any size.
func TestLargeFailureSaysNotRun(t *testing.T) {
	requests := []struct{ service, path string }{
		{"desk", "/ban/"},
		{"desk", "/look/"},
		{"desk", "/open/"},
		{"lm", "/whole/"},
		{"lm", "/write/"},
	}
	for _, status := range []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout} {
		for _, page := range failurePages {
			t.Run(fmt.Sprintf("%d, %s", status, page.name), func(t *testing.T) {
				t.Parallel()
				for _, test := range requests {
					s := newSite(t, test.service, 2)
					s.awaitReady()
					for _, contentType := range []string{"text/plain", "text/event-stream"} {
						s.inOrder(fakeplatform.Page{Status: status, Type: contentType, Size: page.size, Chunked: page.chunked}.Behaviour)
						a := s.call(http.MethodPost, test.service+".example", test.path, "body", "Fescuelatch-Model", "*")
						s.Check(a.status, qt.Equals, http.StatusBadGateway, qt.Commentf("%s", test.path))
						s.Check(a.header.Get("Fescuelatch-Response-Signature"), qt.Equals, "")
						s.Check(a.body, qt.Equals, "")
					}
					s.stop()
				}
			})
		}
	}
}

// TestFailureSaysNotRunWithoutMemory is the same while there is no memory for answers.
func TestFailureSaysNotRunWithoutMemory(t *testing.T) {
	for _, status := range []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			s := newUnstartedSite(t, "desk", 2)
			s.adjust = func(o *direct.Options) { o.Dynamic.Intake.Memory = 24 << 10 }
			s.startDaemon(t, "vm-1")
			s.awaitReady()
			s.inOrder(fakeplatform.Page{Status: status, Type: "text/plain", Size: 40_000}.Behaviour)
			a := s.call(http.MethodPost, "desk.example", "/ban/", "body")
			s.Check(a.status, qt.Equals, http.StatusBadGateway)
			s.Check(a.header.Get("Fescuelatch-Response-Signature"), qt.Equals, "")
		})
	}
}

// TestSignedFailureOfDaemonIsRepeated guards against requests that run twice, as another daemon
// passes on the status of an endpoint that has run them, and it is taken for the daemon's own.
func TestSignedFailureOfDaemonIsRepeated(t *testing.T) {
	for _, status := range []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout} {
		for _, size := range []int{4, 1_200_000} {
			t.Run(fmt.Sprintf("%d, %d bytes", status, size), func(t *testing.T) {
				t.Parallel()
				var passedOn atomic.Int64
				s := newDelegatingSite(t, "desk", func(w http.ResponseWriter, r *http.Request) {
					if strings.HasPrefix(r.RequestURI, "/ban/") {
						passedOn.Add(1)
					}
					w.Header().Set("Fescuelatch-Attempt-Id", r.Header.Get("Fescuelatch-Attempt-Id"))
					w.Header().Set("Fescuelatch-Response-Signature", "s")
					fakeplatform.Page{Status: status, Type: "text/plain", Size: size}.Behaviour(w, r)
				})
				a := s.call(http.MethodPost, "desk.example", "/ban/", "body", "Fescuelatch-Deadline-Ms", "1000")
				s.Check(a.status, qt.Equals, http.StatusBadGateway)
				s.Check(a.header.Get("Fescuelatch-Response-Signature"), qt.Equals, "")
				s.Check(passedOn.Load(), qt.Equals, int64(1))
			})
		}
	}
}

// TestLargeFailureIsTakenForSuccess guards against failures that end a request that may be repeated,
// and that count as successes of their endpoint, as their page is too large to buffer.
func TestLargeFailureIsTakenForSuccess(t *testing.T) {
	for _, status := range []int{http.StatusInternalServerError, http.StatusServiceUnavailable, http.StatusGatewayTimeout} {
		for _, page := range failurePages {
			t.Run(fmt.Sprintf("%d, %s", status, page.name), func(t *testing.T) {
				t.Parallel()
				s := newSite(t, "desk", 3)
				s.awaitReady()
				failure := fakeplatform.Page{Status: status, Type: "text/plain", Size: page.size, Chunked: page.chunked}
				s.inOrder(failure.Behaviour, text(http.StatusOK, "text/plain", 12))
				a := s.call(http.MethodPost, "desk.example", "/look/", "body")
				s.Check(a.status, qt.Equals, http.StatusOK)
				s.Check(a.body, qt.Equals, "error text. ")

				s.inOrder(failure.Behaviour)
				a = s.call(http.MethodPost, "desk.example", "/look/", "body")
				s.Check(a.status >= http.StatusInternalServerError, qt.IsTrue)
				s.Check(a.status, qt.Not(qt.Equals), http.StatusServiceUnavailable)
				a = s.call(http.MethodPost, "desk.example", "/ban/", "body")
				s.Check(a.err, qt.IsNil)
				if status != http.StatusServiceUnavailable {
					s.Check(a.status, qt.Equals, status)
					s.Check(len(a.body), qt.Equals, page.size)
					s.Check(a.header.Get("Fescuelatch-Response-Signature"), qt.Not(qt.Equals), "")
				}
			})
		}
	}
}

// TestReleaseWithLargeFailuresIsCompleted guards against a release whose failures are not counted, as
// their pages are too large to buffer.
func TestReleaseWithLargeFailuresIsCompleted(t *testing.T) {
	for _, path := range []string{"/ban/", "/look/"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, "desk", 2, 4)
			bad := fakeplatform.Page{Status: http.StatusInternalServerError, Type: "text/plain", Size: 1_200_000}.Behaviour
			for _, e := range f.endpoints[2:] {
				e.SetBehaviour(half(bad, plainAnswer))
				f.store.Put(e.Key(), e.Entry("desk", "v2", "ready"))
			}
			calls := load{perSecond: 40, method: http.MethodPost, host: "desk.example", path: path, header: func() []string { return nil }}
			f.play(calls, time.Second)
			f.store.Put("op/rollout/desk", `{"service":"desk","target":"v2","duration_s":8}`)
			f.play(calls, 9*time.Second)
			f.eventually(func() bool {
				status, _ := f.store.Get("status/rollout/desk")
				return strings.Contains(status, "rolled_back")
			})
		})
	}
}

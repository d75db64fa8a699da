package direct_test

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuelatch/platform/fakeplatform"
)

// This file tests that a daemon obeys the headers of endpoints' answers.

// TestLeavingInAnswer checks that an endpoint which reports in any answer that it
// is leaving gets no further request until it has registered again.
func TestLeavingInAnswer(t *testing.T) {
	answered := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }
	tests := []struct {
		name      string
		service   string
		host      string
		path      string
		behaviour fakeplatform.Behaviour
	}{
		{"a success", "desk", "desk.example", "/look/", answered},
		{"a failure", "desk", "desk.example", "/look/", fakeplatform.Status(http.StatusInternalServerError)},
		{"a refusal", "desk", "desk.example", "/look/", fakeplatform.NotRun},
		{"another endpoint's refusal", "desk", "desk.example", "/look/", fakeplatform.Status(http.StatusMisdirectedRequest)},
		{"the header of a stream", "lm", "lm.example", "/write/", fakeplatform.Stream(2, 0, "90", 0)},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newSite(t, test.service, 1)
			s.awaitReady()
			s.endpoints[0].SetBehaviour(fakeplatform.Leaving(test.behaviour))
			s.call(http.MethodGet, test.host, test.path, "", "Fescuelatch-Model", "*")
			s.Assert(s.runs(), qt.HasLen, 1)
			s.store.SetFault(fakeplatform.FaultBusy) // The store does not have to be available.
			for range 5 {
				a := s.call(http.MethodGet, test.host, test.path, "", "Fescuelatch-Model", "*")
				s.Check(a.status, qt.Equals, http.StatusServiceUnavailable)
			}
			s.Check(s.runs(), qt.HasLen, 1)
		})
	}
}

// TestRetryAfterInRefusal checks that an endpoint which refuses a request with
// Retry-After gets no request within this time, and serves again afterwards.
func TestRetryAfterInRefusal(t *testing.T) {
	const retryAfter = 1500 * time.Millisecond
	s := newSite(t, "desk", 1)
	s.awaitReady()
	s.endpoints[0].SetBehaviour(fakeplatform.Shed("1.5"))
	s.call(http.MethodPost, "desk.example", "/ban/", "")
	asked := time.Now()
	s.endpoints[0].SetBehaviour(nil)
	for time.Since(asked) < retryAfter-200*time.Millisecond {
		a := s.call(http.MethodPost, "desk.example", "/ban/", "")
		s.Check(a.status, qt.Equals, http.StatusServiceUnavailable)
		s.Check(a.header.Get("Retry-After"), qt.Not(qt.Equals), "")
		time.Sleep(100 * time.Millisecond)
	}
	s.Check(s.runs(), qt.HasLen, 1)
	s.eventually(func() bool { return s.call(http.MethodPost, "desk.example", "/ban/", "").status == http.StatusOK })
}

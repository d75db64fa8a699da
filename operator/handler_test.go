package operator_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuelatch"
	"fescuelatch/operator"
)

const changeText = `{"id":"c1","base":4,"author":"amahoro","at":"2026-01-05T06:00:00Z","digest":"d"}`

func TestHandler(t *testing.T) {
	winner := &fescuelatch.Change{ID: "c0", Base: 4, Author: "uwase"}
	tests := []struct {
		name    string
		backend fakeBackend
		method  string
		path    string
		key     string
		body    string
		status  int
		want    string // regular expression
		retry   string
	}{
		{name: "health needs no key", method: "GET", path: "/health", status: 200},
		{name: "ready needs no key", method: "GET", path: "/ready", status: 200},
		{name: "not ready", backend: fakeBackend{notReady: errBroken}, method: "GET", path: "/ready", status: 503, want: `.*broken.*`, retry: "2"},
		{name: "no key", method: "GET", path: "/v1/status", status: 401, want: `.*unauthorized.*`},
		{name: "wrong key", method: "GET", path: "/v1/status", key: "operator-kez", status: 401, want: `.*unauthorized.*`},
		{name: "metrics need a key", method: "GET", path: "/metrics", status: 401, want: `.*unauthorized.*`},
		{name: "metrics", method: "GET", path: "/metrics", key: testKey, status: 200, want: `requests 1`},
		{name: "no configuration", method: "GET", path: "/v1/configuration", key: testKey, status: 503, want: `.*none yet.*`, retry: "2"},
		{name: "configuration", backend: fakeBackend{configuration: &fescuelatch.Configuration{Generation: 3}}, method: "GET", path: "/v1/configuration", key: testKey, status: 200, want: `{"generation":3,.*`},
		{name: "dump", method: "GET", path: "/v1/state", key: testKey, status: 200, want: `{"queue":3}`},
		{name: "history", backend: fakeBackend{changes: []fescuelatch.Change{*winner, {ID: "older"}}}, method: "GET", path: "/v1/changes?limit=1", key: testKey, status: 200, want: `{"changes":\[{"id":"c0",.*}\]}`},
		{name: "limit", method: "GET", path: "/v1/changes?limit=0", key: testKey, status: 400, want: `.*not within 1 to.*`},
		{name: "accepted", method: "POST", path: "/v1/changes", key: testKey, body: changeText, status: 200, want: `{"generation":5,"change":"c1","accepted":true}`},
		{name: "unknown field", method: "POST", path: "/v1/changes", key: testKey, body: `{"id":"c1","digest":"d","bass":4}`, status: 400, want: `.*unknown field.*bass.*`},
		{name: "trailing data", method: "POST", path: "/v1/changes", key: testKey, body: changeText + "{}", status: 400, want: `.*text after.*`},
		{name: "no id", method: "POST", path: "/v1/changes", key: testKey, body: `{"digest":"d"}`, status: 400, want: `.*lacks its id.*`},
		{name: "large body", method: "POST", path: "/v1/changes", key: testKey, body: `{"note":"` + strings.Repeat("a", 5<<20) + `"}`, status: 400, want: `.*too large.*`},
		{name: "conflict", backend: fakeBackend{failure: &operator.Error{Kind: operator.KindConflict, Winner: winner}}, method: "POST", path: "/v1/changes", key: testKey, body: changeText, status: 409, want: `{"id":"c0","base":4,.*`},
		{name: "faults", backend: fakeBackend{failure: &operator.Error{Kind: operator.KindFaults, Faults: []fescuelatch.Fault{{Path: "p", Message: "m"}}}}, method: "POST", path: "/v1/changes", key: testKey, body: changeText, status: 422, want: `.*"faults":\[{"path":"p","message":"m"}\].*`},
		{name: "unavailable", backend: fakeBackend{failure: &operator.Error{Kind: operator.KindUnavailable, RetryAfter: 2500 * time.Millisecond}}, method: "POST", path: "/v1/changes", key: testKey, body: changeText, status: 503, want: `.*unavailable.*`, retry: "3"},
		{name: "unknown", backend: fakeBackend{failure: &operator.Error{Kind: operator.KindUnknown}}, method: "POST", path: "/v1/changes", key: testKey, body: changeText, status: 504, want: `.*unknown.*`},
		{name: "other errors count as unknown", backend: fakeBackend{failure: errBroken}, method: "POST", path: "/v1/changes", key: testKey, body: changeText, status: 504, want: `.*broken.*`},
	}
	for n := range tests {
		tt := &tests[n]
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			h := operator.NewHandler(operator.Options{Key: testKey, Backend: &tt.backend})
			r := httptest.NewRequest(tt.method, tt.path, strings.NewReader(tt.body))
			if tt.key != "" {
				r.Header.Set("Authorization", "Bearer "+tt.key)
			}
			w := httptest.NewRecorder()
			h.ServeHTTP(w, r)
			c.Check(w.Code, qt.Equals, tt.status)
			c.Check(strings.TrimSpace(w.Body.String()), qt.Matches, tt.want)
			c.Check(w.Header().Get("Retry-After"), qt.Equals, tt.retry)
		})
	}
}

// A handler without a key must reject every request, also one with an empty
// key.
func TestHandlerWithoutKey(t *testing.T) {
	c := qt.New(t)
	h := operator.NewHandler(operator.Options{Backend: new(fakeBackend)})
	r := httptest.NewRequest(http.MethodGet, "/v1/status", http.NoBody)
	r.Header.Set("Authorization", "Bearer ")
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	c.Assert(w.Code, qt.Equals, http.StatusUnauthorized)
}

// A proposal must continue when the operator's connection breaks.
func TestProposeOutlivesConnection(t *testing.T) {
	c := qt.New(t)
	b := new(fakeBackend)
	h := operator.NewHandler(operator.Options{Key: testKey, Backend: b})
	r := httptest.NewRequest(http.MethodPost, "/v1/changes", io.NopCloser(strings.NewReader(changeText)))
	r.Header.Set("Authorization", "Bearer "+testKey)
	ctx, cancel := contextCancelled(r.Context())
	defer cancel()
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r.WithContext(ctx))
	c.Assert(w.Code, qt.Equals, http.StatusOK)
	c.Assert(b.changes, qt.HasLen, 1)
}

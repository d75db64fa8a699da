package operator_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"fescuelatch/operator"
)

// FuzzProposals checks that a change which does not decode, or has no
// identifier or no digest, never reaches the backend, and that every answer has
// a documented status.
func FuzzProposals(f *testing.F) {
	f.Add(`{"id":"c","digest":"d","base":3,"author":"a"}`)
	f.Add(`{"id":"c"}`)
	f.Add(`{"id":"c","digest":"d","unknown":1}`)
	f.Add(`{"id":"c","digest":"d"} {}`)
	f.Add(`[`)
	f.Fuzz(func(t *testing.T, body string) {
		b := new(fakeBackend)
		r := httptest.NewRequest(http.MethodPost, "/v1/changes", strings.NewReader(body))
		r.Header.Set("Authorization", "Bearer "+testKey)
		w := httptest.NewRecorder()
		operator.NewHandler(operator.Options{Key: testKey, Backend: b}).ServeHTTP(w, r)
		for _, c := range b.changes {
			if c.ID == "" || c.Digest == "" {
				t.Fatalf("proposed: %+v", c)
			}
		}
		if accepted := w.Code == http.StatusOK; accepted != (len(b.changes) == 1) {
			t.Fatalf("status %d with %d changes", w.Code, len(b.changes))
		}
		if w.Code != http.StatusOK && w.Code != http.StatusBadRequest {
			t.Fatalf("status %d", w.Code)
		}
	})
}

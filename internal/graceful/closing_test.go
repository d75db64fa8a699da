package graceful

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestClosing checks which answers announce the close of their connections.
func TestClosing(t *testing.T) {
	tests := []struct {
		name   string
		begins string // "before" the request, at the "head" or before the "end" of the answer
		closes bool
	}{
		{"no stop", "", false},
		{"the stop began before", "before", true},
		{"the stop begins while the request runs", "head", true},
		{"the stop begins while the answer is streamed", "end", false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			k := new(Closing)
			begin := func(at string) {
				if at == test.begins {
					k.Begin()
				}
			}
			s := httptest.NewServer(k.Handler(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				begin("head")
				_, _ = w.Write([]byte("first"))
				_ = http.NewResponseController(w).Flush()
				begin("end")
				_, _ = w.Write([]byte("last"))
			})))
			begin("before")
			resp, err := s.Client().Get(s.URL)
			c.Assert(err, qt.IsNil)
			c.Assert(resp.Body.Close(), qt.IsNil)
			s.Close()
			c.Check(resp.Close, qt.Equals, test.closes)
			now := time.Now()
			c.Check(k.Remaining(now) > 0, qt.Equals, !test.closes)
			c.Check(k.Remaining(now.Add(lingerTimeout)), qt.Equals, time.Duration(0))
		})
	}
}

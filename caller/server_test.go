package caller_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuelatch"
	"fescuelatch/caller"
	"fescuelatch/engine"
	"fescuelatch/openai"
)

// This file tests which requests the handler accepts, and that rejected
// requests do not reach the backend.

// backend records and answers every request.
type backend struct {
	view  *fescuelatch.View
	calls []*caller.Call
}

func (b *backend) View() *fescuelatch.View { return b.view }

func (b *backend) Serve(_ context.Context, c *caller.Call, r *caller.Reply) {
	b.calls = append(b.calls, c)
	m := caller.Meta{Request: c.Request.ID, Version: "m@1", Session: "token"}
	switch {
	case c.Chat == nil:
		_ = r.Call(m, &engine.Answer{Status: http.StatusOK, ContentType: "application/json", Body: []byte("{}")}, "a")
	case c.Chat.Stream:
		r.StartStream(m)
		chunk, _ := openai.ParseChunk([]byte(`{"id":"a"}`))
		_ = r.Chunk(chunk)
		_ = r.Finish()
	default:
		answer := new(openai.ChatResponse)
		_ = json.Unmarshal([]byte(`{"id":"a","choices":[{"finish_reason":"stop"}]}`), answer)
		_ = r.Chat(m, answer)
	}
}

func newBackend(t testing.TB) *backend {
	a := netip.MustParseAddrPort("127.0.0.1:1")
	c := &fescuelatch.Configuration{
		Generation: 1,
		Inventory: fescuelatch.Inventory{
			Domains:  []fescuelatch.FailureDomain{{ID: "d"}},
			VMs:      []fescuelatch.VM{{ID: "vm", Domain: "d", Peer: a, Caller: a, Operator: a}},
			Models:   []fescuelatch.Model{{ID: "m"}, {ID: "n"}},
			Versions: []fescuelatch.Version{{ID: "m@1", Model: "m"}, {ID: "n@1", Model: "n"}},
			Services: []fescuelatch.Service{{ID: "desk", Operations: []fescuelatch.Operation{{ID: "ban"}, {ID: "look", Idempotent: true}}}},
		},
		Rules: fescuelatch.Rules{Accounts: []fescuelatch.Account{
			{ID: "a", KeyHashes: []string{fescuelatch.HashKey("key-a")}, Models: []fescuelatch.ModelID{"m"}, Services: []fescuelatch.ServiceID{"desk"}, DefaultQuality: 0.7},
			{ID: "b", KeyHashes: []string{fescuelatch.HashKey("key-b")}, Models: []fescuelatch.ModelID{"n"}},
		}},
	}
	v, err := fescuelatch.NewView(c)
	if err != nil {
		t.Fatal(err)
	}
	return &backend{view: v}
}

func handler(b caller.Backend) http.Handler {
	return caller.NewHandler(caller.Options{Backend: b, Now: time.Now, NewID: func() fescuelatch.RequestID { return "r1" }})
}

const hello = `{"model":"m","messages":[{"role":"user","content":"hello"}]}`

func TestRefusedRequests(t *testing.T) {
	tests := []struct {
		name, method, path, key, body string
		header                        [2]string
		status                        int
		code                          string
	}{
		{"no key", "POST", "/v1/chat/completions", "", hello, [2]string{}, 401, "invalid-api-key"},
		{"unknown key", "POST", "/v1/chat/completions", "nope", hello, [2]string{}, 401, "invalid-api-key"},
		{"broken JSON", "POST", "/v1/chat/completions", "key-a", `{"model"`, [2]string{}, 400, "invalid-request"},
		{"no messages", "POST", "/v1/chat/completions", "key-a", `{"model":"m"}`, [2]string{}, 400, "invalid-request"},
		{"unknown model", "POST", "/v1/chat/completions", "key-a", strings.ReplaceAll(hello, `"m"`, `"x"`), [2]string{}, 404, "not-found"},
		{"model of another account", "POST", "/v1/chat/completions", "key-a", strings.ReplaceAll(hello, `"m"`, `"n"`), [2]string{}, 403, "not-allowed"},
		{"version of another account", "POST", "/v1/chat/completions", "key-a", strings.ReplaceAll(hello, `"m"`, `"n@1"`), [2]string{}, 403, "not-allowed"},
		{"quality out of range", "POST", "/v1/chat/completions", "key-a", hello, [2]string{caller.HeaderQuality, "1.5"}, 400, "invalid-request"},
		{"quality not a number", "POST", "/v1/chat/completions", "key-a", hello, [2]string{caller.HeaderQuality, "NaN"}, 400, "invalid-request"},
		{"timeout too long", "POST", "/v1/chat/completions", "key-a", hello, [2]string{caller.HeaderTimeout, "1h"}, 400, "invalid-request"},
		{"timeout negative", "POST", "/v1/chat/completions", "key-a", hello, [2]string{caller.HeaderTimeout, "-1s"}, 400, "invalid-request"},
		{"unknown priority", "POST", "/v1/chat/completions", "key-a", hello, [2]string{caller.HeaderPriority, "top"}, 400, "invalid-request"},
		{"long idempotency key", "POST", "/v1/chat/completions", "key-a", hello, [2]string{caller.HeaderIdempotencyKey, strings.Repeat("k", 300)}, 400, "invalid-request"},
		{"oversize", "POST", "/v1/chat/completions", "key-a", `{"model":"` + strings.Repeat("x", 5<<20) + `"}`, [2]string{}, 413, "too-large"},
		{"unknown service", "POST", "/v1/services/x/ban", "key-a", "{}", [2]string{}, 404, "not-found"},
		{"unknown operation", "POST", "/v1/services/desk/x", "key-a", "{}", [2]string{}, 404, "not-found"},
		{"service of another account", "POST", "/v1/services/desk/ban", "key-b", "{}", [2]string{}, 403, "not-allowed"},
		{"service body not JSON", "POST", "/v1/services/desk/ban", "key-a", "{", [2]string{}, 400, "invalid-request"},
		{"unknown path", "POST", "/v1/embeddings", "key-a", "{}", [2]string{}, 404, "not-found"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			b := newBackend(t)
			r := httptest.NewRequest(test.method, test.path, strings.NewReader(test.body))
			r.Header.Set("Authorization", "Bearer "+test.key)
			if test.header[0] != "" {
				r.Header.Set(test.header[0], test.header[1])
			}
			w := httptest.NewRecorder()
			handler(b).ServeHTTP(w, r)
			var e openai.ErrorBody
			c.Assert(json.Unmarshal(w.Body.Bytes(), &e), qt.IsNil)
			c.Check(w.Code, qt.Equals, test.status)
			c.Check(e.Error.Code, qt.Equals, test.code)
			c.Check(w.Header().Get(caller.HeaderOutcome), qt.Equals, "not-run")
			c.Check(b.calls, qt.HasLen, 0)
		})
	}
}

func TestAcceptedRequests(t *testing.T) {
	tests := []struct {
		name, path, body string
		header           [2]string
		check            func(c *qt.C, q *fescuelatch.Request)
	}{
		{"default quality of the account", "/v1/chat/completions", hello, [2]string{}, func(c *qt.C, q *fescuelatch.Request) {
			c.Check(q.Quality, qt.Equals, 0.7)
			c.Check(q.Idempotent, qt.IsTrue)
			c.Check(q.Deadline.Sub(q.Arrived), qt.Equals, caller.DefaultTimeout)
		}},
		{"quality of zero overrides the default", "/v1/chat/completions", hello, [2]string{caller.HeaderQuality, "0"}, func(c *qt.C, q *fescuelatch.Request) {
			c.Check(q.Quality, qt.Equals, 0.0)
		}},
		{"version", "/v1/chat/completions", strings.ReplaceAll(hello, `"m"`, `"m@1"`), [2]string{}, func(c *qt.C, q *fescuelatch.Request) {
			c.Check(q.Version, qt.Equals, fescuelatch.VersionID("m@1"))
		}},
		{"any model", "/v1/chat/completions", strings.ReplaceAll(hello, `"m"`, `"auto"`), [2]string{}, func(c *qt.C, q *fescuelatch.Request) {
			c.Check(q.Model, qt.Equals, fescuelatch.ModelID(""))
		}},
		{"operation that must not be repeated", "/v1/services/desk/ban", "{}", [2]string{}, func(c *qt.C, q *fescuelatch.Request) {
			c.Check(q.Idempotent, qt.IsFalse)
		}},
		{"idempotent operation", "/v1/services/desk/look", "", [2]string{caller.HeaderPriority, "high"}, func(c *qt.C, q *fescuelatch.Request) {
			c.Check(q.Idempotent, qt.IsTrue)
			c.Check(q.Priority, qt.Equals, fescuelatch.PriorityHigh)
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			b := newBackend(t)
			r := httptest.NewRequest(http.MethodPost, test.path, strings.NewReader(test.body))
			r.Header.Set("Authorization", "Bearer key-a")
			if test.header[0] != "" {
				r.Header.Set(test.header[0], test.header[1])
			}
			w := httptest.NewRecorder()
			handler(b).ServeHTTP(w, r)
			c.Assert(w.Code, qt.Equals, http.StatusOK)
			c.Check(w.Header().Get(caller.HeaderRequestID), qt.Equals, "r1")
			c.Assert(b.calls, qt.HasLen, 1)
			test.check(c, b.calls[0].Request)
		})
	}
}

// A body shorter than its Content-Length must be rejected and not run.
func TestHalfClosedBody(t *testing.T) {
	c := qt.New(t)
	b := newBackend(t)
	r := httptest.NewRequest(http.MethodPost, "/v1/chat/completions", strings.NewReader(hello[:10]))
	r.ContentLength = int64(len(hello))
	r.Header.Set("Authorization", "Bearer key-a")
	w := httptest.NewRecorder()
	handler(b).ServeHTTP(w, r)
	c.Check(w.Code, qt.Equals, http.StatusBadRequest)
	c.Check(b.calls, qt.HasLen, 0)
}

func Example() {
	s := httptest.NewServer(handler(newBackend(&testing.T{})))
	defer s.Close()
	r, _ := http.NewRequest(http.MethodGet, s.URL+"/v1/models", nil)
	r.Header.Set("Authorization", "Bearer key-b")
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		fmt.Println(err)
		return
	}
	defer resp.Body.Close()
	var list openai.ModelList
	_ = json.NewDecoder(resp.Body).Decode(&list)
	for _, m := range list.Data {
		fmt.Println(m.ID)
	}
	// Output:
	// auto
	// n
	// n@1
}

// FuzzHeaders checks that arbitrary header values neither crash the handler nor
// pass out-of-range values to the backend.
func FuzzHeaders(f *testing.F) {
	f.Add("0.5", "10s", "high", "session", "key")
	f.Add("1e309", "1ns", "", "", "")
	f.Fuzz(func(t *testing.T, quality, timeout, priority, session, key string) {
		b := newBackend(t)
		r := httptest.NewRequest(http.MethodPost, "/v1/chat/completions", strings.NewReader(hello))
		r.Header.Set("Authorization", "Bearer key-a")
		r.Header.Set(caller.HeaderQuality, quality)
		r.Header.Set(caller.HeaderTimeout, timeout)
		r.Header.Set(caller.HeaderPriority, priority)
		r.Header.Set(caller.HeaderSession, session)
		r.Header.Set(caller.HeaderIdempotencyKey, key)
		w := httptest.NewRecorder()
		handler(b).ServeHTTP(w, r)
		if len(b.calls) == 0 {
			if w.Code != http.StatusBadRequest {
				t.Fatalf("status %d", w.Code)
			}
			return
		}
		q := b.calls[0].Request
		d := q.Deadline.Sub(q.Arrived)
		if !(q.Quality >= 0 && q.Quality <= 1) || d <= 0 || d > caller.MaxTimeout {
			t.Fatalf("accepted %+v", q)
		}
	})
}

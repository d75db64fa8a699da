package load_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuelatch"
	"fescuelatch/load"
)

// startTarget starts a server that handles calls with answer, and returns its
// address.
func startTarget(t *testing.T, answer http.HandlerFunc) netip.AddrPort {
	s := httptest.NewServer(answer)
	t.Cleanup(s.Close)
	return netip.MustParseAddrPort(s.Listener.Addr().String())
}

type requestBody struct {
	Messages []struct {
		Content string `json:"content"`
	} `json:"messages"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
	Nonce     string `json:"nonce"`
}

func readRequest(r *http.Request) (requestBody, []string) {
	b, _ := io.ReadAll(r.Body)
	var q requestBody
	_ = json.Unmarshal(b, &q)
	if len(q.Messages) == 0 {
		return q, nil
	}
	nonce, _, _ := strings.Cut(strings.TrimPrefix(q.Messages[len(q.Messages)-1].Content, "nonce:"), " ")
	ws := []string{"nonce:" + nonce}
	for n := range q.MaxTokens {
		ws = append(ws, fmt.Sprintf(" w%d", n))
	}
	return q, append(ws, " end:"+nonce)
}

// serve answers as a daemon does, but drops the last dropped tokens of
// streams.
func serve(dropped int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		q, ws := readRequest(r)
		h := w.Header()
		h.Set("Fescuelatch-Request-Id", "request-1")
		h.Set("Fescuelatch-Session", "token-1")
		if ws == nil {
			h.Set("Fescuelatch-Outcome", "answered")
			_ = json.NewEncoder(w).Encode(map[string]string{"nonce": q.Nonce})
			return
		}
		h.Set("Fescuelatch-Version", "triage@1")
		if !q.Stream {
			h.Set("Fescuelatch-Outcome", "answered")
			_, _ = fmt.Fprintf(w, `{"choices":[{"message":{"content":%q}}]}`, strings.Join(ws, ""))
			return
		}
		h.Set("Trailer", "Fescuelatch-Outcome")
		h.Set("Content-Type", "text/event-stream")
		for _, s := range ws[:len(ws)-dropped] {
			_, _ = fmt.Fprintf(w, "data: {\"choices\":[{\"delta\":{\"content\":%q}}]}\n\n", s)
		}
		_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
		h.Set("Fescuelatch-Outcome", "answered")
	}
}

func run(t *testing.T, calls []load.Call, targets ...netip.AddrPort) ([]load.Record, *load.Summary) {
	var ts []load.Target
	for _, a := range targets {
		ts = append(ts, load.Target{Caller: a})
	}
	u := load.Runner{Targets: ts, Keys: map[fescuelatch.AccountID]string{"large": "key"}}
	return u.Run(context.Background(), calls)
}

func TestRunVerifiesAnswers(t *testing.T) {
	whole := load.Call{Account: "large", Nonce: "a", Model: "triage", Tokens: 3, Timeout: time.Second}
	streamed := whole
	streamed.Streamed = true
	service := load.Call{Account: "large", Nonce: "a", Service: "desk", Operation: "ban", Timeout: time.Second}
	tests := []struct {
		name    string
		call    load.Call
		dropped int
		want    load.AnswerFault
	}{
		{"whole", whole, 0, load.FaultNone},
		{"streamed", streamed, 0, load.FaultNone},
		{"streamed without end marker", streamed, 1, load.FaultPartial},
		{"service", service, 0, load.FaultNone},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			rs, s := run(t, []load.Call{test.call}, startTarget(t, serve(test.dropped)))
			c.Assert(rs, qt.HasLen, 1)
			c.Assert(rs[0].Outcome, qt.Equals, fescuelatch.OutcomeAnswered, qt.Commentf("%+v", rs[0]))
			c.Assert(rs[0].Complete, qt.IsTrue)
			c.Assert(rs[0].Fault, qt.Equals, test.want)
			c.Assert(rs[0].First > 0, qt.Equals, test.call.Streamed)
			c.Assert(s.Outcomes[fescuelatch.OutcomeAnswered], qt.Equals, 1)
		})
	}
}

func TestRunRecordsRefusalsAndBrokenConnections(t *testing.T) {
	call := load.Call{Account: "large", Nonce: "a", Model: "triage", Tokens: 3, Timeout: time.Second}
	tests := []struct {
		name    string
		answer  http.HandlerFunc
		outcome fescuelatch.Outcome
		code    string
	}{
		{"refused", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Fescuelatch-Outcome", "not-run")
			w.Header().Set("Retry-After", "2")
			w.WriteHeader(http.StatusServiceUnavailable)
			_, _ = io.WriteString(w, `{"error":{"message":"m","type":"t","code":"overloaded"}}`)
		}, fescuelatch.OutcomeNotRun, "overloaded"},
		{"connection aborted", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, "", ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			rs, _ := run(t, []load.Call{call}, startTarget(t, test.answer))
			c.Assert(rs, qt.HasLen, 1)
			c.Assert(rs[0].Outcome, qt.Equals, test.outcome)
			c.Assert(rs[0].Code, qt.Equals, test.code)
			c.Assert(rs[0].Complete, qt.IsFalse)
		})
	}
}

func TestRunSkipsClosedTargets(t *testing.T) {
	c := qt.New(t)
	s := httptest.NewServer(http.NotFoundHandler())
	closed := netip.MustParseAddrPort(s.Listener.Addr().String())
	s.Close()
	call := load.Call{Account: "large", Nonce: "a", Model: "triage", Tokens: 3, Timeout: time.Second}
	rs, _ := run(t, []load.Call{call}, closed, startTarget(t, serve(0)))
	c.Assert(rs[0].Outcome, qt.Equals, fescuelatch.OutcomeAnswered)
	rs, _ = run(t, []load.Call{call}, closed)
	c.Assert(rs[0].Outcome, qt.Equals, fescuelatch.Outcome(""))
	c.Assert(rs[0].Message, qt.Contains, "unreachable")
}

func TestRunKeepsSessionTokens(t *testing.T) {
	c := qt.New(t)
	var seen []string
	answer := serve(0)
	a := startTarget(t, func(w http.ResponseWriter, r *http.Request) {
		seen = append(seen, r.Header.Get("Fescuelatch-Session"))
		answer(w, r)
	})
	first := load.Call{Account: "large", Nonce: "a", Model: "triage", Tokens: 3, Timeout: time.Second, Session: "s"}
	second := first
	second.At = 200 * time.Millisecond
	run(t, []load.Call{first, second}, a)
	first.KeepsToken, second.KeepsToken = true, true
	run(t, []load.Call{first, second}, a)
	c.Assert(seen, qt.DeepEquals, []string{"s", "s", "s", "token-1"})
}

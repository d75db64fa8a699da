package engine_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"

	"fescuelatch"
	"fescuelatch/engine"
	"fescuelatch/openai"
)

// This file fuzzes the answers of endpoints.

// fixedTransport answers every request with the same status and body.
type fixedTransport struct {
	status int
	body   string
}

func (a fixedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	return &http.Response{
		StatusCode: a.status, Header: http.Header{engine.HeaderAttempt: {"a.1"}},
		Body: io.NopCloser(strings.NewReader(a.body)), Request: r,
	}, nil
}

// FuzzWholeAnswer checks that only a complete answer of the attempt is accepted,
// and that it is forwarded with the caller's identifier.
func FuzzWholeAnswer(f *testing.F) {
	f.Add(200, `{"id":"a.1","choices":[{"message":{"content":"x"},"finish_reason":"stop"}]}`)
	f.Add(200, `{"id":"b.1","choices":[{"finish_reason":"stop"}]}`)
	f.Add(200, `{"id":"a.1","choices":[{}]}`)
	f.Add(503, `{"error":{"code":"cold"}}`)
	f.Fuzz(func(t *testing.T, status int, body string) {
		c := engine.Client{HTTP: &http.Client{Transport: fixedTransport{status, body}}}
		a, err := c.Chat(context.Background(), engine.Target{URL: "http://127.0.0.1:1"}, "a.1", new(openai.ChatRequest), func() {}, nil)
		if err != nil {
			return
		}
		if status/100 != 2 || a.ID != "a.1" || !a.Complete() {
			t.Fatalf("accepted as an answer: %d %s", status, body)
		}
		if text := string(a.AppendAs(nil, "q")); !strings.Contains(text, `"q"`) {
			t.Fatalf("forwarded as %s", text)
		}
	})
}

// FuzzLoadReport checks that only reports with status 200, a defined state and
// consistent counts are accepted.
func FuzzLoadReport(f *testing.F) {
	f.Add(200, `{"state":"warm","running":3}`)
	f.Add(200, `{"state":"hot"}`)
	f.Add(200, `{"state":"cold","running":-1}`)
	f.Add(200, `{"state":"warm","running":9223372036854775807,"waiting":1}`)
	f.Add(503, `{"state":"warm"}`)
	f.Fuzz(func(t *testing.T, status int, body string) {
		c := engine.Client{HTTP: &http.Client{Transport: fixedTransport{status, body}}}
		r, err := c.Load(context.Background(), engine.Target{URL: "http://127.0.0.1:1"})
		if err != nil {
			return
		}
		known := r.State == fescuelatch.EndpointWarm || r.State == fescuelatch.EndpointCold || r.State == fescuelatch.EndpointLeaving
		if status != http.StatusOK || !known || min(r.Running, r.Waiting, r.Slots, r.Running+r.Waiting) < 0 {
			t.Fatalf("status %d: %+v", status, r)
		}
	})
}

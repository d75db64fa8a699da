package engine_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"fescuelatch/caller"
	"fescuelatch/engine"
	"fescuelatch/openai"
)

// This file measures the cost of proxying a token, which is read from an
// endpoint's stream and written to the caller.

const benchAttempt = "q.1"

// cannedTransport answers every request with the same stream.
type cannedTransport []byte

// RoundTrip implements http.RoundTripper.
func (s cannedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	return &http.Response{
		StatusCode: http.StatusOK, Header: make(http.Header), Body: io.NopCloser(bytes.NewReader(s)), Request: r,
	}, nil
}

func cannedStream(tokens int) cannedTransport {
	var b bytes.Buffer
	chunk := func(delta, finish string) {
		fmt.Fprintf(&b, `data: {"id":%q,"object":"chat.completion.chunk","created":1764800000,"model":"m@1",`+
			`"choices":[{"index":0,"delta":%s,"finish_reason":%s}]}`+"\n\n", benchAttempt, delta, finish)
	}
	for range tokens {
		chunk(`{"content":"token "}`, "null")
	}
	chunk("{}", `"stop"`)
	b.WriteString("data: [DONE]\n\n")
	return b.Bytes()
}

// BenchmarkToken reports the cost per token for several answer lengths.
func BenchmarkToken(b *testing.B) {
	for _, tokens := range []int{16, 128, 1024} {
		b.Run(fmt.Sprintf("tokens=%d", tokens), func(b *testing.B) {
			c := &engine.Client{HTTP: &http.Client{Transport: cannedStream(tokens)}}
			b.ReportAllocs()
			for b.Loop() {
				proxyAnswer(b, c)
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*tokens), "ns/token")
		})
	}
}

// proxyAnswer proxies one answer.
func proxyAnswer(b *testing.B, c *engine.Client) {
	b.Helper()
	w := httptest.NewRecorder()
	r := caller.NewReply(w, "q")
	r.StartStream(caller.Meta{Request: "q", Version: "m@1"})
	q := &openai.ChatRequest{Model: "m@1", Stream: true}
	_, err := c.Chat(context.Background(), engine.Target{URL: "http://127.0.0.1:1"}, benchAttempt, q, func() {}, r.Chunk)
	if err != nil {
		b.Fatal(err)
	}
	if err := r.Finish(); err != nil {
		b.Fatal(err)
	}
}

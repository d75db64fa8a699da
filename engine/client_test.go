package engine_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"fescuelatch/engine"
	"fescuelatch/openai"
)

// This file tests what the client concludes from how endpoints behave.

const (
	part = `{"id":"%s","choices":[{"index":0,"delta":{"content":"%s"}}]}`
	last = `{"id":"%s","choices":[{"index":0,"delta":{},"finish_reason":"stop"}]}`
	done = "[DONE]"
)

func client() *engine.Client {
	return &engine.Client{HTTP: &http.Client{Transport: &http.Transport{}}}
}

func events(w http.ResponseWriter, lines ...string) {
	for _, l := range lines {
		fmt.Fprintf(w, "data: %s\n\n", l)
	}
	_ = http.NewResponseController(w).Flush()
}

func abort() { panic(http.ErrAbortHandler) }

func TestChat(t *testing.T) {
	tests := []struct {
		name   string
		stream bool
		serve  http.HandlerFunc
		want   engine.Kind // empty for an answer
		after  time.Duration
	}{
		{"whole", false, func(w http.ResponseWriter, r *http.Request) {
			fmt.Fprintf(w, `{"id":%q,"choices":[{"message":{"content":"x"},"finish_reason":"stop"}]}`, r.Header.Get("X-Request-Id"))
		}, "", 0},
		{"whole answer of another attempt", false, func(w http.ResponseWriter, _ *http.Request) {
			fmt.Fprint(w, `{"id":"other","choices":[{"message":{"content":"x"},"finish_reason":"stop"}]}`)
		}, engine.KindBroken, 0},
		{"answer without its end", false, func(w http.ResponseWriter, _ *http.Request) {
			fmt.Fprint(w, `{"id":"a.1","choices":[{"message":{"content":"x"}}]}`)
		}, engine.KindBroken, 0},
		{"half an answer", false, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "500")
			fmt.Fprint(w, `{"id":"a.1","cho`)
			abort()
		}, engine.KindBroken, 0},
		{"connection lost before the answer", false, func(http.ResponseWriter, *http.Request) { abort() }, engine.KindBroken, 0},
		{"deadline of the caller", false, func(_ http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
		}, engine.KindExpired, 0},
		{"overloaded", false, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Retry-After", "3")
			w.WriteHeader(http.StatusServiceUnavailable)
		}, engine.KindOverloaded, 3 * time.Second},
		{"version not loaded", false, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNotFound) }, engine.KindNotStarted, 0},
		{"refused as invalid", false, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusBadRequest) }, engine.KindRejected, 0},
		{"internal error", false, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }, engine.KindBroken, 0},
		{"stream", true, func(w http.ResponseWriter, _ *http.Request) {
			events(w, fmt.Sprintf(part, "a.1", "x"), fmt.Sprintf(last, "a.1"), done)
		}, "", 0},
		{"stream with a foreign chunk", true, func(w http.ResponseWriter, _ *http.Request) {
			events(w, fmt.Sprintf(part, "a.1", "x"), fmt.Sprintf(part, "b.1", "y"), fmt.Sprintf(last, "a.1"), done)
		}, engine.KindBroken, 0},
		{"stream without the end mark", true, func(w http.ResponseWriter, _ *http.Request) {
			events(w, fmt.Sprintf(part, "a.1", "x"), fmt.Sprintf(last, "a.1"))
		}, engine.KindBroken, 0},
		{"stream with the end mark but no finish", true, func(w http.ResponseWriter, _ *http.Request) {
			events(w, fmt.Sprintf(part, "a.1", "x"), done)
		}, engine.KindBroken, 0},
		{"stream that ends with an error", true, func(w http.ResponseWriter, _ *http.Request) {
			events(w, fmt.Sprintf(part, "a.1", "x"), `{"error":{"message":"lost"}}`)
		}, engine.KindBroken, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			s := httptest.NewServer(test.serve)
			defer s.Close()
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			_, err := client().Chat(ctx, engine.Target{URL: s.URL}, "a.1", &openai.ChatRequest{Stream: test.stream},
				func() {}, func(*openai.Chunk) error { return nil })
			if test.want == "" {
				c.Assert(err, qt.IsNil)
				return
			}
			var e *engine.Error
			c.Assert(errors.As(err, &e), qt.IsTrue, qt.Commentf("%v", err))
			c.Check(e.Kind, qt.Equals, test.want)
			c.Check(e.RetryAfter, qt.Equals, test.after)
		})
	}
}

// A refused connection is the one failure below HTTP after which nothing can
// have run.
func TestRefusedConnectionIsNotStarted(t *testing.T) {
	c := qt.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	url := "http://" + l.Addr().String()
	c.Assert(l.Close(), qt.IsNil)
	_, err = client().Call(context.Background(), engine.Target{URL: url}, "a.1", "desk", "ban", "k", nil)
	var e *engine.Error
	c.Assert(errors.As(err, &e), qt.IsTrue)
	c.Check(e.Kind, qt.Equals, engine.KindNotStarted)
}

// net/http repeats requests that carry an idempotency key on a fresh
// connection when a kept one breaks; an operation that must not be repeated
// must not be.
func TestBrokenConnectionIsNotRepeated(t *testing.T) {
	for _, body := range [][]byte{nil, []byte("{}")} {
		c := qt.New(t)
		var calls atomic.Int64
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			if calls.Add(1) > 1 {
				abort()
			}
			fmt.Fprint(w, "{}")
		}))
		k := client()
		t1 := engine.Target{URL: s.URL}
		_, err := k.Call(context.Background(), t1, "a.1", "desk", "ban", "key", body)
		c.Assert(err, qt.IsNil)
		_, err = k.Call(context.Background(), t1, "a.2", "desk", "ban", "key", body)
		var e *engine.Error
		c.Assert(errors.As(err, &e), qt.IsTrue)
		c.Check(e.Kind, qt.Equals, engine.KindBroken)
		c.Check(calls.Load(), qt.Equals, int64(2))
		s.Close()
	}
}

// A cut stream goes on at the same endpoint after the chunks that arrived.
func TestResume(t *testing.T) {
	c := qt.New(t)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			events(w, fmt.Sprintf(part, "a.1", "one"), fmt.Sprintf(part, "a.1", "two"))
			return
		}
		c.Check(r.URL.String(), qt.Equals, "/v1/requests/a.1/stream?from=2")
		events(w, fmt.Sprintf(part, "a.1", "three"), fmt.Sprintf(last, "a.1"), done)
	}))
	defer s.Close()
	text := ""
	_, err := client().Chat(context.Background(), engine.Target{URL: s.URL, Resumable: true}, "a.1",
		&openai.ChatRequest{Stream: true}, func() {}, func(k *openai.Chunk) error { text += k.Text(); return nil })
	c.Assert(err, qt.IsNil)
	c.Check(text, qt.Equals, "onetwothree")
}

// What a plain service says of a request with a status of 400 to 499 is its
// answer: it may have executed the request before it said so.
func TestServiceAnswersWithErrors(t *testing.T) {
	tests := []struct {
		name   string
		status int
		header [2]string
		want   engine.Kind // empty for an answer
	}{
		{"conflict", http.StatusConflict, [2]string{}, ""},
		{"not found", http.StatusNotFound, [2]string{}, ""},
		{"too many requests", http.StatusTooManyRequests, [2]string{"Retry-After", "1"}, engine.KindOverloaded},
		{"conflict through another daemon", http.StatusConflict, [2]string{engine.HeaderOutcome, "answered"}, ""},
		{"refusal of another daemon", http.StatusBadRequest, [2]string{engine.HeaderOutcome, "not-run"}, engine.KindNotStarted},
		{"unknown outcome at another daemon", http.StatusConflict, [2]string{engine.HeaderOutcome, "unknown"}, engine.KindBroken},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				if test.header[0] != "" {
					w.Header().Set(test.header[0], test.header[1])
				}
				w.WriteHeader(test.status)
				fmt.Fprint(w, "{}")
			}))
			defer s.Close()
			a, err := client().Call(context.Background(), engine.Target{URL: s.URL}, "a.1", "desk", "ban", "k", nil)
			if test.want == "" {
				c.Assert(err, qt.IsNil)
				c.Check(a.Status, qt.Equals, test.status)
				return
			}
			var e *engine.Error
			c.Assert(errors.As(err, &e), qt.IsTrue)
			c.Check(e.Kind, qt.Equals, test.want)
		})
	}
}

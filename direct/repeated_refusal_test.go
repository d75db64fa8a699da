package direct_test

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuelatch/platform/fakeplatform"
)

// This file tests endpoints that write an earlier refusal once more on a kept connection.

// repeatedRefusals refuses the first request on each connection, and writes that refusal once
// more at a later one, which it runs.
type repeatedRefusals struct {
	// statusLine and identify make the second copy: identify returns its identifier, or
	// none if it is empty, from those of the refused request and the later one.
	statusLine string
	identify   func(refused, later string) string
	// unidentified reports that the first copy has no identifier either.
	unidentified bool
	// before is the time between the copy and the answer, which are written together if it
	// is zero; if it is negative, the copy follows the answer.
	before time.Duration

	mu   sync.Mutex
	runs map[string]int // by call
}

func (f *repeatedRefusals) behaviour(w http.ResponseWriter, r *http.Request) {
	c, b, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	go func() {
		defer func() { _ = c.Close() }()
		refused := r.Header.Get("Fescuelatch-Attempt-Id")
		if f.unidentified {
			f.write(b.Writer, "")
		} else {
			f.write(b.Writer, refused)
		}
		_ = b.Flush()
		for {
			q, err := http.ReadRequest(b.Reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, q.Body)
			later := q.Header.Get("Fescuelatch-Attempt-Id")
			f.mu.Lock()
			f.runs[later]++
			f.mu.Unlock()
			id := f.identify(refused, later)
			if f.before >= 0 {
				f.write(b.Writer, id)
				if f.before > 0 {
					_ = b.Flush()
					time.Sleep(f.before)
				}
			}
			_, _ = fmt.Fprintf(b, "HTTP/1.1 200 OK\r\nFescuelatch-Attempt-Id: %s\r\nFescuelatch-Response-Signature: s\r\nContent-Length: 4\r\n\r\nreal", later)
			_ = b.Flush()
			if f.before < 0 {
				time.Sleep(-f.before)
				f.write(b.Writer, id)
				_ = b.Flush()
			}
		}
	}()
}

// write writes a refusal.
func (f *repeatedRefusals) write(w *bufio.Writer, id string) {
	_, _ = io.WriteString(w, "HTTP/1.1 "+f.statusLine+"\r\n")
	if id != "" {
		_, _ = fmt.Fprintf(w, "Fescuelatch-Attempt-Id: %s\r\n", id)
	}
	_, _ = io.WriteString(w, "Fescuelatch-Not-Executed: 1\r\nContent-Length: 4\r\n\r\nfull")
}

// TestRefusalWrittenAgainIsTold checks that callers are not told that a request has not run
// which an endpoint runs, and that it runs once.
func TestRefusalWrittenAgainIsTold(t *testing.T) {
	earlier := func(refused, _ string) string { return refused }
	none := func(string, string) string { return "" }
	its := func(_, later string) string { return later }
	// After status 421 an endpoint gets no requests for a while.
	const busy, limited, misplaced = "503 Service Unavailable", "429 Too Many Requests", "421 Misdirected Request"
	tests := []struct {
		name     string
		refusals *repeatedRefusals
		answered int // at least
	}{
		{"with its identifier", &repeatedRefusals{statusLine: busy, identify: earlier, before: 20 * time.Millisecond}, 20},
		{"with its identifier, beside the answer", &repeatedRefusals{statusLine: busy, identify: earlier}, 20},
		{"with its identifier, after the answer", &repeatedRefusals{statusLine: busy, identify: earlier, before: -10 * time.Millisecond}, 20},
		{"without one", &repeatedRefusals{statusLine: busy, identify: none, before: 20 * time.Millisecond}, 20},
		{"without one, beside the answer", &repeatedRefusals{statusLine: busy, identify: none}, 20},
		{"without one, after the answer", &repeatedRefusals{statusLine: busy, identify: none, before: -10 * time.Millisecond}, 20},
		{"without one, status 429", &repeatedRefusals{statusLine: limited, identify: none, before: 20 * time.Millisecond}, 20},
		{"without one, status 421", &repeatedRefusals{statusLine: misplaced, identify: none, before: 20 * time.Millisecond}, 0},
		{"never with one", &repeatedRefusals{statusLine: busy, identify: none, unidentified: true, before: 20 * time.Millisecond}, 0},
		{"with that of the next, beside the answer", &repeatedRefusals{statusLine: busy, identify: its}, 0},
		{"with that of the next, after the answer", &repeatedRefusals{statusLine: busy, identify: its, before: -10 * time.Millisecond}, 20},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newSite(t, "desk", 2)
			s.awaitReady()
			f := test.refusals
			f.runs = make(map[string]int)
			for _, e := range s.endpoints {
				e.SetBehaviour(f.behaviour)
			}
			told := make(map[int]int)
			for range 30 {
				a := s.call(http.MethodPost, "desk.example", "/ban/", "body")
				told[a.status]++
				f.mu.Lock()
				ran := f.runs[fmt.Sprintf("call-%d", lastCall.Load())]
				f.mu.Unlock()
				s.Check(ran <= 1, qt.IsTrue, qt.Commentf("run %d times", ran))
				if fakeplatform.IsNotRunStatus(a.status) || a.status == http.StatusMisdirectedRequest {
					s.Check(ran, qt.Equals, 0, qt.Commentf("told %d", a.status))
				}
				s.Check(a.status != http.StatusOK || a.body == "real", qt.IsTrue, qt.Commentf("%d %q", a.status, a.body))
			}
			s.Check(told[http.StatusOK] >= test.answered, qt.IsTrue, qt.Commentf("told: %v", told))
		})
	}
}

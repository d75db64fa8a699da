package direct_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"runtime/debug"
	"runtime/metrics"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuelatch/platform/fakeplatform"
)

// This file tests endpoints that write bytes without end, until their connection is closed.

// endlessly answers with begin and then with what more returns, without end. It reports the end
// of the connection to ended.
func endlessly(begin string, more func(n int) string, ended *atomic.Int64) fakeplatform.Behaviour {
	return func(w http.ResponseWriter, r *http.Request) {
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer func() {
			_ = c.Close()
			ended.Add(1)
		}()
		begin := strings.ReplaceAll(begin, "CALL", r.Header.Get("Fescuelatch-Attempt-Id"))
		_, err = io.WriteString(c, begin)
		for n := 0; err == nil; n++ {
			// The bytes of all endpoints arrive beside each other.
			time.Sleep(2 * time.Millisecond)
			_, err = io.WriteString(c, more(n))
		}
	}
}

// liveBytes returns the memory that is in use after a collection of garbage. What is allocated after
// the collection does not count: that is much on a busy machine, where a measurement takes long.
func liveBytes() uint64 {
	runtime.GC()
	live := []metrics.Sample{{Name: "/gc/heap/live:bytes"}}
	metrics.Read(live)
	return live[0].Value.Uint64()
}

// TestEndlessAnswersShareMemory guards against a daemon that keeps what faulty endpoints write
// without end: each answer is bounded, and so must be all of them together, as the smallest VMs
// have 134 MB, of which a daemon under load uses less than half otherwise.
func TestEndlessAnswersShareMemory(t *testing.T) {
	const (
		calls   = 96
		allowed = 64 << 20
		// patience is how long callers wait, and slack how much later all is over.
		patience = 1500 * time.Millisecond
		slack    = 500 * time.Millisecond
	)
	// Objects that are allocated during a collection count as live, so that it must begin early.
	defer debug.SetGCPercent(debug.SetGCPercent(10))
	filler := strings.Repeat("x", 32<<10)
	always := func(text string) func(int) string { return func(int) string { return text } }
	fill := always(filler)
	const status = "HTTP/1.1 200 OK\r\nFescuelatch-Attempt-Id: CALL\r\nFescuelatch-Response-Signature: s\r\n"
	tests := []struct {
		name, begin string
		more        func(n int) string
	}{
		{"status line", "HTTP/1.1 200 ", fill},
		{"header", status + "X-Long: ", fill},
		{"short headers", status, func(n int) string {
			var b strings.Builder
			for i := range 1000 {
				fmt.Fprintf(&b, "%x:\r\n", n*1000+i)
			}
			return b.String()
		}},
		{"informational answers", "", always("HTTP/1.1 103 Early Hints\r\nLink: " + filler + "\r\n\r\n")},
		{"body to the end of the connection", status + "\r\n", fill},
		{"body with a length", status + "Content-Length: 1000000000000\r\n\r\n", fill},
		{"chunks", status + "Transfer-Encoding: chunked\r\n\r\n", always("8000\r\n" + filler + "\r\n")},
		{"chunk extension", status + "Transfer-Encoding: chunked\r\n\r\n4;x=", fill},
		{"trailers", status + "Transfer-Encoding: chunked\r\n\r\n0\r\n", func(n int) string { return fmt.Sprintf("X-%d: %s\r\n", n, filler) }},
		{"event", status + "Content-Type: text/event-stream\r\n\r\ndata: ", fill},
		{"lines of an event", status + "Content-Type: text/event-stream\r\n\r\n", always("data: x\n: " + filler + "\n")},
		{"failure", strings.Replace(status, "200 OK", "500 Failure", 1) + "\r\n", fill},
		{"refusal", strings.Replace(status, "200 OK", "503 Full", 1) + "Fescuelatch-Not-Executed: 1\r\n\r\n", fill},
		{"answer to another request", strings.Replace(status, "CALL", "other", 1) + "\r\n", fill},
	}
	kinds := []struct{ name, service, host, path string }{
		{"once", "desk", "desk.example", "/ban/"},
		{"stream", "lm", "lm.example", "/write/"},
	}
	for _, kind := range kinds {
		for _, test := range tests {
			// The memory of the whole process is measured, so the cases cannot run in parallel.
			t.Run(kind.name+"/"+test.name, func(t *testing.T) {
				s := newSite(t, kind.service, 3)
				for _, e := range s.endpoints {
					s.store.Put(e.Key(), strings.Replace(e.Entry(kind.service, "v1", "ready"), `"capacity":8`, `"capacity":64`, 1))
				}
				s.awaitReady()
				time.Sleep(700 * time.Millisecond) // The daemon reads the capacities.
				var ended atomic.Int64
				for _, e := range s.endpoints {
					e.SetBehaviour(endlessly(test.begin, test.more, &ended))
				}
				debug.FreeOSMemory()
				before := liveBytes()
				done := make(chan struct{})
				var most uint64
				go func() {
					defer close(done)
					for end := time.Now().Add(patience + slack); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
						most = max(most, liveBytes())
					}
				}()
				var all sync.WaitGroup
				var whole atomic.Int64
				for n := range calls {
					all.Go(func() {
						ctx, cancel := context.WithTimeout(context.Background(), patience)
						defer cancel()
						q, err := fakeplatform.NewCall(ctx, s.callers, http.MethodPost, kind.host, kind.path, fmt.Sprintf("endless-%d", n), callerKey, patience)
						s.Check(err, qt.IsNil)
						q.Header.Set("Fescuelatch-Model", "*")
						res, err := http.DefaultTransport.RoundTrip(q)
						if err != nil {
							return
						}
						defer func() { _ = res.Body.Close() }()
						if _, err := io.Copy(io.Discard, res.Body); err == nil && res.StatusCode == http.StatusOK {
							whole.Add(1)
						}
					})
				}
				all.Wait()
				<-done
				s.Check(whole.Load(), qt.Equals, int64(0))
				used := int64(most) - int64(before)
				s.Logf("%d MB used", used>>20)
				s.Check(used < allowed, qt.IsTrue, qt.Commentf("%d MB used", used>>20))
				sent := 0
				for _, e := range s.endpoints {
					sent += len(e.Requests())
				}
				s.Check(int(ended.Load()), qt.Equals, sent, qt.Commentf("connections that were closed, of those of all attempts"))
			})
		}
	}
}

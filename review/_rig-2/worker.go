package main

import (
	"bufio"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// This file defines the worker, which runs as a process of its own. It tells on its standard
// output what it gets and runs, a JSON line each.

// workerEvent is what a worker tells.
type workerEvent struct {
	At      time.Time `json:"at"`
	Event   string    `json:"event"` // "listening", "run", "end", "refused"
	Address string    `json:"address,omitempty"`
	Call    string    `json:"call,omitempty"`
	Path    string    `json:"path,omitempty"`
	Model   string    `json:"model,omitempty"`
	Note    string    `json:"note,omitempty"`
}

// worker answers requests as its mode says.
type worker struct {
	id, mode string
	work     time.Duration
	// leaving is set when the process gets SIGTERM, the notice that it is to leave. It goes on until
	// it is killed.
	leaving atomic.Bool

	mu  sync.Mutex
	out *json.Encoder
}

// runWorker runs a worker until it is killed.
func runWorker(args []string) {
	f := flag.NewFlagSet("worker", flag.ExitOnError)
	w := &worker{out: json.NewEncoder(os.Stdout)}
	f.StringVar(&w.id, "id", "", "identifier")
	f.StringVar(&w.mode, "mode", "plain", "plain, sized or unframed")
	f.DurationVar(&w.work, "work", 20*time.Millisecond, "time that a request takes")
	if err := f.Parse(args); err != nil {
		os.Exit(exitFailed)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "worker:", err)
		os.Exit(exitFailed)
	}
	notices := make(chan os.Signal, 1)
	signal.Notify(notices, syscall.SIGTERM)
	go func() {
		<-notices
		w.leaving.Store(true)
	}()
	w.tell(workerEvent{Event: "listening", Address: l.Addr().String()})
	s := &http.Server{Handler: w, ReadHeaderTimeout: time.Minute}
	fmt.Fprintln(os.Stderr, "worker:", s.Serve(l))
}

func (w *worker) tell(e workerEvent) {
	w.mu.Lock()
	defer w.mu.Unlock()
	e.At = time.Now()
	_ = w.out.Encode(e)
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(to http.ResponseWriter, r *http.Request) {
	call := r.Header.Get("Fescuelatch-Attempt-Id")
	h := to.Header()
	if w.leaving.Load() {
		h.Set("Server-Leaving", "1")
		h.Set("Connection", "close")
	}
	if r.URL.Path == "/healthz" {
		h.Set("Fescuelatch-Instance-Id", w.id)
		if w.leaving.Load() {
			to.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	if call == "" {
		w.tell(workerEvent{Event: "refused", Path: r.URL.Path, Note: "no identifier"})
		h.Set("Fescuelatch-Not-Executed", "1")
		to.WriteHeader(http.StatusBadRequest)
		return
	}
	h.Set("Fescuelatch-Attempt-Id", call)
	if r.Header.Get("Fescuelatch-Target-Instance") != w.id {
		w.tell(workerEvent{Event: "refused", Call: call, Path: r.URL.Path, Note: "another instance"})
		h.Set("Fescuelatch-Instance-Id", w.id)
		to.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	model := r.Header.Get("Fescuelatch-Model")
	w.tell(workerEvent{Event: "run", Call: call, Path: r.URL.Path, Model: model})
	defer w.tell(workerEvent{Event: "end", Call: call, Path: r.URL.Path, Model: model})
	h.Set("Fescuelatch-Response-Signature", w.id+"."+call)
	switch {
	case w.mode == "sized" && strings.HasPrefix(r.URL.Path, "/act/"):
		h.Set("Fescuelatch-Confidence", confidence(model))
		time.Sleep(w.work)
		_, _ = io.WriteString(to, answerOf(call, len(body)))
	case w.mode == "sized":
		h.Set("Fescuelatch-Confidence", confidence(model))
		w.stream(to, r)
	case w.mode == "unframed":
		w.unframed(to, r, call, len(body))
	default:
		time.Sleep(w.work)
		_, _ = io.WriteString(to, answerOf(call, len(body)))
	}
}

// confidence is a model's opinion of its answers: that of a small one is low.
func confidence(model string) string {
	if strings.HasPrefix(model, "small") {
		return "10"
	}
	return "95"
}

// answerOf returns the whole answer to a request. A client can tell from it whether it is whole.
func answerOf(call string, bytes int) string {
	return fmt.Sprintf("{\"call\":%q,\"received\":%d,\"text\":%q,\"end\":true}\n", call, bytes, strings.Repeat("x", 800))
}

// events is the number of events of a stream.
const events = 6

// stream answers with events after Last-Event-Id.
func (w *worker) stream(to http.ResponseWriter, r *http.Request) {
	to.Header().Set("Content-Type", "text/event-stream")
	flush := http.NewResponseController(to).Flush
	first, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for n := first + 1; n <= events && r.Context().Err() == nil; n++ {
		time.Sleep(w.work)
		_, _ = io.WriteString(to, eventOf(n))
		_ = flush()
	}
}

// unframed answers with neither a length nor chunks: the connection ends with the answer, which is
// written in two parts, or with events under /tell/.
func (w *worker) unframed(to http.ResponseWriter, r *http.Request, call string, bytes int) {
	c, b, err := http.NewResponseController(to).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	kind := "application/json"
	answer := answerOf(call, bytes)
	parts := []string{answer[:len(answer)/2], answer[len(answer)/2:]}
	if strings.HasPrefix(r.URL.Path, "/tell/") {
		kind = "text/event-stream"
		parts = nil
		first, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		for n := first + 1; n <= events; n++ {
			parts = append(parts, eventOf(n))
		}
	}
	_, _ = b.WriteString("HTTP/1.1 200 OK\r\nContent-Type: " + kind + "\r\nFescuelatch-Attempt-Id: " + call +
		"\r\nFescuelatch-Response-Signature: " + w.id + "." + call + "\r\n")
	if w.leaving.Load() {
		_, _ = b.WriteString("Server-Leaving: 1\r\n")
	}
	_, _ = b.WriteString("\r\n")
	writeParts(b.Writer, 2*w.work/time.Duration(max(len(parts), 1)), parts...)
}

// eventOf returns an event of a stream.
func eventOf(n int) string { return fmt.Sprintf("id: %d\ndata: event %d of %d\n\n", n, n, events) }

// writeParts writes parts with a time before each.
func writeParts(b *bufio.Writer, before time.Duration, parts ...string) {
	for _, p := range parts {
		time.Sleep(before)
		_, _ = b.WriteString(p)
		if b.Flush() != nil {
			return
		}
	}
}

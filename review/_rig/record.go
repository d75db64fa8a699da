package main

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"
)

// record is the file of what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
	runs  map[string][]run
}

// run is a run of a request at a worker.
type run struct {
	worker, path string
	at           time.Time
}

func newRecord(name string) (*record, error) {
	f, err := os.Create(name)
	if err != nil {
		return nil, err
	}
	return &record{file: f, began: time.Now(), runs: make(map[string][]run)}, nil
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

func (r *record) run(call, worker string, q *http.Request) {
	r.add("worker %s runs %s: %s %s, Last-Event-Id %q", worker, call, q.Method, q.RequestURI, q.Header.Get("Last-Event-Id"))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[call] = append(r.runs[call], run{worker, pathOf(q), time.Now()})
}

// pathOf returns the path that a server sees: that of the target, which may be a whole URL.
func pathOf(q *http.Request) string { return q.URL.EscapedPath() }

func (r *record) runsOf(call string) []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[call]
}

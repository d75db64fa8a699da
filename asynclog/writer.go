// Package asynclog writes log lines without ever making the caller wait: a
// reader that stops costs lines, not requests.
package asynclog

import (
	"io"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// This file defines the writer.

const (
	// queueLines bounds the lines that wait to be written.
	queueLines = 1024
	// reserve is the part of the queue that only lines of a level above info
	// may use, so that they are not lost behind ordinary ones.
	reserve = queueLines / 4
	// flushTime bounds the wait for the last lines at the end.
	flushTime = 200 * time.Millisecond
)

// Writer passes lines to an io.Writer in the background. When its queue is
// full it drops lines and says later how many. It is safe for concurrent use.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	quit    chan struct{}
	done    chan struct{}
	end     sync.Once
}

// New returns a writer to out and starts its goroutine, which ends with Close.
func New(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, queueLines), quit: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer for one whole line. It never blocks and reports
// no error.
func (w *Writer) Write(line []byte) (int, error) {
	if len(w.lines) >= queueLines-reserve && !important(line) {
		w.dropped.Add(1)
		return len(line), nil
	}
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that have been dropped and not yet been
// told of.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Close writes what waits, for a bounded time.
func (w *Writer) Close() {
	w.end.Do(func() { close(w.quit) })
	select {
	case <-w.done:
	case <-time.After(flushTime):
	}
}

func (w *Writer) run() {
	defer close(w.done)
	for {
		select {
		case line := <-w.lines:
			w.write(line)
		case <-w.quit:
			w.flush()
			return
		}
	}
}

// flush writes what waits.
func (w *Writer) flush() {
	for {
		select {
		case line := <-w.lines:
			w.write(line)
		default:
			return
		}
	}
}

func (w *Writer) write(line []byte) {
	// There is nowhere to report that the log cannot be written.
	_, _ = w.out.Write(line)
	if n := w.dropped.Swap(0); n > 0 {
		_, _ = io.WriteString(w.out, `{"level":"WARN","msg":"log lines were dropped","lines":`+strconv.FormatInt(n, 10)+"}\n")
	}
}

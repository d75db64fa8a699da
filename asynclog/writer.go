// Package asynclog writes log lines without blocking the caller: if the log's
// reader stops, lines are dropped, but requests continue.
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
	// maxQueuedLines bounds the lines waiting to be written.
	maxQueuedLines = 1024
	// reservedLines is the part of the queue reserved for lines with a level
	// above info, so that ordinary lines do not cause their loss.
	reservedLines = maxQueuedLines / 4
	// flushTimeout bounds the final flush in Close.
	flushTimeout = 200 * time.Millisecond
)

// Writer passes lines to an io.Writer in the background. When its queue is
// full, it drops lines and logs their number later. It is safe for concurrent use.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	quit    chan struct{}
	done    chan struct{}
	end     sync.Once
}

// New returns a writer to out and starts its goroutine, which Close ends.
func New(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, maxQueuedLines), quit: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer for one whole line. It never blocks or fails.
func (w *Writer) Write(line []byte) (int, error) {
	if len(w.lines) >= maxQueuedLines-reservedLines && !aboveInfo(line) {
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

// Dropped returns the number of dropped lines not yet logged.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Close writes the queued lines, for a bounded time.
func (w *Writer) Close() {
	w.end.Do(func() { close(w.quit) })
	select {
	case <-w.done:
	case <-time.After(flushTimeout):
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

// flush writes the queued lines.
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
	// A failure to write the log cannot be reported anywhere.
	_, _ = w.out.Write(line)
	if n := w.dropped.Swap(0); n > 0 {
		_, _ = io.WriteString(w.out, `{"level":"WARN","msg":"log lines were dropped","lines":`+strconv.FormatInt(n, 10)+"}\n")
	}
}

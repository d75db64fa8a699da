// Package transfer implements time-outs of transfers that may last as long as data
// arrives.
package transfer

import (
	"context"
	"io"
	"sync"
	"time"
)

// Bounds are the time-outs of a transfer.
type Bounds struct {
	// Start bounds the time until the first data, Stall the time from then on without
	// data, and Total all time after the first data.
	Start, Stall, Total time.Duration
}

// Meter observes the progress of a transfer. It is safe for concurrent use.
type Meter struct {
	bounds Bounds
	cancel context.CancelCauseFunc
	timer  *time.Timer

	mu    sync.Mutex
	began time.Time // when the first data arrived
}

// WithBounds returns a context that is canceled, with the cause
// context.DeadlineExceeded, when the transfer that the meter observes exceeds its bounds.
// Stopping the meter releases the context.
func WithBounds(ctx context.Context, b Bounds) (context.Context, *Meter) {
	ctx, cancel := context.WithCancelCause(ctx)
	return ctx, &Meter{bounds: b, cancel: cancel, timer: time.AfterFunc(b.Start, func() { cancel(context.DeadlineExceeded) })}
}

// Advance records that data has arrived.
func (m *Meter) Advance() {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	if m.began.IsZero() {
		m.began = now
	}
	m.timer.Reset(min(m.bounds.Stall, max(m.bounds.Total-now.Sub(m.began), 0)))
}

// Stop ends the observation and cancels the context.
func (m *Meter) Stop() {
	m.timer.Stop()
	m.cancel(context.Canceled)
}

// maxRead bounds a read. Some readers, such as that of a chunked HTTP body, return only
// when the buffer is full.
const maxRead = 16 << 10

// Reader calls OnRead after each read that returns data, and reads little at a time.
type Reader struct {
	io.Reader
	OnRead func()
}

// Read implements io.Reader.
func (r Reader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p[:min(len(p), maxRead)])
	if n > 0 && err == nil { // An error may come with data that arrived long before.
		r.OnRead()
	}
	return n, err //nolint:wrapcheck // Callers expect the source's own errors.
}

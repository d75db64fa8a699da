package server

import (
	"context"
	"sync"
	"time"
)

// This file defines values that are read with a lag.

// sampleInterval is the time between samples of a lagging value.
const sampleInterval = 20 * time.Millisecond

// LaggingValue keeps samples of a value in order to return past ones. The zero value
// has no samples. It is safe for concurrent use.
type LaggingValue[T any] struct {
	mu      sync.Mutex
	samples []sample[T]
}

type sample[T any] struct {
	at    time.Time
	value T
}

// Add records that the value was v at the given time.
func (l *LaggingValue[T]) Add(at time.Time, v T) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.samples = append(l.samples, sample[T]{at, v})
}

// At returns the last sample at or before the given time, else the oldest
// sample, else the zero T. It discards all samples before the one returned.
func (l *LaggingValue[T]) At(at time.Time) T {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.samples) > 1 && !l.samples[1].at.After(at) {
		l.samples = l.samples[1:]
	}
	if len(l.samples) == 0 {
		var zero T
		return zero
	}
	return l.samples[0].value
}

// Sample adds samples of the value that get returns until ctx ends. It
// discards samples older than the lag.
func (l *LaggingValue[T]) Sample(ctx context.Context, lag func() time.Duration, get func() T) {
	t := time.NewTicker(sampleInterval)
	defer t.Stop()
	for {
		now := time.Now()
		l.Add(now, get())
		l.At(now.Add(-lag()))
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

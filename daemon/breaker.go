package daemon

import (
	"sync"
	"time"
)

// This file defines the circuit breaker of claims.

// breaker keeps claims from being tried while the platform is away, so that
// requests which need one are refused at once. One claim at a time tests
// whether it is back. The zero value is closed: it lets all claims through.
type breaker struct {
	mu      sync.Mutex
	open    bool
	until   time.Time // no claim is tried before, while open
	testing bool
}

// allow reports whether a claim may be tried. Each that is must be followed
// by one of succeeded, failed and undecided.
func (b *breaker) allow(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.open {
		return true
	}
	if b.testing || now.Before(b.until) {
		return false
	}
	b.testing = true
	return true
}

// refuses reports whether allow would return false.
func (b *breaker) refuses(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.open && (b.testing || now.Before(b.until))
}

// succeeded records that the platform answered.
func (b *breaker) succeeded() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.open, b.testing = false, false
}

// failed records that a claim could not be made.
func (b *breaker) failed(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.open, b.testing = true, false
	b.until = now.Add(claimPause)
}

// undecided records that a claim ended without a word of the platform.
func (b *breaker) undecided() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.testing = false
}

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
	since   time.Time // it has been open
	until   time.Time // no claim is tried before, while open
	next    time.Time // no request is admitted before, while open
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

// admit reports whether a request that needs a claim may wait for a slot.
// While open it lets one through in each claimPause, to be the test.
func (b *breaker) admit(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.open {
		return true
	}
	if b.testing || now.Before(b.until) || now.Before(b.next) {
		return false
	}
	b.next = now.Add(claimPause)
	return true
}

// awayRetryMax bounds the time to come back in an outage of the platform.
const awayRetryMax = 5 * time.Second

// retryAfter returns the time to come back for a request that needs a claim.
// It grows with the length of the outage: one that has lasted for long is not
// likely to end within a second.
func (b *breaker) retryAfter(now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.open {
		return claimPause
	}
	return min(max(now.Sub(b.since), claimPause), awayRetryMax)
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
	if !b.open {
		b.since = now
	}
	b.open, b.testing = true, false
	b.until = now.Add(claimPause)
}

// undecided records that a claim ended without a word of the platform.
func (b *breaker) undecided() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.testing = false
}

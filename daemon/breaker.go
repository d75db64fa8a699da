package daemon

import (
	"sync"
	"time"
)

// This file defines the circuit breaker of claims.

// breaker stops claims while the platform is unavailable, so that requests
// which need one are refused at once. One claim at a time tests whether the
// platform is available again. The zero value is closed: it allows all claims.
type breaker struct {
	mu      sync.Mutex
	open    bool
	since   time.Time // start of the outage, while open
	until   time.Time // time of the next test, while open
	next    time.Time // time of the next admission, while open
	testing bool
}

// allow reports whether a claim may be attempted. The caller must then call
// succeeded, failed or undecided.
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

// admit reports whether a request that needs a claim may wait for a slot. An
// open breaker admits one request per claimBackoff as the test.
func (b *breaker) admit(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.open {
		return true
	}
	if b.testing || now.Before(b.until) || now.Before(b.next) {
		return false
	}
	b.next = now.Add(claimBackoff)
	return true
}

// maxOutageRetryAfter bounds the retry delay sent to callers during an outage
// of the platform.
const maxOutageRetryAfter = 5 * time.Second

// retryAfter returns the retry delay for a request that needs a claim. It grows
// with the length of the outage: a long outage is unlikely to end within a
// second.
func (b *breaker) retryAfter(now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.open {
		return claimBackoff
	}
	return min(max(now.Sub(b.since), claimBackoff), maxOutageRetryAfter)
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
	b.until = now.Add(claimBackoff)
}

// undecided records that a claim ended without a reply of the platform.
func (b *breaker) undecided() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.testing = false
}

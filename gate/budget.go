package gate

import (
	"time"

	"fescuelatch"
)

// This file defines the retry budget: retries of failed attempts are bounded
// by a share of the work, so that they do not add to an overload.

const (
	// retryRatio is the number of retries that each first attempt allows.
	retryRatio = 0.1
	// retryBurst bounds the accumulated retries.
	retryBurst = 10
	// retryWindow is how long after a failed attempt another one of the same
	// request counts as a retry.
	retryWindow = 30 * time.Second
)

type retryKey struct {
	request fescuelatch.RequestID
	target  target
}

// budget is a retry budget. The zero value allows retryBurst retries.
type budget struct {
	used   float64
	failed map[retryKey]time.Time
}

// fail records a failed attempt for k.
func (b *budget) fail(now time.Time, k retryKey) {
	if b.failed == nil {
		b.failed = make(map[retryKey]time.Time)
	}
	b.failed[k] = now
}

// spend records an attempt for k. It returns false for a retry that exceeds
// the budget.
func (b *budget) spend(now time.Time, k retryKey) bool {
	at, ok := b.failed[k]
	if !ok || now.Sub(at) > retryWindow {
		b.used = max(0, b.used-retryRatio)
		return true
	}
	if b.used+1 > retryBurst {
		return false
	}
	b.used++
	return true
}

// expire removes failures that are older than the window.
func (b *budget) expire(now time.Time) {
	for k, at := range b.failed {
		if now.Sub(at) > retryWindow {
			delete(b.failed, k)
		}
	}
}

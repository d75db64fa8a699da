package decision

import (
	"time"

	"fescuelatch"
)

// This file defines the default retry budget.

const (
	// retryRatio is the number of retries earned by each request.
	retryRatio = 0.2
	// retryBurst bounds the retries that can accumulate.
	retryBurst = 20
)

// retryBudget limits retries to a share of the requests, so that
// retries cannot multiply the load of a failing fleet.
type retryBudget struct{ tokens float64 }

// Earn implements fescuelatch.RetryBudget.
func (b *retryBudget) Earn(time.Time, *fescuelatch.Request) {
	b.tokens = min(b.tokens+retryRatio, retryBurst)
}

// Remaining implements fescuelatch.RetryBudget.
func (b *retryBudget) Remaining(time.Time, *fescuelatch.Request, fescuelatch.RetryReason) float64 {
	return b.tokens / retryBurst
}

// Allows implements fescuelatch.RetryBudget.
func (b *retryBudget) Allows(time.Time, *fescuelatch.Request, fescuelatch.RetryReason) bool {
	return b.tokens >= 1
}

// Spend implements fescuelatch.RetryBudget.
func (b *retryBudget) Spend(now time.Time, r *fescuelatch.Request, why fescuelatch.RetryReason) bool {
	if !b.Allows(now, r, why) {
		return false
	}
	b.tokens--
	return true
}

package decision

// This file defines the retry budget.

const (
	// retryRatio is the number of retries that each accepted request earns.
	retryRatio = 0.2
	// retryBurst bounds the retries that can be saved up.
	retryBurst = 20
)

// retryBudget bounds retries to a share of the accepted requests, so that
// retries cannot multiply the load of a failing fleet.
type retryBudget struct{ tokens float64 }

func (b *retryBudget) earn() { b.tokens = min(b.tokens+retryRatio, retryBurst) }

func (b *retryBudget) take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

package decision

import (
	"slices"
	"time"

	"fescuelatch"
)

// This file defines the inactivity timeouts of attempts. The connections of
// an unreachable endpoint can stay open, so that only a timeout detects it.
// Inactivity ends an attempt only while another endpoint may still answer the
// request.

const (
	// minFirstTimeout exceeds the time to first output of a loaded endpoint.
	minFirstTimeout = 600 * time.Millisecond
	// firstTimeoutRatio is relative to the target latency and leaves part of it
	// for another attempt.
	firstTimeoutRatio = 0.8
	// minGapTimeout exceeds the pauses of an endpoint that is streaming.
	minGapTimeout = 600 * time.Millisecond
	// gapTimeoutRatio is relative to the target gap between outputs and leaves
	// part of it for the next endpoint to resume.
	gapTimeoutRatio = 0.8
)

// InactivityTimeouts holds the inactivity timeouts of an attempt; zero means none.
type InactivityTimeouts struct {
	// First applies to the first output, and Gap to each later one.
	First time.Duration
	Gap   time.Duration
}

// doubled returns the timeouts of an attempt through another daemon, which may retry the
// request on another endpoint itself.
func (t InactivityTimeouts) doubled() InactivityTimeouts {
	return InactivityTimeouts{First: 2 * t.First, Gap: 2 * t.Gap}
}

// GrantRetry reports whether a request whose endpoint is unresponsive is retried on
// another endpoint. If so, the retry is granted in advance: otherwise its conditions
// could fail by the time the current attempt ends, and the caller would be cut off.
// If the account's key, the retry budget, the time or the other endpoints no longer
// allow a retry, only the current attempt can still answer.
func (c *Core) GrantRetry(now time.Time, id fescuelatch.RequestID) bool {
	q, ok := c.requests[id]
	if !ok {
		return true // The request has already ended.
	}
	c.sparesCached = false
	if !c.mayRepeat(q) || !c.mayCrashAnother(now, q) || c.tooLate(now, q) || !c.usable(q) || len(c.targets(now, q)) == 0 || !c.canStart(now, q) ||
		!c.options.Retries.Spend(now, q.Request, fescuelatch.RetryFailure) {
		return false
	}
	q.grantedAttempt = q.current.id
	return true
}

// admissionChecker is a gate that can predict whether work would start at once.
type admissionChecker interface {
	Admits(now time.Time, w fescuelatch.Work) bool
}

// canStart reports whether another endpoint has capacity for q now; it assumes so if
// the gate cannot tell. Queued work does not count, as it may be refused later.
func (c *Core) canStart(now time.Time, q *request) bool {
	g, ok := c.options.Gate.(admissionChecker)
	if !ok {
		return true
	}
	w := c.work(q)
	w.Avoid = append(slices.Clone(w.Avoid), q.current.endpoint)
	return g.Admits(now, w)
}

// retryGranted reports whether GrantRetry granted a retry of the current attempt.
func (q *request) retryGranted() bool {
	return q.grantedAttempt != "" && q.grantedAttempt == q.current.id
}

// inactivityTimeouts returns the timeouts of the current attempt of q.
func (c *Core) inactivityTimeouts(q *request) InactivityTimeouts {
	if !c.options.Direct || !q.Idempotent || q.attempts >= q.attemptLimit() {
		return InactivityTimeouts{}
	}
	p := InactivityTimeouts{First: max(minFirstTimeout, time.Duration(firstTimeoutRatio*float64(q.TargetLatency)))}
	if q.Resumable && q.TargetGap > 0 {
		p.Gap = max(minGapTimeout, time.Duration(gapTimeoutRatio*float64(q.TargetGap)))
	}
	return p
}

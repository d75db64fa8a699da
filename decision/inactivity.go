package decision

import (
	"time"
)

// This file defines the inactivity timeouts of attempts. The connections of
// an unreachable endpoint can stay open, so that only a timeout detects it.

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

// inactivityTimeouts returns the timeouts of an attempt that is about to start. An attempt
// that no other one can replace has none.
func (c *Core) inactivityTimeouts(q *request, why HedgeReason) InactivityTimeouts {
	if !c.options.Direct || why == "" && (!q.Idempotent || q.attempts >= q.attemptLimit()) {
		return InactivityTimeouts{}
	}
	p := InactivityTimeouts{First: max(minFirstTimeout, time.Duration(firstTimeoutRatio*float64(q.TargetLatency)))}
	if q.Resumable && q.TargetGap > 0 {
		p.Gap = max(minGapTimeout, time.Duration(gapTimeoutRatio*float64(q.TargetGap)))
	}
	return p
}

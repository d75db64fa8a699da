package gate

import (
	"slices"
	"time"

	"fescuelatch"
)

// This file defines helpers for work that all gates share: where it can run,
// whether its deadline has passed, and its refusal.

const (
	// defaultQueueLimit bounds the queued attempts at one gate.
	defaultQueueLimit = 512
	// minRetryAfter is the minimum RetryAfter of a refusal.
	minRetryAfter = 250 * time.Millisecond
)

// fits reports whether w may run on o.
func fits(o *fescuelatch.OwnedEndpoint, w fescuelatch.Work) bool {
	if o.Out || (w.Endpoint != "" && w.Endpoint != o.Endpoint.ID) {
		return false
	}
	if w.Request.IsService() {
		return o.Pool.Service == w.Request.Service
	}
	return slices.Contains(o.Pool.Versions, w.Version)
}

// expired reports whether the deadline of w has passed.
func expired(now time.Time, w fescuelatch.Work) bool {
	return !w.Request.Deadline.IsZero() && !now.Before(w.Request.Deadline)
}

func refuse(a fescuelatch.AttemptID, after time.Duration) fescuelatch.Admission {
	return fescuelatch.Admission{
		Attempt:    a,
		Verdict:    fescuelatch.AdmissionRefuse,
		RetryAfter: max(after, minRetryAfter),
	}
}

// Package engine is a client of endpoints: model engines with the OpenAI wire
// format, and plain services. Daemons use it also to forward requests to the
// daemon that owns an endpoint.
package engine

import "time"

// This file defines the error type of the package.

// Kind classifies a failed attempt.
type Kind string

// Kinds of errors.
const (
	// KindNotStarted means that no byte of the request reached the endpoint,
	// or that the endpoint reported that it did not run the request.
	KindNotStarted Kind = "not-started"
	// KindOverloaded is KindNotStarted for lack of capacity.
	KindOverloaded Kind = "overloaded"
	// KindRejected means that the endpoint refused the request as invalid and
	// did not run it.
	KindRejected Kind = "rejected"
	// KindBroken means that the request may have run.
	KindBroken Kind = "broken"
	// KindExpired means that the deadline passed. The request may have run.
	KindExpired Kind = "expired"
	// KindCancelled means that the caller canceled the request.
	KindCancelled Kind = "cancelled"
	// KindInProgress means that another request holds the claim of the key.
	KindInProgress Kind = "in-progress"
	// KindClaimUnknown means that it cannot be determined whether an earlier
	// attempt of the same key has run.
	KindClaimUnknown Kind = "claim-unknown"
)

// CodePlatformUnavailable is the code of an error for a request that needs a claim
// while the platform is unavailable.
const CodePlatformUnavailable = "platform-away"

// CodeRejected is the code of an error for a request that no daemon accepts
// because another request uses its idempotency key.
const CodeRejected = "rejected"

// Error reports that operation Op failed. RetryAfter and Code are the delay and
// the error code that the endpoint sent, or zero and empty.
type Error struct {
	Op         string
	Kind       Kind
	Code       string
	RetryAfter time.Duration
	Err        error

	// answer is the answer of the endpoint with a status of 400 to 499.
	answer *Answer
}

// Error implements the error interface.
func (e *Error) Error() string {
	if e.Err == nil {
		return e.Op + ": " + string(e.Kind)
	}
	return e.Op + ": " + string(e.Kind) + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Package claim stores the durable records that make a request run at most
// once. A claim is written to the platform before the single dispatch that it
// allows; no lease, clock or daemon can transfer it to another claimant.
package claim

import (
	"time"

	"github.com/pkg/errors"
)

// This file defines the error type of this package.

// ErrorKind classifies an Error.
type ErrorKind string

// Kinds of errors.
const (
	// KindNotMade means that the claim is not held and the request must not
	// be dispatched. Nothing was sent for it.
	KindNotMade ErrorKind = "not-made"
	// KindMismatch means that the key was used for another request.
	KindMismatch ErrorKind = "mismatch"
	// KindExpired means that a dated key is older than the retention of
	// claims. Nothing was sent for it.
	KindExpired ErrorKind = "expired"
	// KindPremature means that a dated key lies in the future. Its claim
	// would expire before the key. Nothing was sent for it.
	KindPremature ErrorKind = "premature"
	// KindInvalid means that the arguments or the claim's state do not allow
	// the call.
	KindInvalid ErrorKind = "invalid"
	// KindPending means that the end of the claim is not stored yet; Run
	// retries the write.
	KindPending ErrorKind = "pending"
)

// Error is a failure of operation Op.
type Error struct {
	Op         string
	Kind       ErrorKind
	RetryAfter time.Duration
	Err        error
}

// Error implements the error interface.
func (e *Error) Error() string {
	s := "claim: " + e.Op + ": " + string(e.Kind)
	if e.Err == nil {
		return s
	}
	return s + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// KindOf returns the kind of the first Error in err's chain, or the empty
// kind.
func KindOf(err error) ErrorKind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return ""
}

// Package claim keeps the durable records that make a request run at most
// once. A claim is created at the platform before the one dispatch that it
// allows; no lease, clock or daemon can take it away from its claimant.
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
	// KindExpired means that the key says that it is older than the time for
	// which claims are kept. Nothing was sent for it.
	KindExpired ErrorKind = "expired"
	// KindPremature means that the key says that it will be drawn later. Its
	// claim would go before the key expires. Nothing was sent for it.
	KindPremature ErrorKind = "premature"
	// KindInvalid means that the call does not fit the claim's state.
	KindInvalid ErrorKind = "invalid"
	// KindPending means that the platform does not have the end of the claim
	// yet; Run goes on trying.
	KindPending ErrorKind = "pending"
)

// Error reports that operation Op failed.
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

// Package keyvalue holds what works with any key-value service of a platform:
// the errors of its clients, which tell failures without effect from others,
// the grouping of independent transactions into few calls, leases by epoch,
// and the time that daemons have in common.
package keyvalue

import (
	"time"

	"github.com/pkg/errors"
)

// This file defines the error type of this package.

// ErrorKind says what a failed call may have done.
type ErrorKind string

// Kinds of errors. Only KindUnknown leaves open whether a write took effect.
const (
	// KindUnavailable means that the service could not be reached or did not
	// process the call. It certainly had no effect.
	KindUnavailable ErrorKind = "unavailable"
	// KindUnknown means that a write may have taken effect, or may yet.
	KindUnknown ErrorKind = "unknown"
	// KindInvalid means that the service refused the call as malformed, or
	// that its answer did not decode. A write whose answer does not decode
	// is reported as KindUnknown.
	KindInvalid ErrorKind = "invalid"
	// KindLimited means that the service refused the call for its rate. It
	// certainly had no effect.
	KindLimited ErrorKind = "limited"
)

// Error reports that call Op failed.
type Error struct {
	Op   string
	Kind ErrorKind
	// RetryAfter is the service's advice; zero when it gave none.
	RetryAfter time.Duration
	Err        error
}

// Error implements the error interface.
func (e *Error) Error() string {
	s := "key-value service: " + e.Op + ": " + string(e.Kind)
	if e.Err == nil {
		return s
	}
	return s + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// KindOf returns the kind of the first Error in err's chain. An error of
// another type counts as KindUnknown, the kind that promises least.
func KindOf(err error) ErrorKind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return KindUnknown
}

// RetryAfter returns the advice of the first Error in err's chain, or zero.
func RetryAfter(err error) time.Duration {
	var e *Error
	if errors.As(err, &e) {
		return e.RetryAfter
	}
	return 0
}

// NoEffect reports whether err guarantees that the call did nothing.
func NoEffect(err error) bool {
	return err != nil && KindOf(err) != KindUnknown
}

// Package keyvalue contains what is common to the key-value services of all
// platforms: client errors that distinguish failures without effect from
// others, batching of independent transactions, leases by epoch, and a clock
// shared by the daemons.
package keyvalue

import (
	"time"

	"github.com/pkg/errors"
)

// This file defines the error type of this package.

// ErrorKind classifies a failed call by its possible effect.
type ErrorKind string

// Kinds of errors. Only KindUnknown leaves open whether a write took effect.
const (
	// KindUnavailable means that the service was unreachable or did not
	// process the call. The call had no effect.
	KindUnavailable ErrorKind = "unavailable"
	// KindUnknown means that a write may have taken effect or may still do so.
	KindUnknown ErrorKind = "unknown"
	// KindInvalid means that the service rejected the call as malformed, or
	// that its response could not be decoded. A write whose response cannot
	// be decoded is reported as KindUnknown.
	KindInvalid ErrorKind = "invalid"
	// KindRateLimited means that the service rejected the call because of a rate
	// limit. The call had no effect.
	KindRateLimited ErrorKind = "limited"
)

// Error reports that call Op failed.
type Error struct {
	Op   string
	Kind ErrorKind
	// RetryAfter is the delay that the service asked for, or zero.
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

// KindOf returns the kind of the first Error in err's chain. Any other error
// counts as KindUnknown, the kind with the weakest guarantee.
func KindOf(err error) ErrorKind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return KindUnknown
}

// RetryAfter returns the RetryAfter of the first Error in err's chain, or zero.
func RetryAfter(err error) time.Duration {
	var e *Error
	if errors.As(err, &e) {
		return e.RetryAfter
	}
	return 0
}

// NoEffect reports whether err guarantees that the call had no effect.
func NoEffect(err error) bool {
	return err != nil && KindOf(err) != KindUnknown
}

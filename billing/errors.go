// Package billing writes the bills of answered requests to the platform
// exactly once, from daemons that store nothing on disk. A bill is safe when
// two other daemons hold copies or when it is at the platform.
package billing

import "github.com/pkg/errors"

// This file defines the error type of this package.

// ErrorKind classifies an Error.
type ErrorKind string

// Kinds of errors.
const (
	// KindPending means that the bill is in memory and will be written, but
	// is not safe yet: it lacks copies, and the platform does not have it.
	KindPending ErrorKind = "pending"
	// KindFull means that the limit of bills in memory is reached. The bill
	// or batch was rejected.
	KindFull ErrorKind = "full"
	// KindInvalid means that the bill or batch is malformed.
	KindInvalid ErrorKind = "invalid"
	// KindUnavailable means that the platform did not store the bills, or
	// that its answer was lost. Writing them again is safe.
	KindUnavailable ErrorKind = "unavailable"
)

// Error is a failure of operation Op.
type Error struct {
	Op   string
	Kind ErrorKind
	Err  error
}

// Error implements the error interface.
func (e *Error) Error() string {
	s := "billing: " + e.Op + ": " + string(e.Kind)
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

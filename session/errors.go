// Package session stores the versions that bare session identifiers are bound
// to. Sessions with a token do not need it: the token carries the version.
package session

import (
	"time"

	"github.com/pkg/errors"
)

// This file defines the error type of this package.

// ErrorKind classifies an Error.
type ErrorKind string

// Kinds of errors.
const (
	// KindUnavailable means that the session's version cannot be determined.
	// The request is refused as not run, as any version might be wrong.
	KindUnavailable ErrorKind = "unavailable"
	// KindInvalid means that the call or the stored binding is malformed.
	KindInvalid ErrorKind = "invalid"
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
	s := "session: " + e.Op + ": " + string(e.Kind)
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

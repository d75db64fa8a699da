package intake

import "time"

// This file defines the errors of this package.

// ErrorKind is a kind of error.
type ErrorKind string

// Kinds of errors.
const (
	// ErrTooLarge means that a body exceeds its limit.
	ErrTooLarge ErrorKind = "too large"
	// ErrRefused means that there is no memory for a body, or for a head.
	ErrRefused ErrorKind = "refused"
	// ErrRead means that a read has failed.
	ErrRead ErrorKind = "failed read"
)

// Error is an error of an operation.
type Error struct {
	Op   string
	Kind ErrorKind
	Err  error
	// RetryAfter is when there will be memory for a body that was refused, if it is known.
	RetryAfter time.Duration
}

// Error implements error.
func (e *Error) Error() string {
	if e.Err == nil {
		return e.Op + ": " + string(e.Kind)
	}
	return e.Op + ": " + string(e.Kind) + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

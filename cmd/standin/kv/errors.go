package kv

// This file defines the error type of this package.

// Kind classifies an Error.
type Kind string

// Kinds of errors.
const (
	KindInvalid     Kind = "invalid"
	KindNotFound    Kind = "not-found"
	KindRateLimited Kind = "rate-limited"
	KindUnavailable Kind = "unavailable"
)

// Error reports that operation Op failed for a reason of kind Kind.
type Error struct {
	Op      string
	Kind    Kind
	Message string
}

// Error implements the error interface.
func (e *Error) Error() string { return "etcdserver: " + e.Message }

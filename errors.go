package fescuelatch

// This file defines the error type of this package and its kinds.

// ErrorKind classifies an Error.
type ErrorKind string

// Kinds of errors of this package.
const (
	KindInvalid  ErrorKind = "invalid"
	KindStale    ErrorKind = "stale"
	KindNotFound ErrorKind = "not-found"
	KindMismatch ErrorKind = "digest-mismatch"
	// KindExcessive means that an answer takes more than it is worth.
	KindExcessive ErrorKind = "excessive"
)

// Error reports that operation Op failed for a reason of kind Kind.
type Error struct {
	Op   string
	Kind ErrorKind
	Err  error
}

// Error implements the error interface.
func (e *Error) Error() string {
	if e.Err == nil {
		return e.Op + ": " + string(e.Kind)
	}
	return e.Op + ": " + string(e.Kind) + ": " + e.Err.Error()
}

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }

// ErrCompacted is the cause of a store's error when the requested changes
// are no longer available.
var ErrCompacted = &Error{Op: "read changes", Kind: KindStale}

// ErrExcessive is the cause of a store's error when the requested changes take more than
// everything that the store holds.
var ErrExcessive = &Error{Op: "read changes", Kind: KindExcessive}

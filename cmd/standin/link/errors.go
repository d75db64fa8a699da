package link

// This file defines the error type of this package.

// Kind classifies an Error.
type Kind string

// KindNetwork is the kind of network errors.
const KindNetwork Kind = "network"

// Error reports that operation Op failed for a reason of kind Kind.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error implements the error interface.
func (e *Error) Error() string { return e.Op + ": " + string(e.Kind) + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

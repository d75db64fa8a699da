package usage

// This file defines the error type of this package.

// ErrorKind classifies an Error.
type ErrorKind string

// KindInvalid means that a message has a value out of its range.
const KindInvalid ErrorKind = "invalid"

// Error reports that operation Op failed for a reason of kind Kind.
type Error struct {
	Op   string
	Kind ErrorKind
	Err  error
}

// Error implements the error interface.
func (e *Error) Error() string {
	return "usage: " + e.Op + ": " + string(e.Kind) + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

package sse

// This file defines the error type of this package.

// ErrorKind classifies an Error.
type ErrorKind string

// Kinds of errors.
const (
	// KindTooLarge means that an event exceeds the buffer limit.
	KindTooLarge ErrorKind = "too-large"
	// KindInvalid means that the lines up to a blank one have no field of an event.
	KindInvalid ErrorKind = "invalid"
)

// Error reports that operation Op failed for a reason of kind Kind.
type Error struct {
	Op   string
	Kind ErrorKind
}

// Error implements the error interface.
func (e *Error) Error() string { return "sse: " + e.Op + ": " + string(e.Kind) }

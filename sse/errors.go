package sse

// This file defines the error type of this package.

// ErrorKind classifies an Error.
type ErrorKind string

// KindTooLarge means that an event exceeds the buffer limit.
const KindTooLarge ErrorKind = "too-large"

// Error reports that operation Op failed for a reason of kind Kind.
type Error struct {
	Op   string
	Kind ErrorKind
}

// Error implements the error interface.
func (e *Error) Error() string { return "sse: " + e.Op + ": " + string(e.Kind) }

package fleetkey

// This file defines the error type of this package and its kinds.

// ErrorKind classifies an Error.
type ErrorKind string

// Kinds of errors of this package.
const (
	// KindMalformed means that a list of keys or a file cannot be read.
	KindMalformed ErrorKind = "malformed"
	// KindRefused means that a peer did not present an accepted key.
	KindRefused ErrorKind = "refused"
)

// Error reports that operation Op failed for a reason of kind Kind. It holds
// no keys.
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

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

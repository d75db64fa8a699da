package ownership

// This file defines the error type of this package.

// ErrorKind classifies an Error.
type ErrorKind string

// Kinds of errors of this package.
const (
	// KindInvalid marks settings or messages that fail validation.
	KindInvalid ErrorKind = "invalid"
	// KindUnknown marks a message from a VM that is not a member.
	KindUnknown ErrorKind = "unknown-member"
	// KindStale marks a message from or to a process that was replaced.
	KindStale ErrorKind = "stale"
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

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

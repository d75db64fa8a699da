package load

// This file defines the error type of this package and its kinds.

// ErrorKind classifies an Error.
type ErrorKind string

// Kinds of errors of this package.
const (
	// KindProfile means that no plan can be made from a profile.
	KindProfile ErrorKind = "profile"
	// KindUnreachable means that no target accepted a connection.
	KindUnreachable ErrorKind = "unreachable"
	// KindBroken means that an answer was cut off or cannot be decoded.
	KindBroken ErrorKind = "broken"
)

// Error is the failure of operation Op, classified by Kind.
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

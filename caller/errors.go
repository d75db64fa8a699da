package caller

// This file defines the error type of the package.

// Kind classifies an Error.
type Kind string

// Kinds of errors.
const (
	KindInvalid         Kind = "invalid-request"
	KindUnauthenticated Kind = "invalid-api-key"
	KindForbidden       Kind = "not-allowed"
	KindNotFound        Kind = "not-found"
	KindTooLarge        Kind = "too-large"
	KindUnavailable     Kind = "unavailable"
)

// Error reports that operation Op rejected a request.
type Error struct {
	Op   string
	Kind Kind
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
